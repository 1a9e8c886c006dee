"""Change of a status observed by this VM."""

from __future__ import annotations

from typing import Any

from attrs import Factory

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class StatusChange:
    """One status change, to be logged.

    Parameters
    ----------
    event : str
        Name of the log event, in snake case.
    fields : dict of str to object
        Log fields: old and new status, and the evidence with its age.
    """

    event: str
    fields: dict[str, Any] = Factory(dict)
