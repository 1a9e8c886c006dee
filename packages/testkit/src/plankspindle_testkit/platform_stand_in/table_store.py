"""In-memory table of versioned rows with conditional transactions."""

from __future__ import annotations

from typing import Any

from attrs import define
from attrs import field
from attrs import frozen


@frozen(kw_only=True)
class StoredRow:
    """A row and its version.

    Parameters
    ----------
    version : int
        Number of the transaction that wrote it; zero for a row that does not exist.
    value : object
        Its content.
    """

    version: int = 0
    value: Any = None


@define(kw_only=True)
class TableStore:
    """Table of rows by key."""

    rows_by_key: dict[str, StoredRow] = field(factory=dict)
    commits: int = 0

    def copy(self) -> TableStore:
        """Return a copy of all rows, to return from later."""
        return TableStore(rows_by_key=dict(self.rows_by_key), commits=self.commits)

    def read(self, key: str) -> StoredRow:
        """Read a row; an absent one has version zero."""
        return self.rows_by_key.get(key, StoredRow())

    def commit(self, writes: list[dict[str, Any]]) -> list[str]:
        """Apply all writes or none.

        Parameters
        ----------
        writes : list of dict
            Each with ``key``, ``expected_version`` and ``value``.

        Returns
        -------
        list of str
            Keys whose version was not the expected one; empty if all took effect.
        """
        failed = [
            write["key"]
            for write in writes
            if self.read(write["key"]).version != write["expected_version"]
        ]
        if failed:
            return failed
        self.commits += 1
        for write in writes:
            self._write(write["key"], write["value"])
        return []

    def _write(self, key: str, value: Any) -> None:
        if value is None:
            self.rows_by_key.pop(key, None)
            return
        self.rows_by_key[key] = StoredRow(version=self.commits, value=value)
