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
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.peer_messages.resend_queue import ResendQueue
from plankspindle_daemon.quarantine.aggregator_selector import AggregatorSelector
from plankspindle_daemon.quarantine.crash_records import CRASH_RETENTION_S
from plankspindle_daemon.quarantine.crash_records import CrashRecord
from plankspindle_daemon.quarantine.crash_records import CrashRecords
from plankspindle_daemon.quarantine.quarantine_change import QuarantineChange
from plankspindle_daemon.quarantine.quarantine_list import QuarantineEntry
from plankspindle_daemon.quarantine.quarantine_list import QuarantineList
from plankspindle_daemon.quarantine.recent_identities import RecentIdentities

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.membership.membership import Membership
    from plankspindle_daemon.peer_messages.heartbeat import Heartbeat

MIN_SYNC_INTERVAL_S = 1.0
"""Least time between two lists told to one member, in seconds."""
EXPIRY_INTERVAL_S = 10.0
"""Period of forgetting what is old, in seconds."""
MAX_NEW_ENTRIES = 8
NEW_ENTRY_WINDOW_S = 60.0
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
    aggregators : AggregatorSelector
        Which entry VMs count for a request, and where they are.

    Attributes
    ----------
    quarantine_list : QuarantineList
        What is held back.
    is_unsaved : bool
        Whether something was decided here that the platform does not hold yet.
    needs_reread : bool
        Whether an upstream ended here under a request that others may hold back.
    watched, suspected : RecentIdentities
        Requests whose answers are told, and those that are sent to one upstream a try.
    crashes_reported, requests_refused : int
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
    aggregators: AggregatorSelector
    crash_records: CrashRecords = Factory(CrashRecords)
    quarantine_list: QuarantineList = Factory(QuarantineList)
    is_unsaved: bool = False
    needs_reread: bool = False
    crashes_reported: int = 0
    requests_refused: int = 0
    changes: list[QuarantineChange] = Factory(list)
    watched: RecentIdentities = Factory(RecentIdentities)
    suspected: RecentIdentities = Factory(RecentIdentities)
    resend_queue: ResendQueue = Factory(ResendQueue)
    _synced_at_by_vm: dict[str, float] = Factory(dict)
    _next_expiry: float = -math.inf

    @classmethod
    def create(cls, vm: str, failure_domain: str, membership: Membership) -> Quarantine:
        """Make one that knows of nothing, for an entry VM and its members."""
        counting = AggregatorSelector(
            vm=vm, failure_domain=failure_domain, membership=membership
        )
        return cls(vm=vm, aggregators=counting)

    @property
    def is_active(self) -> bool:
        """Whether requests must be identified: some are held back or watched."""
        return bool(self.quarantine_list.entries_by_identity or self.watched)

    def is_suspected(self, identity: int) -> bool:
        """Tell whether several upstreams ended under a request.

        Notes
        -----
        It may be tried again by its caller, but is sent to one upstream a try: of two
        upstreams that such a request ends, the second brings no further evidence of
        worth, and fails all that is in flight there.
        """
        return identity in self.suspected

    def blocking_entry(self, identity: int, now: float) -> QuarantineEntry | None:
        """Give the entry by which a request is held back; None if it may be sent now.

        Notes
        -----
        A quarantined request is let through now and then, so that one that is answered
        again is released. Of all entry VMs only the first of those that count for it
        does so: no message decides who may, and many callers' request comes there soon.
        """
        entry = self.quarantine_list.entries_by_identity.get(identity)
        if entry is None or self._may_probe(entry, now):
            return None
        self.requests_refused += 1
        return entry

    def blocking_entry_on_send(
        self, identity: int, now: float
    ) -> QuarantineEntry | None:
        """Say the same of a request that has an upstream, and note its trial.

        Notes
        -----
        A trial is noted here only: a request that is let through may find no upstream.
        """
        held = self.blocking_entry(identity, now)
        entry = self.quarantine_list.entries_by_identity.get(identity)
        if held is None and entry is not None:
            self._record_probe(entry, now)
        return held

    def _may_probe(self, entry: QuarantineEntry, now: float) -> bool:
        """Tell whether a request is to be let through here."""
        if now < entry.next_probe_at:
            return False
        return self.aggregators.select(entry.identity, now)[0].name == self.vm

    def _record_probe(self, entry: QuarantineEntry, now: float) -> None:
        tried = evolve(entry, probe_attempts=entry.probe_attempts + 1)
        self.quarantine_list.add(tried)
        self.is_unsaved = True
        self._record_change(
            "quarantine_trial", entry.identity, trial=tried.probe_attempts
        )
        news = CrashNews(sender=self.vm, quarantined=(_as_message(tried, now),))
        self.resend_queue.send_later(self._to_all(news), now)

    def record_crash(
        self, identity: int, incarnation_id: str, *, at: float, now: float
    ) -> list[SendToPeer]:
        """Take the end of an upstream with a request in flight there.

        Parameters
        ----------
        identity : int
            The request.
        incarnation_id : str
            Which life of which upstream ended.
        at, now : float
            When it was lost, and the time now, monotonic seconds.
        """
        self.crashes_reported += 1
        if identity in self.quarantine_list.entries_by_identity:
            return []
        self.needs_reread = True
        self.watched.add(identity, now)
        ago_ms = round(1000 * max(0.0, now - at))
        report = CrashReport(identity=identity, life=incarnation_id, ago_ms=ago_ms)
        news = CrashNews(sender=self.vm, reports=(report,))
        return self._send_to_aggregators(identity, news, now)

    def record_completion(self, identity: int, now: float) -> list[SendToPeer]:
        """Take that an upstream ran a request to its end."""
        if identity in self.quarantine_list.entries_by_identity:
            return self.lift(identity, now)
        news = self._clearance(identity)
        if not self.watched.remove(identity):
            return []
        return self._send_to_aggregators(identity, news, now)

    def lift(self, identity: int, now: float) -> list[SendToPeer]:
        """Release a request at all entry VMs."""
        if identity not in self.quarantine_list.entries_by_identity:
            return []
        self._apply_clearance(identity, now, now)
        self.is_unsaved = True
        return self.resend_queue.send(self._to_all(self._clearance(identity)), now)

    def _clearance(self, identity: int) -> CrashNews:
        cleared = Clearance(identity=identity, ago_ms=0)
        return CrashNews(sender=self.vm, cleared=(cleared,))

    def handle_update(
        self, update: CrashNews, reply_to: Endpoint, now: float
    ) -> list[SendToPeer]:
        """Take news of another entry VM.

        Parameters
        ----------
        update : CrashNews
            What it tells.
        reply_to : Endpoint
            Where it is reached.
        now : float
            Monotonic seconds.
        """
        effects: list[SendToPeer] = []
        for identity in update.watched:
            self.watched.add(identity, now)
        for identity in update.suspected:
            self.suspected.add(identity, now)
        for each in update.quarantined:
            self._apply_entry(each, now)
        for cleared in update.cleared:
            at = now - cleared.ago_ms / 1000
            effects += self._apply_clearance(cleared.identity, at, now)
        for report in update.reports:
            effects += self._apply_report(report, reply_to, now)
        return effects

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[SendToPeer]:
        """Tell a member what is held back if it knows something else.

        Notes
        -----
        This repairs what was lost, and tells processes that have started meanwhile or
        were cut off: at any size within a second or two, by heartbeats to watchers.
        """
        if (
            heartbeat.quarantine_digest == self.quarantine_list.digest
            or not self.quarantine_list.digest
        ):
            return []
        told_at = self._synced_at_by_vm.get(heartbeat.sender, -math.inf)
        if now - told_at < MIN_SYNC_INTERVAL_S:
            return []
        self._synced_at_by_vm[heartbeat.sender] = now
        return [
            SendToPeer(message=news, to=heartbeat.peer_endpoint)
            for news in self._full_state(now)
        ]

    def tick(self, now: float) -> list[SendToPeer]:
        """Let some time pass."""
        effects: list[SendToPeer] = []
        if self.crash_records.records_by_identity:
            for case in self.crash_records.pop_due(now):
                effects += self._quarantine(case, now)
        effects += self.resend_queue.pop_due(now)
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_INTERVAL_S
            self._expire(now)
        return effects

    def restore(self, entry: QuarantineEntry) -> None:
        """Take what the platform holds since before this process started."""
        if self.quarantine_list.add(entry):
            self._record_change("request_quarantined", entry.identity, by="platform")

    def _quarantine(self, record: CrashRecord, now: float) -> list[SendToPeer]:
        """Put a request in quarantine, and tell all of it."""
        known = self.quarantine_list.entries_by_identity.values()
        if (
            sum(now - each.quarantined_at < NEW_ENTRY_WINDOW_S for each in known)
            >= MAX_NEW_ENTRIES
        ):
            self._record_change(
                "quarantine_withheld", record.identity, others=MAX_NEW_ENTRIES
            )
            return []
        entry = QuarantineEntry(identity=record.identity, quarantined_at=now)
        if not self.quarantine_list.add(entry):
            return []
        lives = tuple(record.crashed_at_by_incarnation)
        self.crash_records.attribute_crashes(lives)
        self.is_unsaved = True
        self._record_change(
            "request_quarantined",
            record.identity,
            by=self.vm,
            upstreams=",".join(lives),
        )
        told = evolve(_as_message(entry, now), lives=lives)
        news = CrashNews(sender=self.vm, quarantined=(told,))
        return self.resend_queue.send(self._to_all(news), now)

    def _apply_report(
        self, report: CrashReport, reply_to: Endpoint | None, now: float
    ) -> list[SendToPeer]:
        entry = self.quarantine_list.entries_by_identity.get(report.identity)
        if entry is not None:
            self.crash_records.attribute_crashes((report.life,))
            if reply_to is None:
                return []
            news = CrashNews(sender=self.vm, quarantined=(_as_message(entry, now),))
            return [SendToPeer(message=news, to=reply_to)]
        at = now - report.ago_ms / 1000
        if not self.crash_records.record_crash(
            report.identity, report.life, at=at, now=now
        ):
            return []
        self.watched.add(report.identity, now)
        case = self.crash_records.records_by_identity[report.identity]
        suspected = (report.identity,) if case.is_suspected else ()
        if suspected:
            self.suspected.add(report.identity, now)
        self._record_change(
            "request_watched",
            report.identity,
            upstreams=",".join(case.crashed_at_by_incarnation),
        )
        watch = CrashNews(
            sender=self.vm, watched=(report.identity,), suspected=suspected
        )
        return self.resend_queue.send(self._to_all(watch), now)

    def _apply_entry(self, quarantined: Quarantined, now: float) -> None:
        entry = QuarantineEntry(
            identity=quarantined.identity,
            quarantined_at=now - quarantined.ago_ms / 1000,
            probe_attempts=quarantined.trials,
        )
        if self.quarantine_list.add(entry):
            self.crash_records.clear(quarantined.identity)
            self._record_change(
                "request_quarantined", quarantined.identity, by="member"
            )
        self.crash_records.attribute_crashes(quarantined.lives)

    def _apply_clearance(
        self, identity: int, at: float, now: float
    ) -> list[SendToPeer]:
        """Forget what speaks against a request; tell all that had been told of it."""
        case = self.crash_records.records_by_identity.get(identity)
        self.crash_records.clear(identity)
        self.suspected.remove(identity)
        if self.quarantine_list.clear(identity, at):
            self._record_change("quarantine_lifted", identity)
        if case is None or case.watched_at is None:
            return []
        return self.resend_queue.send(self._to_all(self._clearance(identity)), now)

    def _send_to_aggregators(
        self, identity: int, update: CrashNews, now: float
    ) -> list[SendToPeer]:
        """Tell those that count for a request, this VM among them perhaps."""
        effects: list[SendToPeer] = []
        own: list[SendToPeer] = []
        for each in self.aggregators.select(identity, now):
            if each.endpoint is not None:
                effects.append(SendToPeer(message=update, to=each.endpoint))
                continue
            for report in update.reports:
                own += self._apply_report(report, None, now)
            for cleared in update.cleared:
                own += self._apply_clearance(cleared.identity, now, now)
        return [*own, *self.resend_queue.send(effects, now)]

    def _to_all(self, update: CrashNews) -> list[SendToPeer]:
        return [
            SendToPeer(message=update, to=each)
            for each in self.aggregators.peer_endpoints()
        ]

    def _full_state(self, now: float) -> list[CrashNews]:
        """Give all that is held back or was cleared, in parts."""
        held = [
            _as_message(e, now)
            for e in self.quarantine_list.entries_by_identity.values()
        ]
        cleared = [
            Clearance(identity=identity, ago_ms=round(1000 * (now - at)))
            for identity, at in self.quarantine_list.cleared_at_by_identity.items()
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
        self.quarantine_list.expire(now)
        self.crash_records.expire(now)
        for identities in (self.watched, self.suspected):
            identities.expire(before=now - CRASH_RETENTION_S)
        self._synced_at_by_vm = {
            vm: at
            for vm, at in self._synced_at_by_vm.items()
            if now - at < MIN_SYNC_INTERVAL_S
        }

    def _record_change(self, event: str, identity: int, **fields: object) -> None:
        change = QuarantineChange(event=event, identity=identity, fields=fields)
        self.changes = [*self.changes, change][-MAX_CHANGES:]


def _as_message(entry: QuarantineEntry, now: float) -> Quarantined:
    return Quarantined(
        identity=entry.identity,
        ago_ms=round(1000 * max(0.0, now - entry.quarantined_at)),
        trials=entry.probe_attempts,
    )
