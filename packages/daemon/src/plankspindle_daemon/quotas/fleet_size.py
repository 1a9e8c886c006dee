"""The number of entry VMs that share a quota."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define

SIZE_VALID_S = 30.0
"""Time for which a larger number still counts.

A VM that others no longer know may run on: while it does, its share must not be given
to them.
"""


@define(kw_only=True)
class FleetSize:
    """The highest number of entry VMs that was known of lately.

    Notes
    -----
    Every VM owns one part in so many of each quota. All shares together exceed the
    quota only if a VM counts fewer VMs than there are, so the highest count wins.
    """

    _noted_at_by_size: dict[int, float] = Factory(dict)

    def record(self, size: int, now: float) -> None:
        """Take a number of VMs that were counted here or by another VM."""
        if size <= 0:
            return
        known = self._noted_at_by_size
        known[size] = now
        if len(known) > 1:
            self._noted_at_by_size = {
                each: at for each, at in known.items() if now - at <= SIZE_VALID_S
            }

    def at(self, now: float) -> int:
        """Give the number; zero if none is known."""
        return max(
            (
                size
                for size, at in self._noted_at_by_size.items()
                if now - at <= SIZE_VALID_S
            ),
            default=0,
        )
