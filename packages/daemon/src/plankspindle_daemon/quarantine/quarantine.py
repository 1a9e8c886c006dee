"""State machine that holds back requests under which upstreams end."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import evolve

from plankspindle_core.classes import define
from plankspindle_daemon.peer_messages.crash_news import Clearance
from plankspindle_daemon.peer_messages.crash_news import CrashNews
from plankspindle_daemon.peer_messages.crash_news import CrashReport
from plankspindle_daemon.peer_messages.crash_news import Quarantined
from plankspindle_daemon.peer_messages.news_outbox import NewsOutbox
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.quarantine.counting_vms import CountingVms
from plankspindle_daemon.quarantine.crash_cases import EVIDENCE_S
from plankspindle_daemon.quarantine.crash_cases import CrashCase
from plankspindle_daemon.quarantine.crash_cases import CrashCases
from plankspindle_daemon.quarantine.quarantine_change import QuarantineChange
from plankspindle_daemon.quarantine.quarantine_list import QuarantineEntry
from plankspindle_daemon.quarantine.quarantine_list import QuarantineList
from plankspindle_daemon.quarantine.recent_identities import RecentIdentities

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.membership.membership import Membership
    from plankspindle_daemon.peer_messages.heartbeat import Heartbeat

TELL_AGAIN_S = 1.0
"""Least time between two lists told to one member, in seconds."""
EXPIRE_S = 10.0
"""Period of forgetting what is old, in seconds."""
MAX_NEW = 8
NEW_S = 60.0
"""Requests that are put in quarantine within some seconds, at most.

