"""Configuration versions as the members of one entry VM tell and give them."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.configuration.head_watch import HeadWatch
from plankspindle_daemon.configuration.spread_targets import spread_targets
from plankspindle_daemon.configuration.version_exchange import LearnedContent
from plankspindle_daemon.configuration.version_exchange import VersionExchange
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.membership.messages import SendHeartbeat
from plankspindle_daemon.peer_messages.peer_message import SendToPeer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.peer_messages.content_messages import ContentChunk
    from plankspindle_daemon.peer_messages.content_messages import ContentRequest
    from plankspindle_daemon.peer_messages.heartbeat import Heartbeat


@define(kw_only=True)
class VersionGossip:
    """Tell members of versions, and learn higher ones from them.

    Parameters
    ----------
    vm : str
        Name of this VM.
    membership : Membership
        The members.
    random : Random
        Source of the members that are told first.

    Attributes
    ----------
    head : HeadWatch
        When anybody read the head of the configuration.
    exchange : VersionExchange
        The version that is offered, and the one that is fetched.
    """

    vm: str
    membership: Membership
    random: Random
    head: HeadWatch = Factory(HeadWatch)
    exchange: VersionExchange = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.exchange = VersionExchange(vm=self.vm)

    def is_reader(self, now: float) -> bool:
        """Tell whether this VM is to poll the platform for a new version."""
        members = self.membership.member_names()
        return self.exchange.is_reader(members, now, self.head.heard_at)

    def announce(self) -> list[SendHeartbeat]:
        """Tell some members of a new version at once; heartbeats tell the rest."""
        targets = spread_targets(
            me=self.vm, members=self.membership.member_names(), random=self.random
        )
        members = self.membership.members_by_name
        return [SendHeartbeat(members[name].peer_endpoint) for name in targets]

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[SendToPeer]:
        """Take what a member's heartbeat says of the configuration."""
        if heartbeat.sender not in self.membership.members_by_name:
            return []
        self.head.note_heard(heartbeat.head_read_ago_ms, now)
        return self.receive_version(
            heartbeat.sender, heartbeat.configuration_version, now
        )

    def receive_version(
        self, sender: str, version: int, now: float
    ) -> list[SendToPeer]:
        """Take the version that another entry VM has in force."""
        return self._request(sender, self.exchange.hear_version(sender, version, now))

    def answer(self, request: ContentRequest, reply_to: Endpoint) -> list[SendToPeer]:
        """Give a part of the version in force."""
        chunk = self.exchange.answer(request)
        return [] if chunk is None else [SendToPeer(message=chunk, to=reply_to)]

    def receive_chunk(
        self, chunk: ContentChunk, now: float
    ) -> LearnedContent | list[SendToPeer]:
        """Take a part of a higher version; give the whole, or what is asked next."""
        taken = self.exchange.take_chunk(chunk, now).unwrap_or([])
        if isinstance(taken, LearnedContent):
            return taken
        return self._request(chunk.sender, taken)

    def tick(self, now: float) -> list[SendToPeer]:
        """Ask again for parts that did not come."""
        source, asked = self.exchange.tick(now)
        return self._request(source, asked)

    def _request(
        self, name: str, requests: Iterable[ContentRequest]
    ) -> list[SendToPeer]:
        member = self.membership.members_by_name.get(name)
        if member is None:
            return []
        to = member.peer_endpoint
        return [SendToPeer(message=request, to=to) for request in requests]
