"""Bound on how fast the part of requests that leave the own region grows."""

from __future__ import annotations

from collections import deque

from attrs import Factory
from attrs import define

STEP = 0.1
"""Growth of the part that leaves from one window to the next."""
BUCKET_S = 0.5
BUCKETS = 4
"""Length of a bucket in seconds, and buckets of a window."""
ROOM_STEP = 0.05
"""Loss of the own region's room, as a part of it, that ends the bound for a while."""
FREE_S = 10.0
"""Time after such a loss without bound, in seconds."""


@define(kw_only=True)
class _Bucket:
    """Requests of a short time, and those among them that left."""

    number: int
    total: int = 0
    left: int = 0


@define(kw_only=True)
class RegionLimiter:
    """Decide whether a request may leave the region, by what left before.

    Notes
    -----
    Requests that flood from a busy region into the next make that one busy, too, and
    come back when it is. The part that leaves in one window therefore passes that of
    the window before by a step at most. When upstreams of the region go, or are
    drained, there is no bound for a while: the requests have to go where there is room.
    """

    _buckets: deque[_Bucket] = Factory(deque)
    _room: float = 0.0
    _free_until: float = 0.0

    def note_room(self, slots: float, now: float) -> None:
        """Take the slots of the region's usable upstreams.

        Parameters
        ----------
        slots : float
            Their sum.
        now : float
            Monotonic seconds.
        """
        if slots < (1 - ROOM_STEP) * self._room:
            self._free_until = now + FREE_S
        self._room = slots

    def may_leave(self, now: float) -> bool:
        """Tell whether one more request may leave the region."""
        if now < self._free_until or self._room == 0:
            return True
        before, present = self._windows(now)
        allowed = _part(*before) + STEP
        left, total = present
        return left + 1 <= allowed * (total + 1)

    def note_sent(self, *, leaves: bool, now: float) -> None:
        """Count a request that was sent."""
        number = int(now / BUCKET_S)
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number=number))
        while self._buckets[0].number <= number - 2 * BUCKETS:
            self._buckets.popleft()
        self._buckets[-1].total += 1
        self._buckets[-1].left += int(leaves)

    def _windows(self, now: float) -> tuple[tuple[int, int], tuple[int, int]]:
        """Give what left and all, of the window before and of the present one."""
        first = int(now / BUCKET_S) - BUCKETS + 1
        before, present = [0, 0], [0, 0]
        for bucket in self._buckets:
            if bucket.number >= first - BUCKETS:
                window = present if bucket.number >= first else before
                window[0] += bucket.left
                window[1] += bucket.total
        return (before[0], before[1]), (present[0], present[1])


def _part(left: int, total: int) -> float:
    return left / total if total else 0.0
