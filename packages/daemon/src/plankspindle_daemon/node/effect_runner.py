"""Carries out the effects of a node, and passes it messages of other entry VMs."""

from __future__ import annotations

import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.dispatch.messages import SlotsGranted
from plankspindle_daemon.membership.messages import HeartbeatReceived
from plankspindle_daemon.membership.messages import SendHeartbeat
from plankspindle_daemon.membership.messages import SuspicionReceived
from plankspindle_daemon.membership.peer_link import PeerLink
from plankspindle_daemon.node.dispatch_runner import DispatchRunner
from plankspindle_daemon.node.effects import BeginLeaving
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.node.quota_runner import QuotaRunner
from plankspindle_daemon.peer_messages.content_messages import ContentChunk
from plankspindle_daemon.peer_messages.content_messages import ContentRequest
from plankspindle_daemon.peer_messages.crash_news import CrashNews
from plankspindle_daemon.peer_messages.headroom_messages import HeadroomGrant
from plankspindle_daemon.peer_messages.headroom_messages import HeadroomRequest
from plankspindle_daemon.peer_messages.heartbeat import Heartbeat
from plankspindle_daemon.peer_messages.limit_news import LimitNews
from plankspindle_daemon.peer_messages.limit_question import LimitQuestion
from plankspindle_daemon.peer_messages.list_news import ListNews
from plankspindle_daemon.peer_messages.load_digest import LoadDigest
from plankspindle_daemon.peer_messages.quota_messages import ShareClaim
from plankspindle_daemon.peer_messages.quota_messages import ShareLease
from plankspindle_daemon.peer_messages.quota_messages import TokenGrant
from plankspindle_daemon.peer_messages.quota_messages import TokenRequest
from plankspindle_daemon.peer_messages.rollout_messages import RolloutDirective
from plankspindle_daemon.peer_messages.rollout_messages import RolloutReport
from plankspindle_daemon.peer_messages.slot_messages import SlotGrant
from plankspindle_daemon.peer_messages.slot_messages import SlotRequest
from plankspindle_daemon.peer_messages.suspicion import Suspicion
from plankspindle_daemon.quotas.messages import TokenRefused
from plankspindle_daemon.quotas.messages import TokenTaken
from plankspindle_daemon.reachability.upstream_reach import ProbeConnection

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.configuration.configuration_reader import AcceptedVersion
    from plankspindle_daemon.membership.messages import MembershipEvent
    from plankspindle_daemon.node.effects import NodeEffect
    from plankspindle_daemon.peer_messages.peer_message import PeerMessage
    from plankspindle_daemon.peer_messages.peer_message import SendToPeer
    from plankspindle_daemon.versions.configuration_version import ConfigurationVersion

FINAL_HEARTBEAT_COUNT = 3


