"""A clock that stands still while processes get no CPU time."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from itertools import pairwise

from attrs import frozen


@frozen(kw_only=True)
class UnstalledClock:
    """Monotonic times without the CPU stalls before them, in the same order.

    Parameters
    ----------
    points : sequence of tuple of float and float
        Monotonic times, and what the clock showed then, in seconds. The clock moves
        evenly between two points, and as the monotonic clock does beyond them.
    """

    points: Sequence[tuple[float, float]]

    @classmethod
    def of_stalls(cls, stalls: Sequence[tuple[float, float]]) -> UnstalledClock:
        """Return the clock for sums of stalls at some times, both in seconds."""
        points = [(at, at) for at, _ in stalls[:1]]
        for (before, sum_before), (at, stalled_sum) in pairwise(stalls):
            run_s = max(0.0, (at - before) - (stalled_sum - sum_before))
            points.append((at, points[-1][1] + run_s))
        return cls(points=points)

    def at(self, monotonic_s: float) -> float:
        """Return what the clock showed at a monotonic time, in seconds."""
        number = bisect_right(self.points, monotonic_s, key=lambda each: each[0])
        if not number:
            return monotonic_s
        before, shown = self.points[number - 1]
        if number == len(self.points):
            return shown + monotonic_s - before
        after, shown_after = self.points[number]
        share = (monotonic_s - before) / (after - before)
        return shown + share * (shown_after - shown)
