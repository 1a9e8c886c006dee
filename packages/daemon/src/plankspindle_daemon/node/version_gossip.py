"""Exchange of configuration versions between entry VMs."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.configuration.broadcast_targets import broadcast_targets
from plankspindle_daemon.configuration.head_freshness import HeadFreshness
from plankspindle_daemon.configuration.version_exchange import FetchedContent
from plankspindle_daemon.configuration.version_exchange import SameContent
from plankspindle_daemon.configuration.version_exchange import VersionExchange
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.membership.messages import SendHeartbeat
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.versions.store_era import StoreEra

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.peer_messages.content_messages import ContentChunk
    from plankspindle_daemon.peer_messages.content_messages import ContentRequest
    from plankspindle_daemon.peer_messages.heartbeat import Heartbeat
    from plankspindle_daemon.versions.configuration_version import ConfigurationVersion


@define(kw_only=True)
class VersionGossip:
    """Announce versions to members, and fetch higher ones from them.

    Parameters
    ----------
    vm : str
        Name of this VM.
    membership : Membership
        Known entry VMs.
    random : Random
        Chooses the members that a new version is announced to first.
    store_era : StoreEra
        Era of the platform's store, which members may know before this VM.

    Attributes
    ----------
    head : HeadFreshness
        When any entry VM last read the head of the configuration.
    exchange : VersionExchange
        The version that is offered to members, and the one being fetched.
    """

    vm: str
    membership: Membership
    random: Random
    store_era: StoreEra = Factory(StoreEra)
    head: HeadFreshness = Factory(HeadFreshness)
    exchange: VersionExchange = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.exchange = VersionExchange(vm=self.vm)

    def is_reader(self, now: float) -> bool:
        """Return whether this VM must poll the platform for a new version."""
        members = self.membership.member_names()
        return self.exchange.is_reader(members, now, self.head.reported_at)

    def announce(self) -> list[SendHeartbeat]:
        """Announce a new version to some members at once.

        The remaining ones learn of it from regular heartbeats.
        """
        targets = broadcast_targets(
            own_name=self.vm, members=self.membership.member_names(), random=self.random
        )
        members = self.membership.members_by_name
        return [SendHeartbeat(members[name].peer_endpoint) for name in targets]

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[SendToPeer]:
        """Apply what a member's heartbeat reports on the configuration."""
        if heartbeat.sender not in self.membership.members_by_name:
            return []
        self.head.record_report(heartbeat.head_read_ago_ms, now)
        return self.receive_version(
            heartbeat.sender, heartbeat.configuration_version, now
        )

    def receive_version(
        self, sender: str, version: ConfigurationVersion, now: float
    ) -> list[SendToPeer]:
        """Record the version that another entry VM has in force.

        Returns
        -------
        list of SendToPeer
            Requests for its content, if it is higher than this VM's.
        """
        self.store_era.observe(version.era, now, source=sender)
        return self._request(
            sender, self.exchange.handle_announcement(sender, version, now)
        )

    def answer(
        self, request: ContentRequest, reply_to: Endpoint, now: float
    ) -> list[SendToPeer]:
        """Answer a request with a chunk of the version in force."""
        chunk = self.exchange.chunk_for(request, now)
        return [] if chunk is None else [SendToPeer(message=chunk, to=reply_to)]

    def receive_chunk(
        self, chunk: ContentChunk, now: float
    ) -> FetchedContent | SameContent | list[SendToPeer]:
        """Apply a chunk of a higher version.

        Returns
        -------
        FetchedContent, SameContent or list of SendToPeer
            The content once complete, or that it is the one in force; otherwise
            requests for further chunks.
        """
        result = self.exchange.handle_chunk(chunk, now).unwrap_or([])
        if isinstance(result, FetchedContent | SameContent):
            return result
        return self._request(chunk.sender, result)

    def tick(self, now: float) -> list[SendToPeer]:
        """Repeat requests for chunks that were not answered."""
        source, requests = self.exchange.tick(now)
        return self._request(source, requests)

    def _request(
        self, name: str, requests: Iterable[ContentRequest]
    ) -> list[SendToPeer]:
        member = self.membership.members_by_name.get(name)
        if member is None:
            return []
        to = member.peer_endpoint
        return [SendToPeer(message=request, to=to) for request in requests]
