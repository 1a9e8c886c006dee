"""Effects of a node, besides those of its membership."""

from __future__ import annotations

from attrs import frozen

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.dispatch.messages import DispatchEffect
from plankspindle_daemon.membership.messages import SendHeartbeat
from plankspindle_daemon.wire.codec import PeerMessage


@frozen
class OfService:
    """An effect of one service's dispatcher."""

    service: str
    effect: DispatchEffect


@frozen
class BeginLeaving:
    """The platform wants this VM to leave."""

    reason: str


@frozen(kw_only=True)
class SendToPeer:
    """A message is to be sent to another entry VM."""

    message: PeerMessage
    to: Endpoint


NodeEffect = OfService | SendHeartbeat | BeginLeaving | SendToPeer
