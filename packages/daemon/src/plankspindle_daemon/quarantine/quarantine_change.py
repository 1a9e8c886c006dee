"""What changes in a quarantine, to be logged."""

from __future__ import annotations

from typing import Any

from attrs import Factory

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class QuarantineChange:
    """One change.

    Parameters
    ----------
    event : str
        Name of the event, in snake case.
    identity : int
        The request.
    fields : dict of str to object
        What else is known.
    """

    event: str
    identity: int
    fields: dict[str, Any] = Factory(dict)
