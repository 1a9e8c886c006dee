"""What an entry VM tells the others of itself."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.peer_messages.readiness import Readiness

ALL_UPSTREAMS = "*"
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
    silent_upstreams : tuple of str
        Upstreams that answer none of its requests at present.
    silent_incarnations : tuple of int
        Which life of each of them is meant.
    is_watched : bool
        Whether the receiver is to tell all members if no further one comes soon.
    quarantine_digest : int
        Digest of the requests that it holds back, 64 bits; zero if there are none.
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
    silent_upstreams: tuple[str, ...] = ()
    silent_incarnations: tuple[int, ...] = ()
    is_watched: bool = False
    quarantine_digest: int = 0
