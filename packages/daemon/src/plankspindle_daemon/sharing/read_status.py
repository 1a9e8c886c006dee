"""When list or configuration were last read, by this VM or by others for it."""

from __future__ import annotations

import math
from typing import Generic
from typing import TypeVar

from plankspindle_core.classes import define
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion
from plankspindle_daemon.versions.store_version import StoreVersion

MAX_AGE_MS = 0xFFFFFFFF
"""Highest age in messages, in milliseconds; they have a 32-bit field for it."""
Version = TypeVar("Version", StoreVersion, ConfigurationVersion)


@define(kw_only=True)
class ReadStatus(Generic[Version]):
    """When this VM, and readers that precede it, last read list or configuration.

    Parameters
    ----------
    reported_version : StoreVersion or ConfigurationVersion
        Highest version that a preceding reader reported.
    own_read_at, reported_at : float
        When this VM, and the latest of those readers, last read; monotonic seconds.
    behind_since : float
        Since when this VM has held a lower version than reported; infinite if not.
    """

    reported_version: Version
    own_read_at: float = -math.inf
    reported_at: float = -math.inf
    behind_since: float = math.inf

    def record_report(self, version: Version, *, read_at: float) -> None:
        """Record the version that a preceding reader has, and when it was read."""
        self.reported_at = max(self.reported_at, read_at)
        self.reported_version = max(self.reported_version, version)

    def age_ms(self, now: float) -> int:
        """Return the time since the own last read in milliseconds, for messages."""
        return int(min(MAX_AGE_MS, 1000 * (now - self.own_read_at)))

    def is_behind(self, held: Version, now: float, grace_s: float) -> bool:
        """Return whether a held version has been outdated for longer than a grace."""
        if self.reported_version <= held:
            self.behind_since = math.inf
            return False
        self.behind_since = min(self.behind_since, now)
        return now - self.behind_since >= grace_s
