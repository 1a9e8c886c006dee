"""Checks of roll-outs from what callers, upstreams and the operator observed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve
from attrs import frozen

from plankspindle_testkit.rollouts.exposure_checks import measure_exposure
from plankspindle_testkit.rollouts.rollout_checker import check_rollouts
from plankspindle_testkit.rollouts.rollout_checker import find_missed_duties
from plankspindle_testkit.rollouts.rollout_checker import measure_keys
from plankspindle_testkit.rollouts.rollout_records import Arrival
from plankspindle_testkit.rollouts.rollout_records import RolloutHistory
from plankspindle_testkit.rollouts.rollout_records import Span
from plankspindle_testkit.rollouts.rollout_records import StoreSpan
from plankspindle_testkit.rollouts.rollout_records import UpstreamEnd
from soak.checks import Checks
from soak.layout import SERVICES
from soak.rollout_injector import RolloutInjector
from soak.software_version import BASELINE

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from plankspindle_testkit.rollouts.rollout_records import RolloutOrder
    from soak import history
    from soak.unstalled_clock import UnstalledClock


@frozen(kw_only=True)
class RolloutChecks:
    """Checks of all roll-outs, made at the end of the soak.

    Parameters
    ----------
    checks : Checks
        Observations, and where violations are recorded.
    injector : RolloutInjector
        The orders, and the states that the operator read.

    Notes
    -----
    All times are those of a clock without CPU stalls, so that bounds are extended by
    them. A request that its caller no longer waits for does not run any more.
    """

    checks: Checks
    injector: RolloutInjector

    def check(self) -> None:
        """Record violations, and count missed duties and what could be judged."""
        if not self.injector.orders:
            return
        clock = self.checks.disturbances.unstalled_clock()
        records = self._records(clock)
        for violation in check_rollouts(records):
            detail = f"{violation.service}: {violation.detail}, {violation.times} times"
            check = f"roll-out: {violation.rule.value}"
            self.checks.fail(check, detail, violation.at)
        counts = self.checks.counts
        counts["missed duties of roll-outs"] += len(find_missed_duties(records))
        for order in records.orders:
            exposure = measure_exposure(records, order)
            counts["requests judged for exposure"] += exposure.exposed * order.is_bad
            for change in records.published(order):
                counts[f"roll-outs that were {change.state.value}"] += 1
        for service in {each.service for each in records.orders}:
            keys = measure_keys(records, service)
            counts["keys that changed their version"] += keys.switched_keys
            counts["changes of a key's version"] += keys.switches

    def _records(self, clock: UnstalledClock) -> RolloutHistory:
        disturbances = self.checks.disturbances
        spans_by_vm = dict(disturbances.spans_by_vm())
        of_store = {
            id(each): each
            for spans in spans_by_vm.values()
            for each in spans
            if each.is_of_store
        }
        return RolloutHistory(
            bounds=self.checks.bounds.of_rollouts(),
            baseline_by_service=dict.fromkeys(SERVICES, BASELINE.name),
            orders=tuple(_order(each, clock) for each in self.injector.orders),
            arrivals=tuple(self._arrivals(clock)),
            state_changes=tuple(
                evolve(each, at=clock.at(each.at))
                for each in self.injector.state_changes
            ),
            upstream_ends=tuple(
                UpstreamEnd(upstream=each.name, at=clock.at(each.left_at))
                for each in self.injector.upstreams.current
                if each.is_last
            ),
            out_of_touch_by_vm={
                vm: tuple(
                    Span(begin=begin, end=end)
                    for begin, end in self._extended(spans, clock, is_of_store=False)
                )
                for vm, spans in spans_by_vm.items()
            },
            store_unstable=tuple(
                StoreSpan(begin=begin, end=end)
                for begin, end in self._extended(
                    of_store.values(), clock, is_of_store=True
                )
            ),
        )

    def _extended(
        self,
        spans: Iterable[history.Span],
        clock: UnstalledClock,
        *,
        is_of_store: bool,
    ) -> Iterator[tuple[float, float]]:
        """Yield disturbances with the time after them in which no bounds apply."""
        for each in spans:
            if each.is_of_store is is_of_store:
                end = clock.at(each.end) + self.checks.bounds.contact
                yield clock.at(each.begin), end

    def _arrivals(self, clock: UnstalledClock) -> Iterator[Arrival]:
        for request, runs in self.checks.requests_with_runs:
            for run in runs:
                yield Arrival(
                    request=request.request,
                    service=run.at.service,
                    software_version=run.at.software.name,
                    upstream=run.at.name,
                    vm=request.vm,
                    sent_at=clock.at(request.sent_at),
                    arrived_at=clock.at(run.arrived_at),
                    ended_at=clock.at(min(run.ended_at, request.ended_at)),
                    is_bad=run.is_flawed,
                    key=request.key,
                )


def _order(order: RolloutOrder, clock: UnstalledClock) -> RolloutOrder:
    return evolve(
        order,
        ordered_at=clock.at(order.ordered_at),
        deadline=clock.at(order.deadline),
        withdrawn_at=clock.at(order.withdrawn_at),
    )
