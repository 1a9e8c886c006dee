"""Checks of what a bad software version gets in a roll-out."""

from __future__ import annotations

from bisect import bisect_right
from math import inf
from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_testkit.rollouts.rollout_records import RolloutHistory
from plankspindle_testkit.rollouts.rollout_violation import RolloutRule
from plankspindle_testkit.rollouts.rollout_violation import RolloutViolation

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from plankspindle_testkit.rollouts.rollout_records import Arrival
    from plankspindle_testkit.rollouts.rollout_records import RolloutOrder
    from plankspindle_testkit.rollouts.rollout_records import Span

TOLERATED_BAD_ANSWERS = 50
"""Bad answers of a version after the last of which its roll-back is due."""


@frozen(kw_only=True)
class Exposure:
    """What a target got between its order and the deadline.

    Parameters
    ----------
    exposed : int
        Arrivals at the target from VMs in touch. Each attempt counts.
    requests : int
        Requests that reached the service, each counted once.
    allowed : float
        Allowed number of exposed requests, for a bad target.
    peak_use : float
        Largest ratio of exposed to allowed requests up to some moment, which tells
        how evenly the allowance was used.
    """

    exposed: int
    requests: int
    allowed: float
    peak_use: float


def measure_exposure(history: RolloutHistory, order: RolloutOrder) -> Exposure:
    """Return what the target of an order got between the order and its deadline.

    Parameters
    ----------
    history : RolloutHistory
        All records.
    order : RolloutOrder
        One of its orders.
    """
    bounds, exposed, requests = history.bounds, 0, set[str]()
    allowed, peak_use = bounds.exposure_slack, 0.0
    for arrival in history.arrivals_of(order.service):
        if not order.ordered_at <= arrival.arrived_at <= order.deadline:
            continue
        requests.add(arrival.request)
        allowed = bounds.exposure_share * len(requests) + bounds.exposure_slack
        is_exposed = arrival.software_version == order.target
        if is_exposed and history.is_in_touch(arrival.vm, arrival.arrived_at):
            exposed += 1
            peak_use = max(peak_use, exposed / allowed)
    return Exposure(
        exposed=exposed, requests=len(requests), allowed=allowed, peak_use=peak_use
    )


def check_exposure(
    history: RolloutHistory, order: RolloutOrder
) -> Iterator[RolloutViolation]:
    """Yield a violation if a bad target got more than its allowance."""
    exposure = measure_exposure(history, order)
    if order.is_bad and exposure.exposed > exposure.allowed:
        yield RolloutViolation(
            rule=RolloutRule.EXPOSURE,
            service=order.service,
            at=order.deadline,
            times=exposure.exposed,
            detail=f"{order.target} got {exposure.exposed} of {exposure.requests}"
            f" requests, allowed {exposure.allowed:.1f}",
        )


def check_roll_back(
    history: RolloutHistory, order: RolloutOrder
) -> Iterator[RolloutViolation]:
    """Yield a violation if a bad target was used after its roll-back was due.

    Notes
    -----
    While the store is unstable but answers all calls, the bound is extended for VMs
    that are undisturbed themselves; bad answers then count since the store last failed
    to answer.
    """
    if not order.is_bad:
        return
    until = history.next_order_at(order.service, order.ordered_at)
    arrivals = [
        each
        for each in history.arrivals_of(order.service)
        if each.software_version == order.target
        and order.ordered_at <= each.arrived_at < until
    ]
    due = _RollBackDue(
        history=history,
        bad_answers_at=sorted(each.ended_at for each in arrivals if each.is_bad),
    )
    late = [each for each in arrivals if due.is_late(each)]
    if late:
        first = min(late, key=lambda each: each.sent_at)
        yield RolloutViolation(
            rule=RolloutRule.ROLL_BACK,
            service=order.service,
            at=first.sent_at,
            times=len(late),
            detail=f"{order.target} at {first.upstream} got {first.request} of"
            f" {first.vm} after {TOLERATED_BAD_ANSWERS} bad answers",
        )


@frozen(kw_only=True)
class _RollBackDue:
    """When a bad target must get nothing any more."""

    history: RolloutHistory
    bad_answers_at: list[float]

    def is_late(self, arrival: Arrival) -> bool:
        """Return whether an arrival was sent after a bound that applies to its VM."""
        bounds, sent_at = self.history.bounds, arrival.sent_at
        unstable = self.history.store_unstable
        failing = [each for each in unstable if not each.answers_all]
        if not self.history.is_undisturbed(arrival.vm, arrival.arrived_at):
            return False
        return (
            sent_at > self._tolerated_until(unstable, arrival) + bounds.rollback_s
            or sent_at
            > self._tolerated_until(failing, arrival)
            + bounds.rollback_s
            + bounds.outer_s
        )

    def _tolerated_until(self, spans: Sequence[Span], arrival: Arrival) -> float:
        """Return the time of the last tolerated bad answer since some spans.

        Returns
        -------
        float
            Infinite if there were fewer, or in one of the spans.
        """
        if any(each.contains(arrival.arrived_at) for each in spans):
            return inf
        ended = (each.end for each in spans if each.end < arrival.arrived_at)
        first = bisect_right(self.bad_answers_at, max(ended, default=-inf))
        counted = self.bad_answers_at[first : first + TOLERATED_BAD_ANSWERS]
        return counted[-1] if len(counted) == TOLERATED_BAD_ANSWERS else inf
