"""Order to move the requests of a service to another version of its software."""

from __future__ import annotations

from attrs import field
from attrs import validators

from plankspindle_core.classes import frozen

MAX_DURATION_MS = 86_400_000
"""Longest duration of an order, in milliseconds: a day."""
_MAX_UINT64 = (1 << 64) - 1


@frozen(kw_only=True)
class Rollout:
    """An operator's order to move a service to another software version.

    Parameters
    ----------
    target_version : str
        Software version that the requests are to move to.
    duration_ms : int
        Time from the order to its deadline, in milliseconds.
    number : int
        Number of the write that gave the order. It differs between two orders of the
        same content, and changes when an order is restored to the platform's store.
        Zero in files of operators; the plan that puts the file in force numbers it.

    Notes
    -----
    Software versions name the program that upstreams run. They have nothing to do with
    versions of the configuration.
    """

    target_version: str
    duration_ms: int = field(
        validator=[validators.ge(0), validators.le(MAX_DURATION_MS)]
    )
    number: int = field(
        default=0, validator=[validators.ge(0), validators.le(_MAX_UINT64)]
    )
