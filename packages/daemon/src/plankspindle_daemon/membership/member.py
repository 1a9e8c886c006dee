"""What is known of one other entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.peer_messages.readiness import Readiness

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.heartbeat import Heartbeat

UNKNOWN_INCARNATION = 0
"""Incarnation of a member that is listed but was never heard."""
SUSPICION_QUORUM = 2
"""Watchers that must no longer hear a member before it is suspected here.

One alone may be cut off itself, in one direction.
"""


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
    known_since : float
        When it was first listed or heard, monotonic seconds.
    caller_endpoint : Endpoint, optional
        Where callers reach it.
    incarnation, sequence : int
        Of the newest heartbeat.
    readiness : Readiness
        As last heard.
    last_heartbeat_at : float, optional
        Monotonic time in seconds; None before the first heartbeat.
    view_digest : int
        Digest of the members it counts.
    over_share : frozenset of str
        Upstreams on which it runs more than its share.
    configuration_version : int
        Version it has in force.
    listed_leaving : bool
        Whether the platform lists it as leaving.
    suspected_by : set of str
        Its watchers that no longer hear it, since it was last heard here.
    """

    name: str
    peer_endpoint: Endpoint
    known_since: float
    failure_domain: str = ""
    caller_endpoint: Endpoint | None = None
    incarnation: int = UNKNOWN_INCARNATION
    sequence: int = 0
    readiness: Readiness = Readiness.STARTING
    last_heartbeat_at: float | None = None
    view_digest: int = 0
    over_share: frozenset[str] = frozenset()
    configuration_version: int = 0
    listed_leaving: bool = False
    suspected_by: set[str] = Factory(set)

    def is_silent(self, *, now: float, suspect_after_s: float) -> bool:
        """Tell whether no heartbeat came here for longer than allowed."""
        return (
            self.last_heartbeat_at is None
            or now - self.last_heartbeat_at > suspect_after_s
        )

    def is_suspected(self, *, now: float, suspect_after_s: float) -> bool:
        """Tell whether it fell silent, as heard here or by its watchers."""
        if len(self.suspected_by) >= SUSPICION_QUORUM:
            return True
        return self.is_silent(now=now, suspect_after_s=suspect_after_s)

    def is_outdated(self, heartbeat: Heartbeat) -> bool:
        """Tell whether a heartbeat is older than the newest one of its process."""
        same = heartbeat.incarnation == self.incarnation
        return same and heartbeat.sequence <= self.sequence

    def affects_lookups(self, heartbeat: Heartbeat) -> bool:
        """Tell whether look-ups may have to name it otherwise than before."""
        return (
            self.last_heartbeat_at is None
            or bool(self.suspected_by)
            or self.readiness is not heartbeat.readiness
            or self.caller_endpoint != heartbeat.caller_endpoint
            or self.failure_domain != heartbeat.failure_domain
        )

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Take what it says of itself, heard at a time in monotonic seconds."""
        self.incarnation = heartbeat.incarnation
        self.sequence = heartbeat.sequence
        self.peer_endpoint = heartbeat.peer_endpoint
        self.caller_endpoint = heartbeat.caller_endpoint
        self.failure_domain = heartbeat.failure_domain
        self.readiness = heartbeat.readiness
        self.view_digest = heartbeat.view_digest
        self.over_share = frozenset(heartbeat.over_share)
        self.configuration_version = heartbeat.configuration_version
        self.last_heartbeat_at = now
