"""Limit on how fast the share of requests that spill over to other regions changes."""

from __future__ import annotations

import math

from plankspindle_core.classes import define

MAX_SHARE_CHANGE_PER_S = 0.05
"""Maximum change per second of the spill-over share, and of region plans."""
DEMAND_AVERAGE_S = 1.0
"""Time constant of the average share of requests that prefer to spill, in seconds."""
STARTUP_S = 1.0
"""Time after the first request in which the share follows demand freely, in seconds."""
FORCED_SPILL_CREDIT = 4.0
"""Credit, in requests, at which a request spills over although it prefers not to."""
MAX_SPILL_CREDIT = 6.0
CAPACITY_LOSS_SHARE = 0.05
"""Share of the local capacity whose loss suspends the limit for a while."""
UNLIMITED_AFTER_LOSS_S = 10.0
"""Time without limit after such a loss, in seconds."""


@define(kw_only=True)
class SpilloverLimiter:
    """Decide which requests go to another region than the one planned for them.

    Attributes
    ----------
    share : float
        Share of the requests that may spill over now, from 0 to 1.

    Notes
    -----
    Requests that flood from a busy region into the next overload that one too, and then
    flow back. The share that spills over therefore follows demand at a
    limited rate, in both directions. Each request adds the share to a credit, and each
    one that spills takes 1 from it. When upstreams of the local region fail or are
    drained, the limit is suspended for a while, and requests go wherever there is spare
    capacity. Requests that run in their planned region are not counted against the
    limit: on an entry VM with few requests a second, their random order alone would
    send some to upstreams that have not seen their key.
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
        """Set the local capacity, and suspend the limit if much of it was lost.

        Parameters
        ----------
        slots : float
            Slots of all usable upstreams in the local region.
        now : float
            Monotonic time in seconds.
        """
        if slots < (1 - CAPACITY_LOSS_SHARE) * self._local_slots:
            self._unlimited_until = now + UNLIMITED_AFTER_LOSS_S
        self._local_slots = slots

    def should_spill(self, now: float, *, wants_spill: bool) -> bool:
        """Return whether a request goes to a region that is not planned for it.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        wants_spill : bool
            Whether the request's best upstream is in such a region.
        """
        elapsed_s = max(0.0, now - self._counted_at)
        self._record_demand(wants_spill=wants_spill, elapsed_s=elapsed_s)
        self._counted_at = now
        if self._started_at is None:
            self._started_at = now
        if not self.is_limiting(now):
            self.share = self._spill_weight / self._total_weight
            self._credit = 0.0
            return wants_spill
        step = MAX_SHARE_CHANGE_PER_S * min(elapsed_s, DEMAND_AVERAGE_S)
        demand = self._spill_weight / self._total_weight
        self.share += max(-step, min(step, demand - self.share))
        self._credit = min(MAX_SPILL_CREDIT, self._credit + self.share)
        return self._credit >= (1.0 if wants_spill else FORCED_SPILL_CREDIT)

    def is_limiting(self, now: float) -> bool:
        """Return whether changes are limited: not at start-up or after a loss."""
        if self._started_at is None or now - self._started_at < STARTUP_S:
            return False
        return now >= self._unlimited_until and self._local_slots > 0

    def _record_demand(self, *, wants_spill: bool, elapsed_s: float) -> None:
        decay = math.exp(-elapsed_s / DEMAND_AVERAGE_S)
        self._spill_weight = self._spill_weight * decay + (1 if wants_spill else 0)
        self._total_weight = self._total_weight * decay + 1

    def record_sent(self, *, spills: bool) -> None:
        """Count a request that was sent."""
        if spills:
            self._credit = max(0.0, self._credit - 1)
