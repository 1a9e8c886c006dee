"""Average use of a service's upstreams, from the load that recent answers reported."""

from __future__ import annotations

import math

from plankspindle_core.classes import define

REPORT_WEIGHT = 1 / 16
"""Weight of one report in the average."""
AVERAGE_DECAY_S = 1.5
"""Time constant of the decay of the average without reports, in seconds.

The decay lets a VM try again soon after it stopped sending because all upstreams seemed
full.
"""


@define(kw_only=True)
class AverageUse:
    """Average use of slots by other entry VMs, over the upstreams that answered.

    Notes
    -----
    An entry VM gets a report from each upstream every second or two. If an old report
    decayed to zero, all VMs would take full upstreams for idle: on a fully loaded day,
    1.7 times the slots then ran and waited there, and an answer that takes 0.2 s took
    0.4 s. An old report decays to this average instead.
    """

    _use: float = 0.0
    _noted_at: float = 0.0
    _computed_at: float = -math.inf
    _computed: float = 0.0

    def record(self, use: float, now: float) -> None:
        """Record a report.

        Parameters
        ----------
        use : float
            Requests of other VMs that run and wait at an upstream, divided by its
            slots.
        now : float
            Monotonic seconds.
        """
        current = self.average(now)
        self._use = current + REPORT_WEIGHT * (use - current)
        self._noted_at = now
        self._computed_at = -math.inf

    def average(self, now: float) -> float:
        """Return the average at a time, in monotonic seconds.

        It is computed once for all upstreams that are compared at the same time.
        """
        if now != self._computed_at:
            age_s = max(0.0, now - self._noted_at)
            self._computed = self._use * math.exp(-age_s / AVERAGE_DECAY_S)
            self._computed_at = now
        return self._computed
