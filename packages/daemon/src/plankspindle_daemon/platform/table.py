"""Rows and transactions of the platform's table service."""

from __future__ import annotations

from typing import Any

from attrs import Factory

from plankspindle_core.classes import frozen
from plankspindle_daemon.versions.store_era import UNKNOWN_ERA

ABSENT = 0
"""Version of a row that does not exist."""


@frozen(kw_only=True)
class Row:
    """One row as read.

    Parameters
    ----------
    key : str
        Key of the row.
    version : int
        Version, incremented by every write; ``ABSENT`` if there is no such row.
    value : dict, optional
        Content of the row.
    era : int
        Era of the store in which it was read.
    """

    key: str
    version: int
    value: dict[str, Any] | None = None
    era: int = UNKNOWN_ERA

    def replaced_by(self, value: dict[str, Any] | None) -> RowWrite:
        """Return a write of new content, on condition that the row is as it was read.

        Parameters
        ----------
        value : dict, optional
            New content; None deletes the row.
        """
        return RowWrite(
            key=self.key, expected_version=self.version, value=value, era=self.era
        )


@frozen(kw_only=True)
class RowWrite:
    """A write on the condition that the row has an expected version.

    Parameters
    ----------
    key : str
        Row to write.
    expected_version : int
        Version that the row must have.
    value : dict, optional
        New content; None deletes the row.
    era : int
        Era of the store in which the expected version was read. In a later era the same
        version may be that of another write. It has no meaning for ``ABSENT``.
    """

    key: str
    expected_version: int
    value: dict[str, Any] | None
    era: int = UNKNOWN_ERA


@frozen(kw_only=True)
class Transaction:
    """Writes that are applied atomically.

    Parameters
    ----------
    writes : list of RowWrite
        The writes, at most one per row.
    """

    writes: list[RowWrite] = Factory(list)

    def keys_of_earlier_eras(self, era: int) -> tuple[str, ...]:
        """Return the keys of rows whose expected versions are of an earlier era."""
        return tuple(
            write.key
            for write in self.writes
            if write.expected_version != ABSENT and write.era < era
        )
