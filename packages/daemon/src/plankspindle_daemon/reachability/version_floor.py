"""Lowest versions of the configuration that callers of this VM may still observe."""

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
class _RisingVersion:
    """The highest version so far, which counts some time after it became known."""

    _recorded: deque[tuple[float, ConfigurationVersion]] = Factory(
        lambda: deque([(0.0, NO_VERSION)])
    )

    def record(self, version: ConfigurationVersion, now: float) -> None:
        if version > self._recorded[-1][1]:
            self._recorded.append((now, version))

    def at(self, now: float) -> ConfigurationVersion:
        while len(self._recorded) > 1 and self._recorded[1][0] <= now - ADOPTION_S:
            self._recorded.popleft()
        return self._recorded[0][1]


@define(kw_only=True)
class VersionFloor:
    """Versions that are in force at entry VMs, and that served callers of this one.

    Notes
    -----
    A caller must not see the configuration go back because its requests are relayed to
    VMs that adopt versions at different times. What this VM itself has in force counts
    from its adoption, and what another one has from when it said so.
    """

    _in_force: _RisingVersion = Factory(_RisingVersion)
    _observed: _RisingVersion = Factory(_RisingVersion)

    def record(self, version: ConfigurationVersion, now: float) -> None:
        """Record a version that is in force here or at another VM."""
        self._in_force.record(version, now)

    def record_observed(self, version: ConfigurationVersion, now: float) -> None:
        """Record a version by which another VM serves callers of this one."""
        self._in_force.record(version, now)
        self._observed.record(version, now)

    def at(self, now: float) -> ConfigurationVersion:
        """Return the lowest version that may serve a relay, in monotonic seconds."""
        return self._in_force.at(now)

    def observed_at(self, now: float) -> ConfigurationVersion:
        """Return the lowest version that this VM itself may answer by."""
        return self._observed.at(now)
