"""Simulated clock of a run, which calls callbacks in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

from attrs import Factory
from attrs import define
from attrs import field


@define(kw_only=True)
class SimulatedClock:
    """Event queue of a simulation.

    Attributes
    ----------
    now : float
        Simulated time since the start of the run, in seconds.
    """

    now: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = Factory(list)
    _numbers: count[int] = field(factory=count)

    def schedule(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call a callback after a delay in seconds; equal times keep their order."""
        entry = (self.now + seconds, next(self._numbers), callback)
        heapq.heappush(self._events, entry)

    def run_until(self, end_s: float) -> None:
        """Run all callbacks due until a time, in seconds."""
        while self._events and self._events[0][0] <= end_s:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
