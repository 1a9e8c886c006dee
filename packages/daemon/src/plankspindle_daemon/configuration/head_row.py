"""Rows of the table service that name the version in force and earlier ones."""

from __future__ import annotations

from typing import Any

from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import frozen
from plankspindle_core.errors import Unreadable

HEAD_KEY = "configuration/head"
LOG_PREFIX = "configuration/log/"
_VERSION_DIGITS = 12


@frozen(kw_only=True)
class HeadRow:
    """The newest accepted version.

    Parameters
    ----------
    version : int
        Its number.
    digest : str
        Name of its content in the object store.
    plan : str
        Identifier of the plan that created it.
    operator : str
        Operator who confirmed it.
    """

    version: int
    digest: str
    plan: str
    operator: str

    def to_mapping(self) -> dict[str, Any]:
        """Return the form stored in the table service."""
        return {
            "version": self.version,
            "digest": self.digest,
            "plan": self.plan,
            "operator": self.operator,
        }


def head_row_from_mapping(mapping: Any) -> Result[HeadRow, Unreadable]:
    """Parse the form stored in the table service."""
    try:
        return Ok(
            HeadRow(
                version=int(mapping["version"]),
                digest=str(mapping["digest"]),
                plan=str(mapping["plan"]),
                operator=str(mapping["operator"]),
            )
        )
    except (KeyError, TypeError, ValueError) as error:
        return Err(Unreadable(repr(error)))


def log_key(version: int) -> str:
    """Return the key of the log row of an accepted version."""
    return f"{LOG_PREFIX}{version:0{_VERSION_DIGITS}d}"


def object_name(digest: str) -> str:
    """Return the name of the object that holds a configuration."""
    return f"configuration-{digest}"
