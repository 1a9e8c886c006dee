"""Changes of a quarantine that are to be logged."""

from __future__ import annotations

from typing import Any

from attrs import Factory

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class QuarantineChange:
    """One change of a quarantine.

    Parameters
    ----------
    event : str
        Name of the log event, in snake case.
    identity : int
        Digest of the request.
    fields : dict of str to object
        Further fields of the log event.
    """

    event: str
    identity: int
    fields: dict[str, Any] = Factory(dict)
