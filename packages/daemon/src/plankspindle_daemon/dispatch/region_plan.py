"""Which part of a service's keys has its upstream in another region."""

from __future__ import annotations

from attrs import define

FULL = 0.75
"""Use of the region's slots from which on more keys leave.

Beyond it a request at an upstream of three slots waits more often than not.
"""
IDLE = 0.15
"""Use of the region's slots below which keys are taken back.

A key that moves misses once, which keeps a slot busy three times as long as a hit; it
is moved back only where the region has next to nothing to do.
"""
MARGIN = 0.15
"""Use by which other regions must be below the own one to take more of its keys."""
QUICK_PER_S = 0.03
"""Change of the part in a second by which it follows the load, or ends to do so.

Two windows of 2 s then differ by 0.06, beside the noise of few requests.
"""
SLOW_PER_S = 0.01
"""Change of the part in a second while the region has next to nothing to do."""
LEAST_CORRECTION = 0.25
MOST_CORRECTION = 4.0
"""Bounds on the correction, as factors of what the slots alone would keep."""
WEIGHT = 1 / 32
"""Weight of one report in the average use."""
UNKNOWN_USE = 0.5
"""Use of a region's slots before an answer has told it."""
FADES_S = 2.0
"""Time without an answer of the own region after which it counts as idle, seconds."""


@define(kw_only=True)
class RegionPlan:
    """Divide the keys of one service between the own region and the others.

    Attributes
    ----------
    part : float
        Part of the keys, from 0 to 1, whose upstream stands in another region.
    near_use, far_use : float
        Average use of the slots in the own region and in the others, as answers told.

    Notes
    -----
    An upstream that has seen a key answers in a third of the time. Where each request
    decides by itself whether it leaves, a key is learned in each region: on a calm day
    of 36 upstreams 2.0 of them learned each key, and 19 in 100 requests missed; by this
    plan 1.5 learn it and 14 miss. A region short of upstreams sends out whole keys, the
    same ones at each of its entry VMs, from the first request on: as many as balance
    its part of the slots with its part of the entry VMs, which stands for its part of
    the callers. How busy the answers tell the upstreams to be corrects that slowly.
    """

    part: float = 0.0
    near_use: float = UNKNOWN_USE
    far_use: float = UNKNOWN_USE
    _correction: float = 1.0
    _reported_at: float | None = None
    _noted_at: float = 0.0

    def leaves(self, fraction: float) -> bool:
        """Tell whether a key leaves, by its place among all keys, from 0 to 1."""
        return fraction < self.part

    def note_use(self, use: float, *, is_near: bool, now: float) -> None:
        """Take the part of its slots that an upstream told to be in use.

        Parameters
        ----------
        use : float
            Requests that run and wait there, over its slots.
        is_near : bool
            Whether it stands in the own region.
        now : float
            Monotonic seconds.
        """
        if is_near:
            self.near_use += WEIGHT * (use - self.near_use)
            self._reported_at = now
        else:
            self.far_use += WEIGHT * (use - self.far_use)

    def note_room(
        self, *, near: float, far: float, vm_share: float, now: float
    ) -> None:
        """Take the slots of upstreams that stay, and work out the part.

        Parameters
        ----------
        near, far : float
            Slots in the own region and in the others.
        vm_share : float
            Part of the entry VMs that stand in the own region; above 0.
        now : float
            Monotonic seconds.
        """
        elapsed_s = min(1.0, now - self._noted_at)
        self._noted_at = now
        if near == 0 or far == 0:
            self.part = 1.0 if far > 0 else 0.0
            return
        kept = near / (near + far) / vm_share
        self._correct(self._wanted_change(now) * elapsed_s, kept)
        self.part = min(1.0, max(0.0, 1.0 - self._correction * kept))

    def _wanted_change(self, now: float) -> float:
        """Give the change of the part in a second, by what the answers told."""
        if self._reported_at is None:
            return 0.0
        if now - self._reported_at > FADES_S or self.near_use < IDLE:
            return -SLOW_PER_S
        if self.near_use > max(FULL, self.far_use + MARGIN):
            return QUICK_PER_S
        if self._correction < 1.0 and self.near_use < self.far_use:
            return -QUICK_PER_S
        return 0.0

    def _correct(self, change: float, kept: float) -> None:
        """Correct what is kept so that the part changes by so much.

        Room beyond that for all keys is not saved up: the part grows from 0 at once.
        """
        if change == 0 or (change < 0 and self.part == 0):
            return
        before = self._correction if change < 0 else min(self._correction, 1 / kept)
        corrected = before - change / kept
        self._correction = min(MOST_CORRECTION, max(LEAST_CORRECTION, corrected))
