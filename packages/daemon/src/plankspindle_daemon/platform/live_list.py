"""The platform's list of live and leaving VMs, and its parser."""

from __future__ import annotations

import math
from enum import Enum
from typing import Any

from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import frozen
from plankspindle_core.configuration.upstream import Upstream
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.platform.errors import PlatformUnavailable


class VmKind(Enum):
    """Role of a VM."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


@frozen(kw_only=True)
class ListedVm:
    """One entry of the list; the list lags behind the actual state of the VMs.

    Parameters
    ----------
    name : str
        Name of the VM; for upstreams the name used in the configuration.
    kind : VmKind
        Role of the VM.
    failure_domain : str
        Failure domain that it is located in.
    leaving : bool
        Whether it is leaving now.
    leaves_at : float, optional
        Planned time at which it leaves, seconds since the Unix epoch.
    caller_endpoint, peer_endpoint : Endpoint, optional
        Listeners of an entry VM.
    upstream : Upstream, optional
        Declaration of an upstream that the platform, not the configuration, declares.
    cold_until : float
        Time until which an upstream is cold, monotonic seconds.
    incarnation : int
        Incarnation number of an upstream, which rises with each start; zero if the
        platform does not report it.
    sequence : int
        Sequence number of the entry's writes by this incarnation; zero if the platform
        does not report it.
    """

    name: str
    kind: VmKind
    failure_domain: str
    leaving: bool = False
    leaves_at: float | None = None
    caller_endpoint: Endpoint | None = None
    peer_endpoint: Endpoint | None = None
    upstream: Upstream | None = None
    cold_until: float = 0.0
    incarnation: int = 0
    sequence: int = 0


def parse_live_list(document: Any) -> Result[list[ListedVm], PlatformUnavailable]:
    """Parse the JSON form of the list.

    Parameters
    ----------
    document : object
        Decoded JSON.

    Returns
    -------
    Result
        The VMs, or an error if the list is malformed.
    """
    try:
        return Ok([_parse_vm(each) for each in document["vms"]])
    except (KeyError, TypeError, ValueError, ArithmeticError, AttributeError) as error:
        return Err(PlatformUnavailable(f"malformed list of VMs: {error!r}"))


def _parse_vm(each: dict[str, Any]) -> ListedVm:
    return ListedVm(
        name=str(each["name"]),
        kind=VmKind(each["kind"]),
        failure_domain=str(each["failure_domain"]),
        leaving=bool(each.get("leaving", False)),
        leaves_at=_time(each.get("leaves_at")),
        caller_endpoint=_endpoint(each.get("caller")),
        peer_endpoint=_endpoint(each.get("peer")),
    )


def _time(value: Any) -> float | None:
    if value is None:
        return None
    if isinstance(value, bool) or not math.isfinite(value):
        raise ValueError(f"{value!r} is not a time")
    return float(value)


def _endpoint(text: str | None) -> Endpoint | None:
    return Endpoint.parse(text) if text else None