Where upstreams crash under more of them, it is the upstreams: a release that ends under
any request must not leave each popular one held back once it is undone.
"""
MAX_CHANGES = 64
"""Changes that are kept for the log."""
ENTRIES_PER_MESSAGE = 32


@define(kw_only=True)
class Quarantine:
    """Decide which requests are sent to no upstream any more.

    Parameters
    ----------
    vm : str
        This VM.
    counting : CountingVms
        Which entry VMs count for a request, and where they are.

    Attributes
    ----------
    listed : QuarantineList
        What is held back.
    is_unsaved : bool
        Whether something was decided here that the platform does not hold yet.
    is_in_doubt : bool
        Whether an upstream ended here under a request that others may hold back.
    watched, suspected : RecentIdentities
        Requests whose answers are told, and those that are sent to one upstream a try.
    reported, refused : int
        Ends of upstreams that were noticed here, and requests that were held back here.
    changes : list of QuarantineChange
        What changed, to be logged.

    Notes
    -----
    A try tells nothing of earlier ones: it has an id of its own, and comes to any entry
    VM. A retry budget bounds the retries of all requests together, so that one that
    crashes an upstream each time goes on to the next for as long as its caller tries.
    """

    vm: str
    counting: CountingVms
    cases: CrashCases = Factory(CrashCases)
    listed: QuarantineList = Factory(QuarantineList)
    is_unsaved: bool = False
    is_in_doubt: bool = False
    reported: int = 0
    refused: int = 0
    changes: list[QuarantineChange] = Factory(list)
    watched: RecentIdentities = Factory(RecentIdentities)
    suspected: RecentIdentities = Factory(RecentIdentities)
    outbox: NewsOutbox = Factory(NewsOutbox)
    _told_at_by_vm: dict[str, float] = Factory(dict)
    _next_expiry: float = -math.inf

    @classmethod
    def of(cls, vm: str, failure_domain: str, membership: Membership) -> Quarantine:
        """Make one that knows of nothing, for an entry VM and its members."""
        counting = CountingVms(
            vm=vm, failure_domain=failure_domain, membership=membership
        )
        return cls(vm=vm, counting=counting)

    @property
    def is_active(self) -> bool:
        """Whether requests must be identified: some are held back or watched."""
        return bool(self.listed.entries_by_identity or self.watched)

    def is_suspected(self, identity: int) -> bool:
        """Tell whether several upstreams ended under a request.

        Notes
        -----
        It may be tried again by its caller, but is sent to one upstream a try: of two
        upstreams that such a request ends, the second brings no further evidence of
        worth, and fails all that is in flight there.
        """
        return identity in self.suspected

    def holding(self, identity: int, now: float) -> QuarantineEntry | None:
        """Give the entry by which a request is held back; None if it may be sent now.

        Notes
        -----
        A quarantined request is let through now and then, so that one that is answered
        again is released. Of all entry VMs only the first of those that count for it
        does so: no message decides who may, and many callers' request comes there soon.
        """
        entry = self.listed.entries_by_identity.get(identity)
        if entry is None or self._tries(entry, now):
            return None
        self.refused += 1
        return entry

    def holding_or_trial(self, identity: int, now: float) -> QuarantineEntry | None:
        """Say the same of a request that has an upstream, and note its trial.

        Notes
        -----
        A trial is noted here only: a request that is let through may find no upstream.
        """
        held = self.holding(identity, now)
        entry = self.listed.entries_by_identity.get(identity)
        if held is None and entry is not None:
            self._note_trial(entry, now)
        return held

    def _tries(self, entry: QuarantineEntry, now: float) -> bool:
        """Tell whether a request is to be let through here."""
        if now < entry.trial_at:
            return False
        return self.counting.of(entry.identity, now)[0].name == self.vm

    def _note_trial(self, entry: QuarantineEntry, now: float) -> None:
        tried = evolve(entry, trials=entry.trials + 1)
        self.listed.add(tried)
        self.is_unsaved = True
        self._note("quarantine_trial", entry.identity, trial=tried.trials)
        news = CrashNews(sender=self.vm, quarantined=(_told(tried, now),))
        self.outbox.send_later(self._to_all(news), now)

    def note_crash(
        self, identity: int, life: str, *, at: float, now: float
    ) -> list[SendToPeer]:
        """Take the end of an upstream with a request in flight there.

        Parameters
        ----------
        identity : int
            The request.
        life : str
            Which life of which upstream ended.
        at, now : float
            When it was lost, and the time now, monotonic seconds.
        """
        self.reported += 1
        if identity in self.listed.entries_by_identity:
            return []
        self.is_in_doubt = True
        self.watched.add(identity, now)
        ago_ms = round(1000 * max(0.0, now - at))
        report = CrashReport(identity=identity, life=life, ago_ms=ago_ms)
        news = CrashNews(sender=self.vm, reports=(report,))
        return self._tell_counting(identity, news, now)

    def note_answered(self, identity: int, now: float) -> list[SendToPeer]:
        """Take that an upstream ran a request to its end."""
        if identity in self.listed.entries_by_identity:
            return self.lift(identity, now)
        news = self._clearance(identity)
        if not self.watched.remove(identity):
            return []
        return self._tell_counting(identity, news, now)

    def lift(self, identity: int, now: float) -> list[SendToPeer]:
        """Release a request at all entry VMs."""
        if identity not in self.listed.entries_by_identity:
            return []
        self._take_clearance(identity, now, now)
        self.is_unsaved = True
        return self.outbox.send(self._to_all(self._clearance(identity)), now)

    def _clearance(self, identity: int) -> CrashNews:
        cleared = Clearance(identity=identity, ago_ms=0)
        return CrashNews(sender=self.vm, cleared=(cleared,))

    def take(self, news: CrashNews, reply_to: Endpoint, now: float) -> list[SendToPeer]:
        """Take news of another entry VM.

        Parameters
        ----------
        news : CrashNews
            What it tells.
        reply_to : Endpoint
            Where it is reached.
        now : float
            Monotonic seconds.
        """
        effects: list[SendToPeer] = []
        for identity in news.watched:
            self.watched.add(identity, now)
        for identity in news.suspected:
            self.suspected.add(identity, now)
        for each in news.quarantined:
            self._take_entry(each, now)
        for cleared in news.cleared:
            at = now - cleared.ago_ms / 1000
            effects += self._take_clearance(cleared.identity, at, now)
        for report in news.reports:
            effects += self._take_report(report, reply_to, now)
        return effects

    def hear(self, heartbeat: Heartbeat, now: float) -> list[SendToPeer]:
        """Tell a member what is held back if it knows something else.

        Notes
        -----
        This repairs what was lost, and tells processes that have started meanwhile or
        were cut off: at any size within a second or two, by heartbeats to watchers.
        """
        if heartbeat.quarantine_digest == self.listed.digest or not self.listed.digest:
            return []
        told_at = self._told_at_by_vm.get(heartbeat.sender, -math.inf)
        if now - told_at < TELL_AGAIN_S:
            return []
        self._told_at_by_vm[heartbeat.sender] = now
        return [
            SendToPeer(message=news, to=heartbeat.peer_endpoint)
            for news in self._whole(now)
        ]

    def tick(self, now: float) -> list[SendToPeer]:
        """Let some time pass."""
        effects: list[SendToPeer] = []
        if self.cases.cases_by_identity:
            for case in self.cases.take_due(now):
                effects += self._put_in(case, now)
        effects += self.outbox.take_due(now)
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRE_S
            self._expire(now)
        return effects

    def restore(self, entry: QuarantineEntry) -> None:
        """Take what the platform holds since before this process started."""
        if self.listed.add(entry):
            self._note("request_quarantined", entry.identity, by="platform")

    def _put_in(self, case: CrashCase, now: float) -> list[SendToPeer]:
        """Put a request in quarantine, and tell all of it."""
        known = self.listed.entries_by_identity.values()
        if sum(now - each.since < NEW_S for each in known) >= MAX_NEW:
            self._note("quarantine_withheld", case.identity, others=MAX_NEW)
            return []
        entry = QuarantineEntry(identity=case.identity, since=now)
        if not self.listed.add(entry):
            return []
        lives = tuple(case.ended_at_by_life)
        self.cases.explain(lives)
        self.is_unsaved = True
        self._note(
            "request_quarantined", case.identity, by=self.vm, upstreams=",".join(lives)
        )
        told = evolve(_told(entry, now), lives=lives)
        news = CrashNews(sender=self.vm, quarantined=(told,))
        return self.outbox.send(self._to_all(news), now)

    def _take_report(
        self, report: CrashReport, reply_to: Endpoint | None, now: float
    ) -> list[SendToPeer]:
        entry = self.listed.entries_by_identity.get(report.identity)
        if entry is not None:
            self.cases.explain((report.life,))
            if reply_to is None:
                return []
            news = CrashNews(sender=self.vm, quarantined=(_told(entry, now),))
            return [SendToPeer(message=news, to=reply_to)]
        at = now - report.ago_ms / 1000
        if not self.cases.note(report.identity, report.life, at=at, now=now):
            return []
        self.watched.add(report.identity, now)
        case = self.cases.cases_by_identity[report.identity]
        suspected = (report.identity,) if case.is_suspected else ()
        if suspected:
            self.suspected.add(report.identity, now)
        self._note(
            "request_watched",
            report.identity,
            upstreams=",".join(case.ended_at_by_life),
        )
        watch = CrashNews(
            sender=self.vm, watched=(report.identity,), suspected=suspected
        )
        return self.outbox.send(self._to_all(watch), now)

    def _take_entry(self, told: Quarantined, now: float) -> None:
        entry = QuarantineEntry(
            identity=told.identity, since=now - told.ago_ms / 1000, trials=told.trials
        )
        if self.listed.add(entry):
            self.cases.clear(told.identity)
            self._note("request_quarantined", told.identity, by="member")
        self.cases.explain(told.lives)

    def _take_clearance(self, identity: int, at: float, now: float) -> list[SendToPeer]:
        """Forget what speaks against a request; tell all that had been told of it."""
        case = self.cases.cases_by_identity.get(identity)
        self.cases.clear(identity)
        self.suspected.remove(identity)
        if self.listed.clear(identity, at):
            self._note("quarantine_lifted", identity)
        if case is None or case.watched_at is None:
            return []
        return self.outbox.send(self._to_all(self._clearance(identity)), now)

    def _tell_counting(
        self, identity: int, news: CrashNews, now: float
    ) -> list[SendToPeer]:
        """Tell those that count for a request, this VM among them perhaps."""
        effects: list[SendToPeer] = []
        own: list[SendToPeer] = []
        for each in self.counting.of(identity, now):
            if each.endpoint is not None:
                effects.append(SendToPeer(message=news, to=each.endpoint))
                continue
            for report in news.reports:
                own += self._take_report(report, None, now)
            for cleared in news.cleared:
                own += self._take_clearance(cleared.identity, now, now)
        return [*own, *self.outbox.send(effects, now)]

    def _to_all(self, news: CrashNews) -> list[SendToPeer]:
        return [SendToPeer(message=news, to=each) for each in self.counting.others()]

    def _whole(self, now: float) -> list[CrashNews]:
        """Give all that is held back or was cleared, in parts."""
        held = [_told(e, now) for e in self.listed.entries_by_identity.values()]
        cleared = [
            Clearance(identity=identity, ago_ms=round(1000 * (now - at)))
            for identity, at in self.listed.cleared_at_by_identity.items()
        ]
        size = ENTRIES_PER_MESSAGE
        return [
            CrashNews(
                sender=self.vm,
                quarantined=tuple(held[first : first + size]),
                cleared=tuple(cleared[first : first + size]),
            )
            for first in range(0, max(len(held), len(cleared)), size)
        ]

    def _expire(self, now: float) -> None:
        self.listed.expire(now)
        self.cases.expire(now)
        for identities in (self.watched, self.suspected):
            identities.expire(before=now - EVIDENCE_S)
        self._told_at_by_vm = {
            vm: at for vm, at in self._told_at_by_vm.items() if now - at < TELL_AGAIN_S
        }

    def _note(self, event: str, identity: int, **fields: object) -> None:
        change = QuarantineChange(event=event, identity=identity, fields=fields)
        self.changes = [*self.changes, change][-MAX_CHANGES:]


def _told(entry: QuarantineEntry, now: float) -> Quarantined:
    return Quarantined(
        identity=entry.identity,
        ago_ms=round(1000 * max(0.0, now - entry.since)),
        trials=entry.trials,
    )
