"""State of one other entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_daemon.versions.configuration_version import NO_VERSION
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.heartbeat import Heartbeat

UNKNOWN_INCARNATION = 0
"""Incarnation of a member that is listed but has not sent a heartbeat yet."""
SUSPICION_QUORUM = 2
"""Watchers that must suspect a member before it is suspected here.

A single watcher may itself be partitioned, in one direction.
"""


@define(kw_only=True)
class Member:
    """Another entry VM that is a member.

    Parameters
    ----------
    name : str
        Name of the VM.
    peer_endpoint : Endpoint
        Destination of heartbeats.
    failure_domain : str
        Failure domain that it is located in; empty until the list or a heartbeat names
        it.
    known_since : float
        When the list or a heartbeat first named it, monotonic seconds.
    caller_endpoint : Endpoint, optional
        Its listener for callers.
    incarnation, sequence : int
        Of the newest heartbeat.
    readiness : Readiness
        As last reported.
    last_heartbeat_at : float, optional
        Monotonic time in seconds; None before the first heartbeat.
    view_digest : int
        Digest of the members that it counts.
    over_share : frozenset of str
        Upstreams on which it runs more than its share.
    configuration_version : int
        Version that it has in force.
    listed_leaving : bool
        Whether the platform lists it as leaving.
    suspected_by : set of str
        Watchers that have suspected it since its last heartbeat here.
    is_cut_off : bool
        Whether it reported that it reaches no upstream.
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
    configuration_version: ConfigurationVersion = NO_VERSION
    listed_leaving: bool = False
    suspected_by: set[str] = Factory(set)
    is_cut_off: bool = False

    def is_silent(self, *, now: float, suspect_after_s: float) -> bool:
        """Return whether no heartbeat arrived here within the allowed time."""
        return (
            self.last_heartbeat_at is None
            or now - self.last_heartbeat_at > suspect_after_s
        )

    def is_suspected(self, *, now: float, suspect_after_s: float) -> bool:
        """Return whether it is silent here, or enough of its watchers suspect it."""
        if len(self.suspected_by) >= SUSPICION_QUORUM:
            return True
        return self.is_silent(now=now, suspect_after_s=suspect_after_s)

    def is_outdated(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat is no newer than the newest of its process."""
        same = heartbeat.incarnation == self.incarnation
        return same and heartbeat.sequence <= self.sequence

    def affects_lookups(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat may change how lookups name this member."""
        return (
            self.last_heartbeat_at is None
            or bool(self.suspected_by)
            or self.readiness is not heartbeat.readiness
            or self.is_cut_off is not heartbeat.is_cut_off
            or self.caller_endpoint != heartbeat.caller_endpoint
            or self.failure_domain != heartbeat.failure_domain
        )

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Update the state from a heartbeat received at a time in monotonic seconds."""
        self.incarnation = heartbeat.incarnation
        self.sequence = heartbeat.sequence
        self.peer_endpoint = heartbeat.peer_endpoint
        self.caller_endpoint = heartbeat.caller_endpoint
        self.failure_domain = heartbeat.failure_domain
        self.readiness = heartbeat.readiness
        self.is_cut_off = heartbeat.is_cut_off
        self.view_digest = heartbeat.view_digest
        self.over_share = frozenset(heartbeat.over_share)
        self.configuration_version = heartbeat.configuration_version
        self.last_heartbeat_at = now
