"""Order to move the requests of a service to another version of its software."""

from __future__ import annotations

from attrs import field
from attrs import validators

from plankspindle_core.classes import frozen


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

    Notes
    -----
    Software versions name the program that upstreams run. They have nothing to do with
    versions of the configuration.
    """

    target_version: str
    duration_ms: int = field(validator=validators.ge(0))
    number: int = 0
