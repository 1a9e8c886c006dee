"""Whether requests have enough time left to be run before their deadlines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_daemon.dispatch.duration_averages import DurationAverages
from plankspindle_daemon.dispatch.messages import RejectReason

if TYPE_CHECKING:
    from plankspindle_daemon.admission.ticket import Ticket

MIN_TIME_LEFT_FACTOR = 1.5
"""Expected durations that a waiting request must have left before its deadline.

At 1.5 times the capacity, a factor of 0.5 wastes 8 percent of the slots on requests
that complete too late, 1.5 wastes none (docs/MEASUREMENTS.md).
"""


@define(kw_only=True)
class TimeLimits:
    """Compare the expected durations of requests with the time that they have left.

    Parameters
    ----------
    durations : DurationAverages
        Average durations of the service's operations.
    """

    durations: DurationAverages

    def expected_duration_s(self, ticket: Ticket) -> float:
        """Return the expected duration of a request, in seconds."""
        return self.durations.expected_total_s(
            operation=ticket.operation, declared_s=ticket.expected_s
        )

    def give_up_reason(self, ticket: Ticket, now: float) -> RejectReason | None:
        """Return why a waiting request is rejected; None if it may wait on."""
        if self._is_late_after(0.0, ticket, now):
            return RejectReason.TOO_LATE
        return RejectReason.BUSY if now >= ticket.queue_deadline else None

    def would_be_late(
        self, ticket: Ticket, *, ahead: int, capacity: int, now: float
    ) -> bool:
        """Return whether a new request would wait too long for its deadline.

        Parameters
        ----------
        ticket : Ticket
            The request.
        ahead : int
            Requests ahead of it in the queue.
        capacity : int
            Requests that may run at once.
        now : float
            Monotonic time in seconds.
        """
        wait_s = self.durations.estimated_wait_s(ahead=ahead, capacity=capacity)
        return self._is_late_after(wait_s, ticket, now)

    def _is_late_after(self, wait_s: float, ticket: Ticket, now: float) -> bool:
        needed_s = MIN_TIME_LEFT_FACTOR * self.expected_duration_s(ticket)
        return now + wait_s + needed_s > ticket.deadline
