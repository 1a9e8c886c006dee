"""Heartbeats between entry VMs."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion

ALL_UPSTREAMS = "*"
"""Wildcard in ``over_share`` for more upstreams than fit in a heartbeat."""


@frozen(kw_only=True)
class Heartbeat:
    """Periodic status of an entry VM, sent to its peers.

    Parameters
    ----------
    sender : str
        Name of the sending VM.
    incarnation : int
        Random id of the sending process, 64 bits.
    sequence : int
        Sequence number, so that heartbeats that arrive out of order are dropped.
    failure_domain : str
        Failure domain that the VM is located in.
    caller_endpoint, peer_endpoint : Endpoint
        Listeners of the VM.
    readiness : Readiness
        Whether the VM accepts requests.
    view_digest : int
        Digest of the members that it counts for slot shares, 64 bits.
    over_share : tuple of str
        Upstreams on which it still runs more requests than its share.
    configuration_version : ConfigurationVersion
        Configuration version in force.
    head_read_ago_ms : int
        Time since the last read of the configuration head by any member, as far
        as the sender knows.
    silent_upstreams : tuple of str
        Upstreams that currently answer none of the sender's requests.
    silent_incarnations : tuple of int
        Incarnation of each of those upstreams.
    is_watched : bool
        Whether the receiver must report the sender to all members as suspect if no
        further heartbeat arrives soon.
    quarantine_digest : int
        Digest of the requests in the sender's quarantine, 64 bits; zero if there are
        none.
    is_cut_off : bool
        Whether the sender reaches no upstream.
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
    configuration_version: ConfigurationVersion
    head_read_ago_ms: int = 0xFFFFFFFF
    silent_upstreams: tuple[str, ...] = ()
    silent_incarnations: tuple[int, ...] = ()
    is_watched: bool = False
    quarantine_digest: int = 0
    is_cut_off: bool = False
