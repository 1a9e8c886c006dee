"""What happens to a deployment during a run, and its end."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING

from attrs import frozen

from plankspindle_testkit.lab.clock import Clock
from plankspindle_testkit.lab.deployment import Deployment
from plankspindle_testkit.lab.exchanges import Exchanges
from plankspindle_testkit.lab.pattern import EventKind
from plankspindle_testkit.lab.pattern import PatternEvent

if TYPE_CHECKING:
    from plankspindle_testkit.lab.modelled_upstream import ModelledUpstream

_OF_UPSTREAMS = (
    EventKind.SLOW,
    EventKind.SHED,
    EventKind.CRASH,
    EventKind.END,
    EventKind.LIMIT,
    EventKind.LEAVE,
    EventKind.REST,
)


@frozen(kw_only=True)
class Strikes:
    """Begin and end the events of a pattern.

    Parameters
    ----------
    clock : Clock
        The clock.
    deployment : Deployment
        What is struck.
    exchanges : Exchanges
        Requests, which end where entry VMs end.
    seed : int
        Seed of the choice of upstreams.
    """

    clock: Clock
    deployment: Deployment
    exchanges: Exchanges
    seed: int

    def plan(self) -> None:
        """Plan all events of the pattern."""
        for event in self.deployment.pattern.events:
            self.clock.after(event.at_s, partial(self._begin, event))

    def _begin(self, event: PatternEvent) -> None:
        struck = self._struck(event)
        self.clock.after(event.for_s, partial(self._end, event, struck))
        for upstream in struck:
            _strike(upstream, event)
            self._note_limit(upstream)
        match event.kind:
            case EventKind.END:
                for upstream in struck:
                    self.exchanges.end_upstream(upstream)
            case EventKind.DRAIN:
                self.deployment.drained.add(event.domain or "")
                self._adopt()
            case EventKind.RESTART:
                for vm in self.deployment.vms_by_name.values():
                    vm.is_up = False
                self.exchanges.break_off()
            case _:
                pass

    def _end(self, event: PatternEvent, struck: list[ModelledUpstream]) -> None:
        for upstream in struck:
            if upstream.is_dead:
                upstream.restart(self.clock.now)
            upstream.slowness, upstream.shed_part = 1.0, 0.0
            upstream.limit_per_s = upstream.rest_s = None
            self._note_limit(upstream)
        match event.kind:
            case EventKind.DRAIN:
                self.deployment.drained.discard(event.domain or "")
                self._adopt()
            case EventKind.RESTART:
                self.deployment.start_vms(self.clock.now)
            case _:
                pass

    def _struck(self, event: PatternEvent) -> list[ModelledUpstream]:
        if event.kind not in _OF_UPSTREAMS:
            return []
        fitting = [
            each
            for each in self.deployment.upstreams_by_name.values()
            if event.domain in (None, each.domain)
        ]
        random = Random(f"{self.seed} {event.at_s} {event.kind.value}")
        return random.sample(fitting, round(event.share * len(fitting)))

    def _note_limit(self, upstream: ModelledUpstream) -> None:
        record, named = self.exchanges.statements, upstream.limit_per_s
        if named is not None or upstream.name in record.limit_by_upstream:
            record.note_limit(upstream.name, named, self.clock.now)

    def _adopt(self) -> None:
        pattern, drained = self.deployment.pattern, self.deployment.drained
        for vm in self.deployment.vms_by_name.values():
            vm.adopt(pattern, drained, self.clock.now)


def _strike(upstream: ModelledUpstream, event: PatternEvent) -> None:
    match event.kind:
        case EventKind.SLOW:
            upstream.slowness = event.factor
        case EventKind.SHED:
            upstream.shed_part = event.factor
        case EventKind.CRASH:
            upstream.is_dead = True
        case EventKind.LIMIT:
            upstream.limit_per_s = event.factor
        case EventKind.LEAVE:
            upstream.is_leaving = True
        case EventKind.REST:
            upstream.rest_s = event.factor
        case _:
            pass
