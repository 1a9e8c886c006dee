"""How busy the upstreams of a service are, as far as answers tell lately."""

from __future__ import annotations

import math

from plankspindle_core.classes import define

REPORT_WEIGHT = 1 / 16
"""Weight of one report in the average."""
AVERAGE_DECAY_S = 1.5
"""Time without a report in which the average loses its weight, in seconds.

A VM that sends nothing, since all seemed full, soon tries again.
"""


@define(kw_only=True)
class AverageUse:
    """Average use of slots by other entry VMs, over the upstreams that answered.

    Notes
    -----
    An entry VM hears of each upstream every second or two. Where an old report fades
    to nothing, all VMs take upstreams for idle that are full, and on a full day 1.7
    times the slots ran and waited there: an answer that takes 0.2 s came after 0.4 s.
    An old report fades to this average instead.
    """

    _use: float = 0.0
    _noted_at: float = 0.0

    def record(self, use: float, now: float) -> None:
        """Take a report.

        Parameters
        ----------
        use : float
            Requests of other VMs that run and wait at an upstream, over its slots.
        now : float
            Monotonic seconds.
        """
        present = self.average(now)
        self._use = present + REPORT_WEIGHT * (use - present)
        self._noted_at = now

    def average(self, now: float) -> float:
        """Give the average at a time, in monotonic seconds."""
        age_s = max(0.0, now - self._noted_at)
        return self._use * math.exp(-age_s / AVERAGE_DECAY_S)
