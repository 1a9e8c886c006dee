"""Bound on how fast the part of requests that spill into another region changes."""

from __future__ import annotations

import math

from plankspindle_core.classes import define

RATE_PER_S = 0.05
"""Change of the part that spills over, in a second."""
DEMAND_FADES_S = 1.0
"""Time over which it is averaged how many requests want to spill, in seconds."""
BEGIN_S = 1.0
"""Time after the first request in which the part is found, in seconds."""
OWED = 4.0
"""Requests that the part may fall behind before one is made to spill over."""
MOST_OWED = 6.0
ROOM_STEP = 0.05
"""Loss of the own region's room, as a part of it, that ends the bound for a while."""
FREE_S = 10.0
"""Time after such a loss without bound, in seconds."""


@define(kw_only=True)
class RegionLimiter:
    """Decide which requests go to another region than the one planned for them.

    Attributes
    ----------
    part : float
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

    part: float = 0.0
    _demand: float = 0.0
    _weight: float = 0.0
    _counted_at: float = 0.0
    _began_at: float | None = None
    _owed: float = 0.0
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

    def spills(self, now: float, *, wants: bool) -> bool:
        """Tell whether a request goes to a region that is not planned for it.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        wants : bool
            Whether it would by itself.
        """
        elapsed_s = max(0.0, now - self._counted_at)
        self._note_demand(wants=wants, elapsed_s=elapsed_s)
        self._counted_at = now
        if self._began_at is None:
            self._began_at = now
        if not self.is_bounded(now):
            self.part = self._demand / self._weight
            self._owed = 0.0
            return wants
        step = RATE_PER_S * min(elapsed_s, DEMAND_FADES_S)
        wanted_part = self._demand / self._weight
        self.part += max(-step, min(step, wanted_part - self.part))
        self._owed = min(MOST_OWED, self._owed + self.part)
        return self._owed >= (1.0 if wants else OWED)

    def is_bounded(self, now: float) -> bool:
        """Tell whether changes are bounded, which they are not at first."""
        if self._began_at is None or now - self._began_at < BEGIN_S:
            return False
        return now >= self._free_until and self._room > 0

    def _note_demand(self, *, wants: bool, elapsed_s: float) -> None:
        fading = math.exp(-elapsed_s / DEMAND_FADES_S)
        self._demand = self._demand * fading + (1 if wants else 0)
        self._weight = self._weight * fading + 1

    def note_sent(self, *, spills: bool) -> None:
        """Count a request that was sent."""
        if spills:
            self._owed = max(0.0, self._owed - 1)
