"""Checker of roll-outs: violations, missed duties and statistics of a run."""

from __future__ import annotations

from itertools import pairwise
from math import inf
from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_testkit.rollouts.exposure_checks import check_exposure
from plankspindle_testkit.rollouts.exposure_checks import check_roll_back
from plankspindle_testkit.rollouts.placement_checks import check_completion
from plankspindle_testkit.rollouts.placement_checks import check_drained
from plankspindle_testkit.rollouts.placement_checks import check_ended
from plankspindle_testkit.rollouts.placement_checks import check_single_end
from plankspindle_testkit.rollouts.placement_checks import check_unnamed
from plankspindle_testkit.rollouts.rollout_records import PublishedState
from plankspindle_testkit.rollouts.rollout_records import RolloutOrder

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_testkit.rollouts.rollout_records import Arrival
    from plankspindle_testkit.rollouts.rollout_records import RolloutHistory
    from plankspindle_testkit.rollouts.rollout_violation import RolloutViolation

CHECKS_OF_ORDERS = (
    check_exposure,
    check_roll_back,
    check_ended,
    check_completion,
    check_single_end,
)
CHECKS_OF_SERVICES = (check_unnamed, check_drained)


@frozen(kw_only=True)
class MissedDuty:
    """A roll-out that did not end by its deadline as it should have.

    It has a price, but violates no bound.

    Parameters
    ----------
    order : RolloutOrder
        The order.
    due : PublishedState
        State that was due by the deadline.
    reached_at : float
        When it was published, in seconds; infinite if never.
    """

    order: RolloutOrder
    due: PublishedState
    reached_at: float = inf


@frozen(kw_only=True)
class KeyStatistics:
    """How well the requests of a key keep to one software version.

    Parameters
    ----------
    keys : int
        Keys with requests.
    switched_keys : int
        Keys with requests at more than one version.
    switches : int
        Requests that first went to another version than the one before of their key.
    """

    keys: int
    switched_keys: int
    switches: int


def check_rollouts(history: RolloutHistory) -> list[RolloutViolation]:
    """Return all violations of the bounds on roll-outs.

    Parameters
    ----------
    history : RolloutHistory
        All records of a run.

    Returns
    -------
    list of RolloutViolation
        At most one for each rule and order, or rule and service.
    """
    return list(_violations(history))


def _violations(history: RolloutHistory) -> Iterator[RolloutViolation]:
    for order in history.orders:
        for check_order in CHECKS_OF_ORDERS:
            yield from check_order(history, order)
    for service in history.baseline_by_service:
        for check_service in CHECKS_OF_SERVICES:
            yield from check_service(history, service)


def find_missed_duties(history: RolloutHistory) -> list[MissedDuty]:
    """Return the roll-outs that missed their deadline.

    Orders that were withdrawn before their deadline have no duty.
    """
    missed = []
    for order in history.orders:
        due = PublishedState.ROLLED_BACK if order.is_bad else PublishedState.COMPLETE
        reached_at = history.reached_at(order, due)
        if min(reached_at, order.withdrawn_at) > order.deadline:
            missed.append(MissedDuty(order=order, due=due, reached_at=reached_at))
    return missed


def measure_keys(history: RolloutHistory, service: str) -> KeyStatistics:
    """Return how well the requests of a key keep to one version of a service.

    Only the first attempt of each request counts: a repeat may go to another version.
    """
    first_by_request: dict[str, Arrival] = {}
    for arrival in history.arrivals_of(service):
        if arrival.key:
            first_by_request.setdefault(arrival.request, arrival)
    versions_by_key: dict[str, list[str]] = {}
    for arrival in sorted(first_by_request.values(), key=lambda each: each.sent_at):
        versions_by_key.setdefault(arrival.key, []).append(arrival.software_version)
    return KeyStatistics(
        keys=len(versions_by_key),
        switched_keys=sum(len(set(each)) > 1 for each in versions_by_key.values()),
        switches=sum(
            before != after
            for versions in versions_by_key.values()
            for before, after in pairwise(versions)
        ),
    )
