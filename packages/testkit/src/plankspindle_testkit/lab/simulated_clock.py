"""The fake clock of a run: acts in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

from attrs import Factory
from attrs import define
from attrs import field


@define(kw_only=True)
class SimulatedClock:
    """Acts that are due.

    Attributes
    ----------
    now : float
        Seconds of the run.
    """

    now: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = Factory(list)
    _numbers: count[int] = field(factory=count)

    def schedule(self, seconds: float, callback: Callable[[], None]) -> None:
        """Do something later; what is due at one time is done in order."""
        entry = (self.now + seconds, next(self._numbers), callback)
        heapq.heappush(self._events, entry)

    def run_until(self, end_s: float) -> None:
        """Do all that is due by a time, in seconds."""
        while self._events and self._events[0][0] <= end_s:
            self.now, _, act = heapq.heappop(self._events)
            act()
