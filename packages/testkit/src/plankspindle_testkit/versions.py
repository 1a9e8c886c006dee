"""Builders of versions of the configuration and of the platform's list."""

from __future__ import annotations

from plankspindle_daemon.versions.configuration_version import ConfigurationVersion
from plankspindle_daemon.versions.store_version import StoreVersion


def build_version(
    revision: int, *, era: int = 0, number: int | None = None
) -> ConfigurationVersion:
    """Build a version of the configuration; its number is the revision by default."""
    return ConfigurationVersion(
        revision=revision, era=era, number=revision if number is None else number
    )


def build_list_version(number: int, *, era: int = 0) -> StoreVersion:
    """Build a version of the platform's list."""
    return StoreVersion(era=era, number=number)
