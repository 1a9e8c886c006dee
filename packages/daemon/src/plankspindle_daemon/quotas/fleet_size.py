"""Number of entry VMs that share a quota."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define

SIZE_VALID_S = 30.0
"""Time for which a larger number still counts, in seconds.

A VM that has dropped out of the others' lists may still run. While it does, its share
must not be given to them.
"""


@define(kw_only=True)
class FleetSize:
    """Highest number of entry VMs observed within the last ``SIZE_VALID_S``.

    Notes
    -----
    Each of n VMs owns 1/n of each quota. All shares together exceed the quota only if a
    VM counts fewer VMs than there are, so the highest count is used.
    """

    _recorded_at_by_size: dict[int, float] = Factory(dict)

    def record(self, size: int, now: float) -> None:
        """Record a number of VMs that was counted here or by another VM."""
        if size <= 0:
            return
        recorded = self._recorded_at_by_size
        recorded[size] = now
        if len(recorded) > 1:
            self._recorded_at_by_size = {
                other_size: at
                for other_size, at in recorded.items()
                if now - at <= SIZE_VALID_S
            }

    def at(self, now: float) -> int:
        """Return the number; zero if none is known."""
        return max(
            (
                size
                for size, at in self._recorded_at_by_size.items()
                if now - at <= SIZE_VALID_S
            ),
            default=0,
        )
