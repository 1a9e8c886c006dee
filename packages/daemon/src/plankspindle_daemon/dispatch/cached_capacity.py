"""The requests that all upstreams of a service may run at once."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from plankspindle_core.classes import define

if TYPE_CHECKING:
    from collections.abc import Mapping

    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

CACHE_TTL_PER_UPSTREAM_S = 0.00025
"""Time for which a sum over the upstreams stands, for each of them, in seconds.

It is asked for at each request that waits or is rejected, and takes 3 us an upstream:
at 900, where it stands for 0.23 s, a rejection took 5 ms of the loop, and all of them
together take 1 percent of it now.
"""


@define
class CachedCapacity:
    """Sum up limits, anew only once the last sum is old."""

    _capacity: int = 0
    _computed_at: float = -math.inf
    _upstream_count: int = 0

    def invalidate(self) -> None:
        """Sum up anew when asked next."""
        self._computed_at = -math.inf

    def get(self, upstreams_by_name: Mapping[str, UpstreamState], now: float) -> int:
        """Give the requests that may run at once, as summed up a moment ago.

        Parameters
        ----------
        upstreams_by_name : mapping of str to UpstreamState
            The upstreams.
        now : float
            Monotonic seconds.
        """
        count = len(upstreams_by_name)
        if (
            count != self._upstream_count
            or now - self._computed_at > count * CACHE_TTL_PER_UPSTREAM_S
        ):
            self._computed_at, self._upstream_count = now, count
            self._capacity = sum(
                each.usable_slots(now) for each in upstreams_by_name.values()
            )
        return self._capacity
