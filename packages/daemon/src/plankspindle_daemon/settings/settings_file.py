"""Detection and reading of changes of the settings file of a running daemon."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from attrs import fields
from result import Result

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.errors import InvalidDocument
from plankspindle_daemon.settings.daemon_settings import DaemonSettings

if TYPE_CHECKING:
    from os import stat_result

RELOADABLE_SECTIONS = frozenset({"peers", "requests", "secrets"})
"""Sections that a running daemon applies; the others need a restart."""


@frozen(kw_only=True)
class SettingsChange:
    """Sections that differ between two settings.

    Parameters
    ----------
    reloadable : tuple of str
        Changed sections that a running daemon applies.
    restart_required : tuple of str
        Changed sections that take effect at the next start.
    """

    reloadable: tuple[str, ...]
    restart_required: tuple[str, ...]

    @classmethod
    def between(cls, old: DaemonSettings, new: DaemonSettings) -> SettingsChange:
        """Compare two settings section by section."""
        names = [each.name for each in fields(DaemonSettings)]
        changed = [name for name in names if getattr(old, name) != getattr(new, name)]
        return cls(
            reloadable=tuple(name for name in changed if name in RELOADABLE_SECTIONS),
            restart_required=tuple(
                name for name in changed if name not in RELOADABLE_SECTIONS
            ),
        )


@define(kw_only=True)
class SettingsFile:
    """A settings file that may change.

    Parameters
    ----------
    path : Path
        Path of the file.
    reader : callable
        Reads and checks the file.
    """

    path: Path
    reader: Callable[[Path], Result[DaemonSettings, InvalidDocument]]
    _last_version: tuple[int, int, int] | None = None

    def read(self) -> Result[DaemonSettings, InvalidDocument]:
        """Read the file as it is now."""
        self._last_version = self._read_version()
        return self.reader(self.path)

    def has_changed(self) -> bool:
        """Return whether the file changed since the last call of this or ``read``."""
        before, self._last_version = self._last_version, self._read_version()
        return before is not None and self._last_version not in (before, None)

    def _read_version(self) -> tuple[int, int, int] | None:
        try:
            found = self.path.stat()
        except OSError:
            return None
        return _version_of(found)


def _version_of(found: stat_result) -> tuple[int, int, int]:
    return found.st_mtime_ns, found.st_size, found.st_ino
