"""Checks that requests run only at software versions that an order allows."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from plankspindle_testkit.rollouts.rollout_records import PublishedState
from plankspindle_testkit.rollouts.rollout_violation import RolloutRule
from plankspindle_testkit.rollouts.rollout_violation import RolloutViolation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_testkit.rollouts.rollout_records import Arrival
    from plankspindle_testkit.rollouts.rollout_records import RolloutHistory
    from plankspindle_testkit.rollouts.rollout_records import RolloutOrder


def check_unnamed(history: RolloutHistory, service: str) -> Iterator[RolloutViolation]:
    """Yield violations for versions that got requests before an order named them.

    This applies to all VMs, in touch or not.
    """
    named_at_by_version = {history.baseline_by_service[service]: -inf}
    for order in history.orders:
        if order.service == service:
            named_at = named_at_by_version.get(order.target, inf)
            named_at_by_version[order.target] = min(named_at, order.ordered_at)
    unnamed = [
        each
        for each in history.arrivals_of(service)
        if each.arrived_at < named_at_by_version.get(each.software_version, inf)
    ]
    yield from _violations(RolloutRule.UNNAMED, unnamed)


def check_ended(
    history: RolloutHistory, order: RolloutOrder
) -> Iterator[RolloutViolation]:
    """Yield a violation for a target used after its roll-back or withdrawal.

    Both must be in effect within the bound on roll-backs. An order that was completed
    has put its target in force, whatever becomes of the order.
    """
    service, target = order.service, order.target
    completed_at = history.reached_at(order, PublishedState.COMPLETE)
    rolled_back_at = history.reached_at(order, PublishedState.ROLLED_BACK)
    ended_at = min(rolled_back_at, order.withdrawn_at)
    in_force = history.version_in_force(service, order.ordered_at)
    if completed_at <= ended_at or target == in_force:
        return
    due = ended_at + history.bounds.rollback_s
    until = history.next_order_at(service, order.ordered_at, target=target)
    late = [
        each
        for each in history.arrivals_of(service)
        if each.software_version == target
        and due < each.sent_at
        and each.arrived_at < until
        and history.is_in_touch(each.vm, each.arrived_at)
    ]
    yield from _violations(RolloutRule.ENDED, late)


def check_completion(
    history: RolloutHistory, order: RolloutOrder
) -> Iterator[RolloutViolation]:
    """Yield violations for requests at other versions than a completed target.

    Upstreams of other versions stop without draining once the completion is published.
    """
    service = order.service
    completed_at = history.reached_at(order, PublishedState.COMPLETE)
    others = [
        each
        for each in history.arrivals_of(service)
        if each.software_version != order.target
    ]
    running = [
        each
        for each in others
        if each.arrived_at < completed_at < each.ended_at
        and history.is_in_touch(each.vm, completed_at)
    ]
    yield from _violations(RolloutRule.RUNNING_AT_COMPLETE, running)
    until_by_version = {
        each: history.next_order_at(service, order.ordered_at, target=each)
        for each in {each.software_version for each in others}
    }
    after = [
        each
        for each in others
        if completed_at <= each.arrived_at < until_by_version[each.software_version]
        and history.is_in_touch(each.vm, each.arrived_at)
    ]
    yield from _violations(RolloutRule.SENT_AFTER_COMPLETE, after)


def check_drained(history: RolloutHistory, service: str) -> Iterator[RolloutViolation]:
    """Yield violations for requests that arrive after the planned end of an upstream.

    Only requests sent by VMs in touch count, and later than the bound after the end.
    """
    ended_at_by_upstream = {each.upstream: each.at for each in history.upstream_ends}
    late = [
        each
        for each in history.arrivals_of(service)
        if each.arrived_at
        > ended_at_by_upstream.get(each.upstream, inf) + history.bounds.drain_s
        and history.is_in_touch(each.vm, each.arrived_at)
    ]
    yield from _violations(RolloutRule.DRAINED, late)


def check_single_end(
    history: RolloutHistory, order: RolloutOrder
) -> Iterator[RolloutViolation]:
    """Yield a violation if a roll-out was published as complete and as rolled back."""
    published = history.published(order)
    ends = [each for each in published if each.state is not PublishedState.RUNNING]
    if len({each.state for each in ends}) > 1:
        yield RolloutViolation(
            rule=RolloutRule.TWO_ENDS,
            service=order.service,
            at=ends[0].at,
            times=len(ends),
            detail=f"{order.target}: "
            + ", ".join(f"{each.state.value} at {each.at:.3f}" for each in ends),
        )


def _violations(
    rule: RolloutRule, arrivals: list[Arrival]
) -> Iterator[RolloutViolation]:
    """Yield one violation for all arrivals that break a rule, if there are any."""
    if not arrivals:
        return
    first = arrivals[0]
    yield RolloutViolation(
        rule=rule,
        service=first.service,
        at=first.arrived_at,
        times=len(arrivals),
        detail=f"first {first.request} of {first.vm} at {first.upstream}"
        f" ({first.software_version}), from {first.arrived_at:.3f} to"
        f" {first.ended_at:.3f}",
    )
