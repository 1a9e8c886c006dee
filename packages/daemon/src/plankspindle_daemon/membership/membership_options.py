"""Settings of a membership."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint


@frozen(kw_only=True)
class MembershipOptions:
    """Settings of a membership.

    Parameters
    ----------
    vm, failure_domain : str
        Name and failure domain of this VM.
    incarnation : int
        Random number of this process.
    heartbeat_s : float
        Period of heartbeats to each peer while they fit the byte budget, in seconds.
    suspect_after_s : float
        Time without heartbeats after which a peer is suspected, in seconds; it grows
        with the period.
    seeds : tuple of Endpoint
        Peers that always get heartbeats, whether they are known members or not.
    all_domains : bool
        Whether entry VMs of all failure domains are members, not only of this VM's.
    """

    vm: str
    failure_domain: str
    incarnation: int
    heartbeat_s: float
    suspect_after_s: float
    seeds: tuple[Endpoint, ...] = ()
    all_domains: bool = False
