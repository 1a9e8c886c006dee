"""State machine that blocks requests that crash upstreams."""

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
"""Minimum time between two transfers of the full state to one member, in seconds."""
EXPIRY_INTERVAL_S = 10.0
"""Interval between removals of expired state, in seconds."""
MAX_NEW_ENTRIES = 8
NEW_ENTRY_WINDOW_S = 60.0
"""At most MAX_NEW_ENTRIES requests are quarantined within this time, in seconds.

If upstreams crash under more requests than that, the upstreams are the cause: a release
that crashes on any request must not leave every frequent request blocked after it has
been rolled back.
"""
MAX_CHANGES = 64
"""Number of changes that are kept until they are logged."""
ENTRIES_PER_MESSAGE = 32


@define(kw_only=True)
class Quarantine:
    """Decide which requests are no longer sent to any upstream.

    Parameters
    ----------
    vm : str
        Name of this VM.
    aggregators : AggregatorSelector
        Selects the entry VMs that aggregate the crash reports of a request.

    Attributes
    ----------
    quarantine_list : QuarantineList
        Quarantined requests.
    is_unsaved : bool
        Whether a decision of this VM is not yet stored at the platform.
    needs_reread : bool
        Whether an upstream crashed here under a request that other VMs may have
        quarantined.
    watched, suspected : RecentIdentities
        Requests whose completions are reported, and those of which each attempt is sent
        to a single upstream.
    crashes_reported, requests_refused : int
        Upstream crashes that this VM detected, and requests that it blocked.
    changes : list of QuarantineChange
        Changes that are not logged yet.

    Notes
    -----
    An attempt shows nothing of earlier ones: it has its own id and arrives at any VM. A
    retry budget bounds the retries of all requests together, so a request that crashes
    an upstream each time would go on to the next for as long as its caller retries.
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
        """Create an empty quarantine for an entry VM and its members."""
        aggregators = AggregatorSelector(
            vm=vm, failure_domain=failure_domain, membership=membership
        )
        return cls(vm=vm, aggregators=aggregators)

    @property
    def is_active(self) -> bool:
        """Whether requests must be identified: some are quarantined or watched."""
        return bool(self.quarantine_list.entries_by_identity or self.watched)

    def is_suspected(self, identity: int) -> bool:
        """Return whether several upstreams crashed under a request.

        Its caller may retry it, but each attempt is sent to a single upstream. If one
        attempt crashed two upstreams, the second crash would add no useful evidence and
        would fail everything in flight there.
        """
        return identity in self.suspected

    def blocking_entry(self, identity: int, now: float) -> QuarantineEntry | None:
        """Return the entry that blocks a request, or None if it may be sent now.

        A quarantined request is sent occasionally as a probe attempt, so that it is
        released once it completes again. Only the first of its aggregators does so:
        that needs no messages, and a request that many callers send arrives there soon.
        """
        entry = self.quarantine_list.entries_by_identity.get(identity)
        if entry is None or self._may_probe(entry, now):
            return None
        self.requests_refused += 1
        return entry

    def blocking_entry_on_send(
        self, identity: int, now: float
    ) -> QuarantineEntry | None:
        """Do the same for a request that has an upstream, and record a probe attempt.

        `blocking_entry` does not record it, since the request may still find no
        upstream.
        """
        blocking = self.blocking_entry(identity, now)
        entry = self.quarantine_list.entries_by_identity.get(identity)
        if blocking is None and entry is not None:
            self._record_probe(entry, now)
        return blocking

    def _may_probe(self, entry: QuarantineEntry, now: float) -> bool:
        """Return whether a request may be sent here as a probe attempt."""
        if now < entry.next_probe_at:
            return False
        return self.aggregators.select(entry.identity, now)[0].name == self.vm

    def _record_probe(self, entry: QuarantineEntry, now: float) -> None:
        probed = evolve(entry, probe_attempts=entry.probe_attempts + 1)
        self.quarantine_list.add(probed)
        self.is_unsaved = True
        self._log("quarantine_trial", entry.identity, trial=probed.probe_attempts)
        update = CrashNews(sender=self.vm, quarantined=(_as_message(probed, now),))
        self.resend_queue.schedule(self._to_all(update), now)

    def record_crash(
        self, identity: int, incarnation_id: str, *, at: float, now: float
    ) -> list[SendToPeer]:
        """Record the crash of an upstream incarnation with a request in flight.

        ``at`` is the time of the connection loss; both times are monotonic seconds.
        """
        self.crashes_reported += 1
        if identity in self.quarantine_list.entries_by_identity:
            return []
        self.needs_reread = True
        self.watched.add(identity, now)
        ago_ms = round(1000 * max(0.0, now - at))
        report = CrashReport(identity=identity, life=incarnation_id, ago_ms=ago_ms)
        update = CrashNews(sender=self.vm, reports=(report,))
        return self._send_to_aggregators(identity, update, now)

    def record_completion(self, identity: int, now: float) -> list[SendToPeer]:
        """Record that an upstream completed a request."""
        if identity in self.quarantine_list.entries_by_identity:
            return self.lift(identity, now)
        update = self._clearance(identity)
        if not self.watched.remove(identity):
            return []
        return self._send_to_aggregators(identity, update, now)

    def lift(self, identity: int, now: float) -> list[SendToPeer]:
        """Release a request at all entry VMs."""
        if identity not in self.quarantine_list.entries_by_identity:
            return []
        self._clear(identity, now, now)
        self.is_unsaved = True
        return self.resend_queue.send_repeatedly(
            self._to_all(self._clearance(identity)), now
        )

    def _clearance(self, identity: int) -> CrashNews:
        cleared = Clearance(identity=identity, ago_ms=0)
        return CrashNews(sender=self.vm, cleared=(cleared,))

    def handle_update(
        self, update: CrashNews, reply_to: Endpoint, now: float
    ) -> list[SendToPeer]:
        """Apply an update of the VM at ``reply_to``; times in monotonic seconds."""
        effects: list[SendToPeer] = []
        for identity in update.watched:
            self.watched.add(identity, now)
        for identity in update.suspected:
            self.suspected.add(identity, now)
        for each in update.quarantined:
            self._apply_entry(each, now)
        for cleared in update.cleared:
            at = now - cleared.ago_ms / 1000
            effects += self._clear(cleared.identity, at, now)
        for report in update.reports:
            effects += self._apply_report(report, reply_to, now)
        return effects

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[SendToPeer]:
        """Send the full state to a member whose digest differs.

        This repairs lost messages, and updates processes that were restarted or
        partitioned in the meantime: within a second or two at any fleet size, by the
        heartbeats to watchers.
        """
        if (
            heartbeat.quarantine_digest == self.quarantine_list.digest
            or not self.quarantine_list.digest
        ):
            return []
        synced_at = self._synced_at_by_vm.get(heartbeat.sender, -math.inf)
        if now - synced_at < MIN_SYNC_INTERVAL_S:
            return []
        self._synced_at_by_vm[heartbeat.sender] = now
        return [
            SendToPeer(message=update, to=heartbeat.peer_endpoint)
            for update in self._full_state(now)
        ]

    def tick(self, now: float) -> list[SendToPeer]:
        """Quarantine due requests, and return the messages that are due."""
        effects: list[SendToPeer] = []
        if self.crash_records.records_by_identity:
            for record in self.crash_records.pop_due(now):
                effects += self._quarantine(record, now)
        effects += self.resend_queue.pop_due(now)
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_INTERVAL_S
            self._expire(now)
        return effects

    def restore(self, entry: QuarantineEntry) -> None:
        """Add an entry that is stored at the platform."""
        if self.quarantine_list.add(entry):
            self._log("request_quarantined", entry.identity, by="platform")

    def _quarantine(self, record: CrashRecord, now: float) -> list[SendToPeer]:
        """Quarantine a request, and notify all entry VMs."""
        known = self.quarantine_list.entries_by_identity.values()
        if (
            sum(now - each.quarantined_at < NEW_ENTRY_WINDOW_S for each in known)
            >= MAX_NEW_ENTRIES
        ):
            self._log("quarantine_withheld", record.identity, others=MAX_NEW_ENTRIES)
            return []
        entry = QuarantineEntry(identity=record.identity, quarantined_at=now)
        if not self.quarantine_list.add(entry):
            return []
        incarnation_ids = tuple(record.crashed_at_by_incarnation)
        self.crash_records.attribute_crashes(incarnation_ids)
        self.is_unsaved = True
        self._log(
            "request_quarantined",
            record.identity,
            by=self.vm,
            upstreams=",".join(incarnation_ids),
        )
        message = evolve(_as_message(entry, now), lives=incarnation_ids)
        update = CrashNews(sender=self.vm, quarantined=(message,))
        return self.resend_queue.send_repeatedly(self._to_all(update), now)

    def _apply_report(
        self, report: CrashReport, reply_to: Endpoint | None, now: float
    ) -> list[SendToPeer]:
        entry = self.quarantine_list.entries_by_identity.get(report.identity)
        if entry is not None:
            self.crash_records.attribute_crashes((report.life,))
            if reply_to is None:
                return []
            update = CrashNews(sender=self.vm, quarantined=(_as_message(entry, now),))
            return [SendToPeer(message=update, to=reply_to)]
        at = now - report.ago_ms / 1000
        if not self.crash_records.record_crash(
            report.identity, report.life, at=at, now=now
        ):
            return []
        self.watched.add(report.identity, now)
        record = self.crash_records.records_by_identity[report.identity]
        suspected = (report.identity,) if record.is_suspected else ()
        if suspected:
            self.suspected.add(report.identity, now)
        self._log(
            "request_watched",
            report.identity,
            upstreams=",".join(record.crashed_at_by_incarnation),
        )
        watch = CrashNews(
            sender=self.vm, watched=(report.identity,), suspected=suspected
        )
        return self.resend_queue.send_repeatedly(self._to_all(watch), now)

    def _apply_entry(self, message: Quarantined, now: float) -> None:
        entry = QuarantineEntry(
            identity=message.identity,
            quarantined_at=now - message.ago_ms / 1000,
            probe_attempts=message.trials,
        )
        if self.quarantine_list.add(entry):
            self.crash_records.clear(message.identity)
            self._log("request_quarantined", message.identity, by="member")
        self.crash_records.attribute_crashes(message.lives)

    def _clear(self, identity: int, at: float, now: float) -> list[SendToPeer]:
        """Discard the crashes of a request; notify all VMs that watch it."""
        record = self.crash_records.records_by_identity.get(identity)
        self.crash_records.clear(identity)
        self.suspected.remove(identity)
        if self.quarantine_list.clear(identity, at):
            self._log("quarantine_lifted", identity)
        if record is None or record.watched_at is None:
            return []
        return self.resend_queue.send_repeatedly(
            self._to_all(self._clearance(identity)), now
        )

    def _send_to_aggregators(
        self, identity: int, update: CrashNews, now: float
    ) -> list[SendToPeer]:
        """Send an update to a request's aggregators; apply it if this VM is one."""
        effects: list[SendToPeer] = []
        own: list[SendToPeer] = []
        for each in self.aggregators.select(identity, now):
            if each.endpoint is not None:
                effects.append(SendToPeer(message=update, to=each.endpoint))
                continue
            for report in update.reports:
                own += self._apply_report(report, None, now)
            for cleared in update.cleared:
                own += self._clear(cleared.identity, now, now)
        return [*own, *self.resend_queue.send_repeatedly(effects, now)]

    def _to_all(self, update: CrashNews) -> list[SendToPeer]:
        return [
            SendToPeer(message=update, to=each)
            for each in self.aggregators.peer_endpoints()
        ]

    def _full_state(self, now: float) -> list[CrashNews]:
        """Return all quarantined and cleared requests, in messages of bounded size."""
        quarantined = [
            _as_message(entry, now)
            for entry in self.quarantine_list.entries_by_identity.values()
        ]
        cleared = [
            Clearance(identity=identity, ago_ms=round(1000 * (now - at)))
            for identity, at in self.quarantine_list.cleared_at_by_identity.items()
        ]
        size = ENTRIES_PER_MESSAGE
        return [
            CrashNews(
                sender=self.vm,
                quarantined=tuple(quarantined[first : first + size]),
                cleared=tuple(cleared[first : first + size]),
            )
            for first in range(0, max(len(quarantined), len(cleared)), size)
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

    def _log(self, event: str, identity: int, **fields: object) -> None:
        change = QuarantineChange(event=event, identity=identity, fields=fields)
        self.changes = [*self.changes, change][-MAX_CHANGES:]


def _as_message(entry: QuarantineEntry, now: float) -> Quarantined:
    return Quarantined(
        identity=entry.identity,
        ago_ms=round(1000 * max(0.0, now - entry.quarantined_at)),
        trials=entry.probe_attempts,
    )
