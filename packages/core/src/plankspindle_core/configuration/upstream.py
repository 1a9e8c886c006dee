"""Declaration of an upstream."""

from __future__ import annotations

from attrs import field
from attrs import validators

from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint


@frozen(kw_only=True)
class Upstream:
    """An upstream VM as declared by an operator.

    Parameters
    ----------
    service : str
        Name of the service that it runs.
    failure_domain : str
        Failure domain that it is located in; only entry VMs of that domain use it.
    endpoint : Endpoint
        Address that it listens on.
    slots : int
        Requests that it may run at once.
    software_version : str
        Version of the program that it runs; empty if it is not known.
    """

    service: str
    failure_domain: str
    endpoint: Endpoint
    slots: int = field(validator=validators.gt(0))
    software_version: str = ""
