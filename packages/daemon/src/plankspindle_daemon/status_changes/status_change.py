"""A change of what this VM believes."""

from __future__ import annotations

from typing import Any

from attrs import Factory

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class StatusChange:
    """One change, to be logged.

    Parameters
    ----------
    event : str
        Name of the event, in snake case.
    fields : dict of str to object
        What changed, and the evidence with its age.
    """

    event: str
    fields: dict[str, Any] = Factory(dict)
