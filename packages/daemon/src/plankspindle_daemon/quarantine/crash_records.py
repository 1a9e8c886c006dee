"""Counts the upstreams that ended under each request."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define

if TYPE_CHECKING:
    from collections.abc import Iterable

QUARANTINE_AFTER_CRASHES = 3
"""Upstreams that end under a request before it is put in quarantine."""
WATCH_AFTER_CRASHES = 2
"""Upstreams that end under a request before all entry VMs look for an answer to it."""
MIN_CRASH_SPREAD_S = 0.15
"""Least time between the first and the last end that make one suspected, in seconds.

Upstreams that end at one moment have a cause in common, which need not be the request.
"""
CLEARANCE_WINDOW_S = 0.7
"""Time in which an answer clears a watched request, in seconds.

One that many callers send is in flight at several upstreams that end at once of
something else. It is answered elsewhere meanwhile.
"""
CRASH_RETENTION_S = 600.0
"""Time for which an end counts, in seconds."""
MAX_RECORDS = 4_096
MAX_CRASHES_PER_REQUEST = 8
"""Ends that are kept of one request."""
MAX_ATTRIBUTED = 1_024


@define(kw_only=True)
class CrashRecord:
    """Upstreams that ended under one request.

    Parameters
    ----------
    identity : int
        The request.
    crashed_at_by_incarnation : dict of str to float
        When lives of upstreams ended, monotonic seconds.
    watched_at : float, optional
        Since when all entry VMs look for an answer, monotonic seconds.
    is_suspected : bool
        Whether a try of it is sent to one upstream only.
    """

    identity: int
    crashed_at_by_incarnation: dict[str, float] = Factory(dict)
    watched_at: float | None = None
    is_suspected: bool = False

    def update_state(self, now: float) -> bool:
        """Watch and suspect the request if its ends say so; tell if that is new."""
        before = (self.watched_at, self.is_suspected)
        ends = self.crashed_at_by_incarnation.values()
        if len(ends) >= WATCH_AFTER_CRASHES:
            self.watched_at = now if self.watched_at is None else self.watched_at
            self.is_suspected |= max(ends) - min(ends) >= MIN_CRASH_SPREAD_S
        return before != (self.watched_at, self.is_suspected)

    def expire(self, now: float) -> None:
        """Forget ends that do not count any more."""
        kept = self.crashed_at_by_incarnation.items()
        self.crashed_at_by_incarnation = {
            life: at for life, at in kept if now - at <= CRASH_RETENTION_S
        }
        if len(self.crashed_at_by_incarnation) < WATCH_AFTER_CRASHES:
            self.watched_at, self.is_suspected = None, False

    def is_quarantine_due(self, now: float) -> bool:
        """Tell whether the request is to be put in quarantine."""
        return (
            self.watched_at is not None
            and len(self.crashed_at_by_incarnation) >= QUARANTINE_AFTER_CRASHES
            and now >= self.watched_at + CLEARANCE_WINDOW_S
        )


@define(kw_only=True)
class CrashRecords:
    """Requests that were in flight at upstreams that ended.

    Notes
    -----
    All that was in flight at an upstream ends with it, and nothing tells which request
    it was. Only the one that crashes it is in flight at the next one, too. An end that
    a quarantined request explains counts for no other: the callers of those that
    crashed with it try again, and would meet it at a second and third upstream.
    """

    records_by_identity: OrderedDict[int, CrashRecord] = Factory(OrderedDict)
    _attributed: OrderedDict[str, None] = Factory(OrderedDict)

    def record_crash(
        self, identity: int, incarnation_id: str, *, at: float, now: float
    ) -> bool:
        """Count the end of an upstream.

        Parameters
        ----------
        identity : int
            A request that was in flight there.
        incarnation_id : str
            Which life of which upstream ended.
        at, now : float
            When it ended, and the time now, monotonic seconds.

        Returns
        -------
        bool
            Whether all entry VMs are to be told: they are to watch the request from now
            on, or it is suspected now.
        """
        if incarnation_id in self._attributed:
            return False
        case = self.records_by_identity.get(identity)
        if case is None:
            case = self.records_by_identity[identity] = CrashRecord(identity=identity)
            while len(self.records_by_identity) > MAX_RECORDS:
                self.records_by_identity.popitem(last=False)
        self.records_by_identity.move_to_end(identity)
        case.expire(now)
        if len(case.crashed_at_by_incarnation) < MAX_CRASHES_PER_REQUEST:
            case.crashed_at_by_incarnation.setdefault(incarnation_id, at)
        return case.update_state(now)

    def clear(self, identity: int) -> None:
        """Forget a request that was answered."""
        self.records_by_identity.pop(identity, None)

    def attribute_crashes(self, incarnation_ids: Iterable[str]) -> None:
        """Take ends that a quarantined request has brought about off the others."""
        for life in incarnation_ids:
            self._attributed[life] = None
            for identity, case in list(self.records_by_identity.items()):
                if case.crashed_at_by_incarnation.pop(life, None) is None:
                    continue
                if not case.crashed_at_by_incarnation:
                    del self.records_by_identity[identity]
        while len(self._attributed) > MAX_ATTRIBUTED:
            self._attributed.popitem(last=False)

    def expire(self, now: float) -> None:
        """Forget requests of which no end counts any more; each tick looks at all."""
        for identity, case in list(self.records_by_identity.items()):
            case.expire(now)
            if not case.crashed_at_by_incarnation:
                del self.records_by_identity[identity]

    def pop_due(self, now: float) -> list[CrashRecord]:
        """Take out the requests that are to be put in quarantine."""
        due = [
            each
            for each in self.records_by_identity.values()
            if each.is_quarantine_due(now)
        ]
        for case in due:
            del self.records_by_identity[case.identity]
        return due
