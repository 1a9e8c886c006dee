"""Events, effects and messages of the membership slice."""

from __future__ import annotations

from attrs import frozen

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.membership.readiness import Readiness
from plankspindle_daemon.platform.live_list import ListedVm

EVERY_UPSTREAM = "*"
"""Stands in ``over_share`` for more upstreams than a heartbeat can name."""


@frozen(kw_only=True)
class Heartbeat:
    """What an entry VM tells its peers about itself.

    Parameters
    ----------
    sender : str
        Name of the VM.
    incarnation : int
        Random number of the process, 64 bits.
    sequence : int
        Count of its heartbeats, so that late ones are dropped.
    failure_domain : str
        Where it stands.
    caller_endpoint, peer_endpoint : Endpoint
        Its listeners.
    readiness : Readiness
        Whether it takes work.
    view_digest : int
        Digest of the members that it counts for slot shares, 64 bits.
    over_share : tuple of str
        Upstreams on which it still runs more than its share.
    configuration_version : int
        Version it has in force.
    head_read_ago_ms : int
        Time since any member read the head of the configuration, as far as it knows.
    """

    sender: str
    incarnation: int
    sequence: int
    failure_domain: str
    caller_endpoint: Endpoint
    peer_endpoint: Endpoint
    readiness: Readiness
    view_digest: int
    over_share: tuple[str, ...]
    configuration_version: int
    head_read_ago_ms: int = 0xFFFFFFFF


@frozen
class HeartbeatReceived:
    """A heartbeat came in."""

    heartbeat: Heartbeat


@frozen
class LiveListRead:
    """The platform's list was read."""

    vms: tuple[ListedVm, ...]


@frozen
class TimePassed:
    """Some time passed."""


@frozen
class Paused:
    """The process noticed that it was not running for a while."""


MembershipEvent = HeartbeatReceived | LiveListRead | TimePassed | Paused


@frozen
class SendHeartbeat:
    """A heartbeat is due to a peer."""

    to: Endpoint


@frozen
class ViewChanged:
    """Another set of members counts for slot shares."""

    members: tuple[str, ...]


@frozen
class LeaveRequested:
    """The platform lists this VM as leaving, or no longer lists it."""

    reason: str


MembershipEffect = SendHeartbeat | ViewChanged | LeaveRequested