@define(kw_only=True)
class EffectRunner:
    """Carry out the effects of a node, and pass it messages of other entry VMs.

    Parameters
    ----------
    node : Node
        Decision logic of this VM.
    peers : PeerLink
        Sends messages to other entry VMs.
    dispatch : DispatchRunner
        Carries out the effects of dispatchers.
    quotas : QuotaRunner
        Wakes requests that wait for a token of their quota.
    leave : callable
        Begins the planned stop; called with its reason.
    on_list_update : callable, optional
        Called with each update of the platform's list that another entry VM sends.
    on_adoption : callable, optional
        Called after each version of the configuration that is put in force.
    """

    node: Node
    peers: PeerLink
    dispatch: DispatchRunner
    quotas: QuotaRunner
    leave: Callable[[str], None]
    on_list_update: Callable[[ListNews], Awaitable[None]] | None = None
    on_adoption: Callable[[], None] | None = None

    async def perform(self, effects: list[NodeEffect]) -> None:
        """Carry out effects in order."""
        heartbeat_by_is_watched: dict[bool, Heartbeat] = {}
        for effect in effects:
            match effect:
                case SendHeartbeat(to=to):
                    await self.peers.send(
                        self._heartbeat(to, heartbeat_by_is_watched), to
                    )
                case BeginLeaving(reason=reason):
                    self.leave(reason)
                case TokenTaken() | TokenRefused():
                    await self.quotas.deliver_decision(effect)
                case ProbeConnection():
                    await self.dispatch.probe_connection(effect)
                case _:
                    pass
        await self.dispatch.perform(effects)

    def _heartbeat(
        self, to: Endpoint, heartbeat_by_is_watched: dict[bool, Heartbeat]
    ) -> Heartbeat:
        """Return the heartbeat for a member: one for watchers, one for all others."""
        is_watched = self.node.membership.is_watched_by(to)
        heartbeat = heartbeat_by_is_watched.get(is_watched)
        if heartbeat is None:
            heartbeat = self.node.heartbeat(now=monotonic(), is_watched=is_watched)
            heartbeat_by_is_watched[is_watched] = heartbeat
        return heartbeat

    async def receive(self, message: PeerMessage, sender: Endpoint) -> None:
        """Pass a message of another entry VM to the node, and carry out the effects."""
        match message:
            case Heartbeat():
                await self._handle_membership(HeartbeatReceived(message))
            case Suspicion():
                await self._handle_membership(SuspicionReceived(message))
            case ContentRequest() | ContentChunk():
                await self._receive_content(message, sender)
            case ListNews():
                if self.on_list_update is not None:
                    await self.on_list_update(message)
            case CrashNews() | RolloutReport() | RolloutDirective():
                await self.perform([*self._handle_decision(message, sender)])
            case LoadDigest():
                self.node.digest_exchange.digests.record(message, monotonic())
            case (
                ShareClaim()
                | ShareLease()
                | TokenRequest()
                | TokenGrant()
                | LimitNews()
                | LimitQuestion()
            ):
                effects = self.node.limited_dispatch.receive(
                    message, sender, monotonic()
                )
                await self.perform(effects)
            case SlotRequest() | SlotGrant() | HeadroomRequest() | HeadroomGrant():
                await self._receive_lending(message, sender)

    def _handle_decision(
        self, message: CrashNews | RolloutReport | RolloutDirective, sender: Endpoint
    ) -> list[SendToPeer]:
        """Handle what other VMs have decided, or need for their decisions."""
        if isinstance(message, CrashNews):
            return self.node.quarantine.handle_update(message, sender, monotonic())
        return self.node.rollouts.handle(message, sender, monotonic())

    async def _handle_membership(self, event: MembershipEvent) -> None:
        effects = self.node.handle_membership(event, now=monotonic(), wall=time.time())
        await self.perform(effects)

    async def _receive_lending(
        self,
        message: SlotRequest | SlotGrant | HeadroomRequest | HeadroomGrant,
        sender: Endpoint,
    ) -> None:
        """Handle a request for slots or headroom, or a grant of them."""
        match message:
            case SlotRequest():
                granted = self.node.shared_slots.lend(message, sender, monotonic())
                await self.perform([*granted])
            case SlotGrant():
                service = self.node.services.service_of(message.upstream)
                await self.dispatch.handle(service, SlotsGranted(message))
            case HeadroomRequest():
                await self.perform(
                    self.node.handle_headroom_request(message, sender, monotonic())
                )
            case HeadroomGrant():
                self.node.headroom.grants.accept_grant(message, monotonic())

    async def _receive_content(
        self, message: ContentRequest | ContentChunk, sender: Endpoint
    ) -> None:
        if isinstance(message, ContentChunk):
            await self._receive_chunk(message)
        else:
            answers = self.node.versions.answer(message, sender, monotonic())
            await self.perform([*answers])

    async def _receive_chunk(self, chunk: ContentChunk) -> None:
        before = self.node.version
        effects = self.node.receive_content_chunk(chunk, monotonic())
        if self.node.version != before:
            self._handle_adoption(before=before, plan=None, source=chunk.sender)
        await self.perform(effects)

    async def adopt(self, newer: AcceptedVersion) -> None:
        """Put a version in force that was read from the platform."""
        before = self.node.version
        effects = self.node.adopt(
            newer.configuration, version=newer.version, now=monotonic()
        )
        self._handle_adoption(before=before, plan=newer.plan, source="platform")
        await self.perform(effects)

    def _handle_adoption(
        self, *, before: ConfigurationVersion, plan: str | None, source: str
    ) -> None:
        configuration = self.node.configuration
        log_event(
            "configuration_adopted",
            version=self.node.version.number,
            before=before.number,
            revision=self.node.version.revision,
            era=self.node.version.era,
            plan=plan or None,
            source=source,
            routes=None if configuration is None else len(configuration.routes_by_name),
        )
        if self.on_adoption is not None:
            self.on_adoption()

    async def send_final_heartbeats(self) -> None:
        """Announce to all members that nothing of this process runs any more."""
        for _ in range(FINAL_HEARTBEAT_COUNT):
            heartbeat = self.node.heartbeat(now=monotonic(), left=True)
            for endpoint in self.node.membership.peer_endpoints():
                await self.peers.send(heartbeat, endpoint)
