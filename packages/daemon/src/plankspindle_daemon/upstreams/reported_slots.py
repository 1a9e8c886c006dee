"""Slots of an upstream for all entry VMs, limited by own and reported load."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.invariants import check_invariant
from plankspindle_daemon.upstreams.average_use import AverageUse

if TYPE_CHECKING:
    from plankspindle_daemon.upstreams.slot_ledger import Loan

QUEUE_SHARE = 1.0
"""Requests that may wait at an upstream, as a share of its slots.

Behind as many as its slots a request waits for one average duration at most. Elsewhere
it is a cache miss, takes three times as long, and evicts a key of that upstream.
Compared with a third of the slots this adds 0.03 to the earned worth of days with
faults (over three seeds) and 0.02 to that of modelled loads; twice the slots loses 0.06
where load stays high.
"""
REPORT_DECAY_S = 1.5
"""Time constant of the decay of load of other VMs that an answer reported, in seconds.

0.75 s does as well: the mean earned worth of six days with and without faults is 0.623
and 0.627.
"""
FULL_AFTER_SHED_S = 0.4
"""Time for which an upstream that shed a request counts as full, in seconds."""


@define(kw_only=True)
class ReportedSlots:
    """Count of own running requests, and an estimate of those of other entry VMs.

    Parameters
    ----------
    slots : int
        Slots of the upstream, for all entry VMs together.
    average_use : AverageUse
        Average use of the service's upstreams by other entry VMs.

    Attributes
    ----------
    started_by_ticket : dict of int to float
        Start of each running request that is no upload, monotonic seconds.
    uploads : set of int
        Tickets of running requests whose bodies are passed on as they arrive.
    reported_at : float or None
        When an answer last reported the load, monotonic seconds.

    Notes
    -----
    Own counts are exact. The load that answers report lags and may be wrong, so it
    decays to the average, and it never lets an entry VM exceed the slots by its own
    requests alone. An upstream that never answered counts as full at most, so that it
    still gets a request, whose answer reports its load.
    """

    slots: int
    average_use: AverageUse = Factory(AverageUse)
    started_by_ticket: dict[int, float] = Factory(dict)
    uploads: set[int] = Factory(set)
    reported_at: float | None = None
    _reported_load_of_others: float = 0.0
    _full_until: float = 0.0

    @property
    def in_flight(self) -> int:
        """Own running requests."""
        return len(self.started_by_ticket) + len(self.uploads)

    @property
    def share(self) -> int:
        """Slots this VM may use: all that other VMs leave free."""
        return self.slots

    def load_of_others(self, now: float) -> float:
        """Estimate the requests of other entry VMs that run or wait there."""
        average = self.average_use.average(now) * self.slots
        if self.reported_at is None:
            return min(average, float(self.slots))
        age_s = max(0.0, now - self.reported_at)
        return average + (self._reported_load_of_others - average) * math.exp(
            -age_s / REPORT_DECAY_S
        )

    def load(self, now: float) -> float:
        """Estimate all requests that run or wait there."""
        load = self.in_flight + self.load_of_others(now)
        return max(load, self.slots + 1.0) if now < self._full_until else load

    def record_reported_load(self, total_load: int, now: float) -> None:
        """Record the load that an answer reported, without the answered request.

        Parameters
        ----------
        total_load : int
            Requests that run and wait there.
        now : float
            Monotonic seconds.
        """
        self._reported_load_of_others = max(0.0, float(total_load - self.in_flight))
        self.average_use.record(self._reported_load_of_others / self.slots, now)
        self.reported_at = now

    def record_shed(self, now: float) -> None:
        """Record that the upstream shed a request."""
        self._full_until = now + FULL_AFTER_SHED_S

    def own_allowance(self, now: float) -> int:
        """Return how many own requests may run or wait there now."""
        if now < self._full_until:
            return self.in_flight
        max_requests = self.slots + max(1, math.ceil(self.slots * QUEUE_SHARE))
        return max(0, math.ceil(max_requests - self.load_of_others(now)))

    def allowance(self, now: float, deadline: float) -> int:
        """Return how many own requests may run there, whatever their deadline."""
        del deadline
        return self.own_allowance(now)

    def is_over_share(self, now: float) -> bool:
        """Return False: members do not share out the slots of this upstream."""
        del now
        return False

    def start(
        self, *, ticket: int, now: float, deadline: float, is_upload: bool = False
    ) -> None:
        """Record the start of a request."""
        del deadline
        check_invariant(
            "slots-within-allowance", self.in_flight < self.own_allowance(now)
        )
        if is_upload:
            self.uploads.add(ticket)
        else:
            self.started_by_ticket[ticket] = now

    def finish(self, *, ticket: int) -> None:
        """Remove a request from the running ones."""
        self.started_by_ticket.pop(ticket, None)
        self.uploads.discard(ticket)

    def oldest_start(self) -> float | None:
        """Return when the longest-running request was started, monotonic seconds.

        Notes
        -----
        Uploads do not count: their upstream may have to wait for their callers.
        """
        return next(iter(self.started_by_ticket.values()), None)

    def shrink_share(self, share: int) -> None:
        """Do nothing: there are no shares."""

    def lend(self, *, request_id: int, count: int, now: float, until: float) -> int:
        """Lend nothing: there are no shares."""
        del request_id, count, now, until
        return 0

    def borrow(self, loan: Loan, now: float) -> None:
        """Borrow nothing: there are no shares."""

    def release_all(self) -> None:
        """Reset the reported load of other VMs, as after a pause of the process."""
        self._reported_load_of_others = 0.0
