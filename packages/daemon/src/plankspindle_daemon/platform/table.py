"""Rows and transactions of the platform's table service."""

from __future__ import annotations

from typing import Any

from attrs import Factory

from plankspindle_core.classes import frozen

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
    """

    key: str
    version: int
    value: dict[str, Any] | None = None


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
    """

    key: str
    expected_version: int
    value: dict[str, Any] | None


@frozen(kw_only=True)
class Transaction:
    """Writes that are applied atomically.

    Parameters
    ----------
    writes : list of RowWrite
        The writes, at most one per row.
    """

    writes: list[RowWrite] = Factory(list)
