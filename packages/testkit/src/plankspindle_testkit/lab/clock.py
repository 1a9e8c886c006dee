"""The fake clock of a run: acts in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

from attrs import Factory
from attrs import define
from attrs import field


@define(kw_only=True)
class Clock:
    """Acts that are due.

    Attributes
    ----------
    now : float
        Seconds of the run.
    """

    now: float = 0.0
    _due: list[tuple[float, int, Callable[[], None]]] = Factory(list)
    _numbers: count[int] = field(factory=count)

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        """Do something later; what is due at one time is done in order."""
        entry = (self.now + seconds, next(self._numbers), act)
        heapq.heappush(self._due, entry)

    def run_until(self, ends_at: float) -> None:
        """Do all that is due by a time, in seconds."""
        while self._due and self._due[0][0] <= ends_at:
            self.now, _, act = heapq.heappop(self._due)
            act()
