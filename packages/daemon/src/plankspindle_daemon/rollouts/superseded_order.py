"""Whether the record of a roll-out is of a later order than the configured one."""

from __future__ import annotations

from plankspindle_core.classes import define

SUPERSEDED_WAIT_S = 5.0
"""Time for the configuration to name the order of a later record, in seconds."""


@define(kw_only=True)
class SupersededOrder:
    """Remember since when the record has been of a later order."""

    _since: float | None = None

    def record(self, *, is_later: bool, now: float) -> None:
        """Record whether the record that was read is of a later order."""
        if not is_later:
            self._since = None
        elif self._since is None:
            self._since = now

    def holds(self, now: float) -> bool:
        """Return whether the configuration may still come to name that order."""
        return self._since is not None and now - self._since < SUPERSEDED_WAIT_S
