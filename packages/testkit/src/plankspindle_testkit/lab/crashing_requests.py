"""Repeated requests that crash the upstreams that run them."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

from attrs import frozen

from plankspindle_testkit.lab.pattern import EventKind
from plankspindle_testkit.lab.pattern import Pattern
from plankspindle_testkit.lab.pattern import PatternEvent
from plankspindle_testkit.lab.requests import Crash
from plankspindle_testkit.lab.requests import Request
from plankspindle_testkit.lab.simulated_clock import SimulatedClock

CRASH_AFTER_S = (0.03, 0.1)
"""Range of the time from the start of a request to the crash, in seconds."""


@frozen(kw_only=True)
class CrashingRequests:
    """Sends crashing requests at the rate of their events, from any failure domain.

    Parameters
    ----------
    clock : SimulatedClock
        Clock of the run.
    pattern : Pattern
        Pattern of the run.
    random : Random
        Source of arrival times and failure domains.
    send : callable
        Sends a request to an entry VM.
    """

    clock: SimulatedClock
    pattern: Pattern
    random: Random
    send: Callable[[Request], None]

    def schedule_all(self) -> None:
        """Schedule the first arrival of each crashing request."""
        for number, event in enumerate(self.pattern.events):
            if event.kind is EventKind.CRASHING_REQUEST:
                arrive = partial(self._arrive, event, identity=-1 - number)
                self.clock.schedule(event.at_s, arrive)

    def _arrive(self, event: PatternEvent, identity: int) -> None:
        now = self.clock.now
        if not event.is_on(now):
            return
        repeat = partial(self._arrive, event, identity)
        self.clock.schedule(self.random.expovariate(event.per_s), repeat)
        operation = self.pattern.operations_by_name[event.operation or ""]
        request = Request(
            operation=event.operation or "",
            key=f"crashing-{identity}",
            domain=self.random.choice(list(self.pattern.region_by_domain)),
            first_at=now,
            deadline=now + operation.timeout_ms / 1000,
            identity=identity,
            crash=Crash(
                after_s=self.random.uniform(*CRASH_AFTER_S), down_s=event.down_s
            ),
        )
        self.send(request)
