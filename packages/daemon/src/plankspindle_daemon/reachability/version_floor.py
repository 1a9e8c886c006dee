"""Lowest version of the configuration by which a relayed request may be served."""

from __future__ import annotations

from collections import deque

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_daemon.versions.configuration_version import NO_VERSION
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion

ADOPTION_S = 0.15
"""Time in which entry VMs adopt a version one after the other, in seconds.

For that long either version may serve. Without it, relays would be declined for a
moment at each change.
"""


@define(kw_only=True)
class VersionFloor:
    """Versions that served callers of this VM, and since when.

    A caller must not see the configuration go back because its requests are relayed to
    VMs that adopt versions at different times.
    """

    _recorded: deque[tuple[float, ConfigurationVersion]] = Factory(
        lambda: deque([(0.0, NO_VERSION)])
    )

    def record(self, version: ConfigurationVersion, now: float) -> None:
        """Record a version in force here, or by which a relay was served."""
        if version > self._recorded[-1][1]:
            self._recorded.append((now, version))

    def at(self, now: float) -> ConfigurationVersion:
        """Return the floor at a time in monotonic seconds."""
        while len(self._recorded) > 1 and self._recorded[1][0] <= now - ADOPTION_S:
            self._recorded.popleft()
        return self._recorded[0][1]
