"""Scheduling of a pattern's events: faults, drains and restarts."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING

from attrs import frozen

from plankspindle_testkit.lab.deployment import Deployment
from plankspindle_testkit.lab.pattern import EventKind
from plankspindle_testkit.lab.pattern import PatternEvent
from plankspindle_testkit.lab.request_simulator import RequestSimulator
from plankspindle_testkit.lab.simulated_clock import SimulatedClock

if TYPE_CHECKING:
    from plankspindle_testkit.lab.lab_vm import LabVm
    from plankspindle_testkit.lab.modelled_upstream import ModelledUpstream

_UPSTREAM_KINDS = (
    EventKind.SLOW,
    EventKind.SHED,
    EventKind.CRASH,
    EventKind.END,
    EventKind.LIMIT,
    EventKind.LEAVE,
    EventKind.REST,
    EventKind.STORE_RETURN,
)


@frozen(kw_only=True)
class EventScheduler:
    """Applies the events of a pattern and reverts them at their end.

    Parameters
    ----------
    clock : SimulatedClock
        Clock of the run.
    deployment : Deployment
        Deployment that the events affect.
    simulator : RequestSimulator
        Requests, which fail when their entry VM stops.
    seed : int
        Seed of the choice of affected upstreams.
    """

    clock: SimulatedClock
    deployment: Deployment
    simulator: RequestSimulator
    seed: int

    def schedule_all(self) -> None:
        """Schedule all events of the pattern."""
        for event in self.deployment.pattern.events:
            self.clock.schedule(event.at_s, partial(self._begin, event))

    def _begin(self, event: PatternEvent) -> None:
        affected = self._affected(event)
        self.clock.schedule(event.for_s, partial(self._end, event, affected))
        for upstream in affected:
            _apply_fault(upstream, event)
            self._record_limit(upstream)
        match event.kind:
            case EventKind.END:
                for upstream in affected:
                    self.simulator.crash_simulator.crash(upstream)
            case EventKind.CUT:
                for vm in self._cut_vms(event):
                    self.simulator.relays.begin_cut(vm, hangs=event.hangs)
            case EventKind.DRAIN:
                self.deployment.drained_domains.add(event.domain or "")
                self._apply_pattern()
            case EventKind.STORE_RETURN:
                self.deployment.store_era += 1
            case EventKind.RESTART:
                for vm in self.deployment.vms_by_name.values():
                    vm.is_up = False
                self.simulator.abort_all()
            case _:
                pass

    def _end(self, event: PatternEvent, affected: list[ModelledUpstream]) -> None:
        for upstream in affected:
            if upstream.is_dead:
                upstream.restart(self.clock.now)
            upstream.duration_factor, upstream.shed_share = 1.0, 0.0
            upstream.is_listed = True
            upstream.limit_per_s = upstream.retry_after_s = None
            self._record_limit(upstream)
        match event.kind:
            case EventKind.DRAIN:
                self.deployment.drained_domains.discard(event.domain or "")
                self._apply_pattern()
            case EventKind.RESTART:
                self.deployment.start_vms(self.clock.now)
            case EventKind.CUT:
                for vm in self._cut_vms(event):
                    self.simulator.relays.end_cut(vm)
            case _:
                pass

    def _cut_vms(self, event: PatternEvent) -> list[LabVm]:
        """Return the entry VMs that an event cuts off, the same at its end."""
        vms = [
            vm
            for vm in self.deployment.vms_by_name.values()
            if event.domain in (None, vm.domain)
        ]
        random = Random(f"{self.seed} {event.at_s} {event.kind.value}")
        return random.sample(vms, round(event.share * len(vms)))

    def _affected(self, event: PatternEvent) -> list[ModelledUpstream]:
        if event.kind not in _UPSTREAM_KINDS:
            return []
        candidates = [
            each
            for each in self.deployment.upstreams_by_name.values()
            if event.domain in (None, each.domain)
        ]
        random = Random(f"{self.seed} {event.at_s} {event.kind.value}")
        return random.sample(candidates, round(event.share * len(candidates)))

    def _record_limit(self, upstream: ModelledUpstream) -> None:
        record, limit = self.simulator.statements, upstream.limit_per_s
        if limit is not None or upstream.name in record.limit_by_upstream:
            record.record_limit(upstream.name, limit, self.clock.now)

    def _apply_pattern(self) -> None:
        pattern, drained = self.deployment.pattern, self.deployment.drained_domains
        for vm in self.deployment.vms_by_name.values():
            vm.apply_pattern(pattern, drained, self.clock.now)


def _apply_fault(upstream: ModelledUpstream, event: PatternEvent) -> None:
    match event.kind:
        case EventKind.SLOW:
            upstream.duration_factor = event.factor
        case EventKind.SHED:
            upstream.shed_share = event.factor
        case EventKind.CRASH:
            upstream.is_dead = True
        case EventKind.LIMIT:
            upstream.limit_per_s = event.factor
        case EventKind.LEAVE:
            upstream.is_leaving = True
        case EventKind.STORE_RETURN:
            upstream.is_listed = False
        case EventKind.REST:
            upstream.retry_after_s = event.factor
        case _:
            pass
