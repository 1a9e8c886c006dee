"""Bound on how fast the part of requests that spill into another region changes."""

from __future__ import annotations

import math

from plankspindle_core.classes import define

MAX_SHARE_CHANGE_PER_S = 0.05
"""Change of the part that spills over, in a second."""
DEMAND_AVERAGE_S = 1.0
"""Time over which it is averaged how many requests want to spill, in seconds."""
STARTUP_S = 1.0
"""Time after the first request in which the part is found, in seconds."""
FORCED_SPILL_CREDIT = 4.0
"""Requests that the part may fall behind before one is made to spill over."""
MAX_SPILL_CREDIT = 6.0
CAPACITY_LOSS_SHARE = 0.05
"""Loss of the own region's room, as a part of it, that ends the bound for a while."""
UNLIMITED_AFTER_LOSS_S = 10.0
"""Time after such a loss without bound, in seconds."""


@define(kw_only=True)
class SpilloverLimiter:
    """Decide which requests go to another region than the one planned for them.

    Attributes
    ----------
    share : float
        Part of the requests that may spill over now.

    Notes
    -----
    Requests that flood from a busy region into the next make that one busy, too, and
    come back when it is. The part that spills over therefore follows what requests want
    at a bounded rate, both ways, and is met by counting what is owed. When upstreams of
    the own region go, or are drained, there is no bound for a while: requests go where
    there is room. Requests that keep to their plan are not counted against the bound:
    at an entry VM with few requests a second their chance order alone would send some
    to upstreams that have not seen their key.
    """

    share: float = 0.0
    _spill_weight: float = 0.0
    _total_weight: float = 0.0
    _counted_at: float = 0.0
    _started_at: float | None = None
    _credit: float = 0.0
    _local_slots: float = 0.0
    _unlimited_until: float = 0.0

    def set_capacity(self, slots: float, now: float) -> None:
        """Take the slots of the region's usable upstreams.

        Parameters
        ----------
        slots : float
            Their sum.
        now : float
            Monotonic seconds.
        """
        if slots < (1 - CAPACITY_LOSS_SHARE) * self._local_slots:
            self._unlimited_until = now + UNLIMITED_AFTER_LOSS_S
        self._local_slots = slots

    def should_spill(self, now: float, *, wants_spill: bool) -> bool:
        """Tell whether a request goes to a region that is not planned for it.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        wants_spill : bool
            Whether it would by itself.
        """
        elapsed_s = max(0.0, now - self._counted_at)
        self._record_demand(wants=wants_spill, elapsed_s=elapsed_s)
        self._counted_at = now
        if self._started_at is None:
            self._started_at = now
        if not self.is_limiting(now):
            self.share = self._spill_weight / self._total_weight
            self._credit = 0.0
            return wants_spill
        step = MAX_SHARE_CHANGE_PER_S * min(elapsed_s, DEMAND_AVERAGE_S)
        wanted_part = self._spill_weight / self._total_weight
        self.share += max(-step, min(step, wanted_part - self.share))
        self._credit = min(MAX_SPILL_CREDIT, self._credit + self.share)
        return self._credit >= (1.0 if wants_spill else FORCED_SPILL_CREDIT)

    def is_limiting(self, now: float) -> bool:
        """Tell whether changes are bounded, which they are not at first."""
        if self._started_at is None or now - self._started_at < STARTUP_S:
            return False
        return now >= self._unlimited_until and self._local_slots > 0

    def _record_demand(self, *, wants: bool, elapsed_s: float) -> None:
        fading = math.exp(-elapsed_s / DEMAND_AVERAGE_S)
        self._spill_weight = self._spill_weight * fading + (1 if wants else 0)
        self._total_weight = self._total_weight * fading + 1

    def record_sent(self, *, spills: bool) -> None:
        """Count a request that was sent."""
        if spills:
            self._credit = max(0.0, self._credit - 1)
