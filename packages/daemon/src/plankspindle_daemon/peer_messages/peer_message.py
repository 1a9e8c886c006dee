"""Union of all messages between entry VMs, and the effect that sends one."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
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

PeerMessage = (
    Heartbeat
    | SlotRequest
    | SlotGrant
    | HeadroomRequest
    | HeadroomGrant
    | LoadDigest
    | ContentRequest
    | ContentChunk
    | ListNews
    | Suspicion
    | CrashNews
    | ShareClaim
    | ShareLease
    | TokenRequest
    | TokenGrant
    | LimitNews
    | LimitQuestion
    | RolloutReport
    | RolloutDirective
)


@frozen(kw_only=True)
class SendToPeer:
    """Effect: send a message to another entry VM."""

    message: PeerMessage
    to: Endpoint
