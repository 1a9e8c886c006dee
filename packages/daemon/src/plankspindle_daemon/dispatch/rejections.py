"""Rejections of requests, with their Retry-After times."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_daemon.admission.priority_queue import PriorityQueue
from plankspindle_daemon.dispatch.duration_averages import DurationAverages
from plankspindle_daemon.dispatch.messages import Reject
from plankspindle_daemon.dispatch.messages import RejectReason
from plankspindle_daemon.traces.steps import Rejected

if TYPE_CHECKING:
    from plankspindle_daemon.admission.ticket import Ticket

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0
MIN_BUSY_RETRY_AFTER_S = 0.3
"""Minimum time to a retry if all suitable upstreams were busy, in seconds."""


@define(kw_only=True)
class Rejections:
    """Reject requests of one service, and count the rejections.

    Parameters
    ----------
    queue : PriorityQueue
        Waiting requests.
    durations : DurationAverages
        Average durations of the service's operations.
    random : Random
        Source of jitter, which keeps callers from retrying all at once.

    Attributes
    ----------
    count_by_reason : dict of RejectReason to int
        Rejections so far.
    """

    queue: PriorityQueue
    durations: DurationAverages
    random: Random
    count_by_reason: dict[RejectReason, int] = Factory(dict)

    def reject(
        self,
        ticket: Ticket,
        reason: RejectReason,
        *,
        capacity: int,
        in_flight: int,
        available_at: float | None,
        now: float,
    ) -> Reject:
        """Reject a request.

        Parameters
        ----------
        ticket : Ticket
            The request.
        reason : RejectReason
            Why it is rejected.
        capacity, in_flight : int
            Requests that may run at once, and requests that run.
        available_at : float, optional
            When an upstream accepts requests again, monotonic time in seconds.
        now : float
            Monotonic time in seconds.
        """
        self.count_by_reason[reason] = self.count_by_reason.get(reason, 0) + 1
        wait = self.durations.estimated_wait_s(
            ahead=self.queue.count_ahead(ticket.rank), capacity=capacity
        )
        wait *= self.random.uniform(1.0, 1.5)
        if reason is RejectReason.BUSY:
            wait = max(wait, MIN_BUSY_RETRY_AFTER_S * self.random.uniform(1.0, 2.0))
        if available_at is not None:
            wait = max(wait, (available_at - now) * self.random.uniform(1.0, 1.5))
        bounded = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))
        expected_s = self.durations.expected_total_s(
            operation=ticket.operation, declared_s=ticket.expected_s
        )
        step = Rejected(
            reason=reason.value,
            retry_after_ms=round(bounded * 1000),
            queued=len(self.queue),
            capacity=capacity,
            in_flight=in_flight,
            usual_ms=round(expected_s * 1000),
            left_ms=round((ticket.deadline - now) * 1000),
        )
        return Reject(ticket=ticket, reason=reason, retry_after_s=bounded, step=step)
