"""Time since the configuration head row was last read, by this VM or a member."""

from __future__ import annotations

from plankspindle_core.classes import define

NEVER_READ_MS = 0xFFFFFFFF
"""Age in heartbeats if nobody has read the head row, in milliseconds."""
MAX_HEAD_AGE_S = 30.0
"""Age of the last read after which shifts are no longer applied, in seconds."""


@define(kw_only=True)
class HeadFreshness:
    """Records when the version in force was last known to be the newest.

    Parameters
    ----------
    read_at : float, optional
        When this VM last read the head row, monotonic seconds.
    reported_at : float
        Latest time at which a member reported to have read it, monotonic seconds.
    """

    read_at: float | None = None
    reported_at: float = 0.0

    def record_read(self, now: float) -> None:
        """Record that this VM read the head row."""
        self.read_at = now

    def record_report(self, age_ms: int, now: float) -> None:
        """Record the age of the last read that a member reports, in milliseconds."""
        self.reported_at = max(self.reported_at, now - age_ms / 1000)

    def age_s(self, now: float) -> float | None:
        """Return the time since the last read in seconds; None if there was none."""
        latest = max(self.read_at or 0.0, self.reported_at)
        return now - latest if latest > 0.0 else None

    def age_ms(self, now: float) -> int:
        """Return the time since the last read in milliseconds, for heartbeats."""
        age_s = self.age_s(now)
        return NEVER_READ_MS if age_s is None else min(NEVER_READ_MS, int(age_s * 1000))

    def is_fresh(self, now: float) -> bool:
        """Return whether the version is recent enough to apply shifts.

        A partitioned failure domain does not learn that a shift was removed, so it
        stops moving requests when nobody has read the head row for ``MAX_HEAD_AGE_S``.
        """
        age_s = self.age_s(now)
        return age_s is not None and age_s <= MAX_HEAD_AGE_S
