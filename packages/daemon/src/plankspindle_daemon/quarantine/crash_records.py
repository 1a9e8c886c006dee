"""Counts the upstreams that crashed while processing each request."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define

if TYPE_CHECKING:
    from collections.abc import Iterable

QUARANTINE_AFTER_CRASHES = 3
"""Number of upstream crashes after which a request is quarantined."""
WATCH_AFTER_CRASHES = 2
"""Number of upstream crashes after which all entry VMs watch for a completion of it."""
MIN_CRASH_SPREAD_S = 0.15
"""Minimum time from the first to the last crash of a suspected request, in seconds.

Upstreams that crash at the same moment have a common cause, which need not be the
request.
"""
CLEARANCE_WINDOW_S = 0.7
"""Time in which a completion clears a watched request, in seconds.

A request that many callers send is in flight at several upstreams when those crash at
once for another reason. It completes at other upstreams in the meantime.
"""
CRASH_RETENTION_S = 600.0
"""Time for which a crash counts, in seconds."""
MAX_RECORDS = 4_096
MAX_CRASHES_PER_REQUEST = 8
"""Number of crashes that are stored for one request."""
MAX_ATTRIBUTED = 1_024


@define(kw_only=True)
class CrashRecord:
    """Upstreams that crashed while processing one request.

    Parameters
    ----------
    identity : int
        Digest of the request.
    crashed_at_by_incarnation : dict of str to float
        Crash times by upstream incarnation, monotonic seconds.
    watched_at : float, optional
        Time from which all entry VMs watch for a completion, monotonic seconds.
    is_suspected : bool
        Whether each attempt of the request is sent to a single upstream.
    """

    identity: int
    crashed_at_by_incarnation: dict[str, float] = Factory(dict)
    watched_at: float | None = None
    is_suspected: bool = False

    def update_state(self, now: float) -> bool:
        """Update the watched and suspected states; return whether one changed."""
        before = (self.watched_at, self.is_suspected)
        crash_times = self.crashed_at_by_incarnation.values()
        if len(crash_times) >= WATCH_AFTER_CRASHES:
            self.watched_at = now if self.watched_at is None else self.watched_at
            self.is_suspected |= (
                max(crash_times) - min(crash_times) >= MIN_CRASH_SPREAD_S
            )
        return before != (self.watched_at, self.is_suspected)

    def expire(self, now: float) -> None:
        """Remove crashes that are past their retention time."""
        kept = self.crashed_at_by_incarnation.items()
        self.crashed_at_by_incarnation = {
            incarnation_id: at
            for incarnation_id, at in kept
            if now - at <= CRASH_RETENTION_S
        }
        if len(self.crashed_at_by_incarnation) < WATCH_AFTER_CRASHES:
            self.watched_at, self.is_suspected = None, False

    def is_quarantine_due(self, now: float) -> bool:
        """Return whether the request must be quarantined now."""
        return (
            self.watched_at is not None
            and len(self.crashed_at_by_incarnation) >= QUARANTINE_AFTER_CRASHES
            and now >= self.watched_at + CLEARANCE_WINDOW_S
        )


@define(kw_only=True)
class CrashRecords:
    """Requests that were in flight at upstreams that crashed.

    Notes
    -----
    All requests that are in flight at an upstream fail when it crashes, and nothing
    shows which one caused the crash. Only the request that causes crashes is in flight
    at the next upstream that crashes, too. A crash that is attributed to a quarantined
    request counts for no other request: callers of the requests that failed along with
    it retry, and these retries would otherwise be present at a second and third crash.
    """

    records_by_identity: OrderedDict[int, CrashRecord] = Factory(OrderedDict)
    _attributed: OrderedDict[str, None] = Factory(OrderedDict)

    def record_crash(
        self, identity: int, incarnation_id: str, *, at: float, now: float
    ) -> bool:
        """Record the crash of an upstream.

        Parameters
        ----------
        identity : int
            Digest of a request that was in flight there.
        incarnation_id : str
            Name and incarnation of the upstream that crashed.
        at, now : float
            Time of the crash and current time, monotonic seconds.

        Returns
        -------
        bool
            Whether all entry VMs must be notified, since the request has become watched
            or suspected.
        """
        if incarnation_id in self._attributed:
            return False
        record = self.records_by_identity.get(identity)
        if record is None:
            record = self.records_by_identity[identity] = CrashRecord(identity=identity)
            while len(self.records_by_identity) > MAX_RECORDS:
                self.records_by_identity.popitem(last=False)
        self.records_by_identity.move_to_end(identity)
        record.expire(now)
        if len(record.crashed_at_by_incarnation) < MAX_CRASHES_PER_REQUEST:
            record.crashed_at_by_incarnation.setdefault(incarnation_id, at)
        return record.update_state(now)

    def clear(self, identity: int) -> None:
        """Discard the record of a request that completed."""
        self.records_by_identity.pop(identity, None)

    def attribute_crashes(self, incarnation_ids: Iterable[str]) -> None:
        """Remove crashes that a quarantined request caused from all other requests."""
        for incarnation_id in incarnation_ids:
            self._attributed[incarnation_id] = None
            for identity, record in list(self.records_by_identity.items()):
                if record.crashed_at_by_incarnation.pop(incarnation_id, None) is None:
                    continue
                if not record.crashed_at_by_incarnation:
                    del self.records_by_identity[identity]
        while len(self._attributed) > MAX_ATTRIBUTED:
            self._attributed.popitem(last=False)

    def expire(self, now: float) -> None:
        """Discard requests without crashes that still count."""
        for identity, record in list(self.records_by_identity.items()):
            record.expire(now)
            if not record.crashed_at_by_incarnation:
                del self.records_by_identity[identity]

    def pop_due(self, now: float) -> list[CrashRecord]:
        """Remove and return the requests that must be quarantined now."""
        due = [
            each
            for each in self.records_by_identity.values()
            if each.is_quarantine_due(now)
        ]
        for record in due:
            del self.records_by_identity[record.identity]
        return due
