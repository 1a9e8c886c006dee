"""Order of the versions of the configuration."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_daemon.versions.store_era import UNKNOWN_ERA


@frozen(kw_only=True, order=True)
class ConfigurationVersion:
    """A version of the configuration; fields are compared in the order given here.

    Parameters
    ----------
    revision : int
        Number that the writer of the configuration gave to its content. It comes first:
        after a return from a copy the store holds an older revision, until the newest
        one is written again, and the configuration in force must not revert meanwhile.
    era : int
        Era of the store in which this version was read.
    number : int
        Number of the store's transaction as of which it was read, which distinguishes
        changes that leave the revision as it is.
    """

    revision: int = 0
    era: int = UNKNOWN_ERA
    number: int = 0

    @property
    def is_none(self) -> bool:
        """Whether no version was read yet."""
        return self == NO_VERSION

    def __str__(self) -> str:
        """Return the form used in logs."""
        return f"{self.revision}.{self.era}.{self.number}"


NO_VERSION = ConfigurationVersion()
"""Lowest version, of a VM that has no configuration yet."""
