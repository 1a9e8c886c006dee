"""What is known of one other entry VM."""

from __future__ import annotations

from attrs import define

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.peer_messages.readiness import Readiness

UNHEARD = 0
"""Incarnation of a member that is listed but was never heard."""


@define(kw_only=True)
class Member:
    """Another entry VM of the same failure domain.

    Parameters
    ----------
    name : str
        Name of the VM.
    peer_endpoint : Endpoint
        Where heartbeats go.
    failure_domain : str
        Where it stands; empty until it is listed or heard.
    counted_since : float
        When it was first listed or heard, monotonic seconds.
    caller_endpoint : Endpoint, optional
        Where callers reach it.
    incarnation, sequence : int
        Of the newest heartbeat.
    readiness : Readiness
        As last heard.
    last_heard : float, optional
        Monotonic time in seconds; None before the first heartbeat.
    view_digest : int
        Digest of the members it counts.
    over_share : frozenset of str
        Upstreams on which it runs more than its share.
    configuration_version : int
        Version it has in force.
    listed_leaving : bool
        Whether the platform lists it as leaving.
    """

    name: str
    peer_endpoint: Endpoint
    counted_since: float
    failure_domain: str = ""
    caller_endpoint: Endpoint | None = None
    incarnation: int = UNHEARD
    sequence: int = 0
    readiness: Readiness = Readiness.STARTING
    last_heard: float | None = None
    view_digest: int = 0
    over_share: frozenset[str] = frozenset()
    configuration_version: int = 0
    listed_leaving: bool = False

    def is_silent(self, *, now: float, suspect_after_s: float) -> bool:
        """Tell whether no heartbeat came for longer than allowed."""
        return self.last_heard is None or now - self.last_heard > suspect_after_s
