"""When the head of the configuration was last read, by this VM or a member."""

from __future__ import annotations

from plankspindle_core.classes import define

NEVER_READ_MS = 0xFFFFFFFF
MAX_HEAD_AGE_S = 30.0
"""Time without word of the platform after which shifts are no longer applied."""


@define(kw_only=True)
class HeadFreshness:
    """Age of the knowledge that the version in force is the newest.

    Parameters
    ----------
    read_at : float, optional
        When this VM read the head, monotonic seconds.
    reported_at : float
        When a member read it, as far as heard, monotonic seconds.
    """

    read_at: float | None = None
    reported_at: float = 0.0

    def record_read(self, now: float) -> None:
        """Record that this VM read the head."""
        self.read_at = now

    def record_report(self, age_ms: int, now: float) -> None:
        """Record what a member says of the age of its knowledge."""
        self.reported_at = max(self.reported_at, now - age_ms / 1000)

    def age_s(self, now: float) -> float | None:
        """Time since anybody read the head, in seconds; None if never."""
        latest = max(self.read_at or 0.0, self.reported_at)
        return now - latest if latest > 0.0 else None

    def age_ms(self, now: float) -> int:
        """Time since anybody read the head, as heartbeats carry it."""
        ago_s = self.age_s(now)
        return NEVER_READ_MS if ago_s is None else min(NEVER_READ_MS, int(ago_s * 1000))

    def is_fresh(self, now: float) -> bool:
        """Tell whether shifts are applied.

        A failure domain that is cut off cannot learn that a shift was ended, so it
        stops moving requests when its version has not been confirmed for a while.
        """
        ago_s = self.age_s(now)
        return ago_s is not None and ago_s <= MAX_HEAD_AGE_S
