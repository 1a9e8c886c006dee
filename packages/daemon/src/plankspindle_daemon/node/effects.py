"""Effects that a node returns for its runners to carry out."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_daemon.dispatch.messages import DispatchEffect
from plankspindle_daemon.membership.messages import SendHeartbeat
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.quotas.messages import TokenRefused
from plankspindle_daemon.quotas.messages import TokenTaken


@frozen
class ServiceEffect:
    """An effect of one service's dispatcher."""

    service: str
    effect: DispatchEffect


@frozen
class BeginLeaving:
    """The platform requests that this VM leaves."""

    reason: str


NodeEffect = (
    ServiceEffect
    | SendHeartbeat
    | BeginLeaving
    | SendToPeer
    | TokenTaken
    | TokenRefused
)
