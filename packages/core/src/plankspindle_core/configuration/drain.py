"""A confirmed drain of a region, failure domain, entry VM or upstream."""

from __future__ import annotations

from enum import Enum

from plankspindle_core.classes import frozen


class DrainKind(Enum):
    """Kind of the drained resource."""

    REGION = "region"
    FAILURE_DOMAIN = "failure-domain"
    UPSTREAM = "upstream"
    UPSTREAMS_OF_DOMAIN = "upstreams-of-failure-domain"
    VM = "vm"


@frozen(kw_only=True)
class Drain:
    """A resource gets no new requests, while its running requests complete.

    Parameters
    ----------
    kind : DrainKind
        Kind of the drained resource.
    name : str
        Name of the drained resource.
    at : float, optional
        Time from which it gets no new requests, seconds since the Unix epoch; at once
        if not given. Requests that are expected to run beyond this time are sent
        elsewhere before it, too.
    """

    kind: DrainKind
    name: str
    at: float | None = None
