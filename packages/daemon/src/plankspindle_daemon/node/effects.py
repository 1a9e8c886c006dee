"""Effects that a node returns for its runners to carry out."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_daemon.dispatch.messages import DispatchEffect
from plankspindle_daemon.membership.messages import LeaveRequested
from plankspindle_daemon.membership.messages import MembershipEffect
from plankspindle_daemon.membership.messages import SendHeartbeat
from plankspindle_daemon.membership.messages import ViewChanged
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.quotas.messages import TokenRefused
from plankspindle_daemon.quotas.messages import TokenTaken
from plankspindle_daemon.reachability.upstream_reach import ProbeConnection


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
    | ProbeConnection
)


def convert_effect(effect: MembershipEffect) -> list[NodeEffect]:
    """Convert an effect of the membership into effects of the node."""
    match effect:
        case LeaveRequested(reason=reason):
            return [BeginLeaving(reason)]
        case ViewChanged():
            # Lookups are refreshed in the node's tick. Refreshed here, each of 194
            # first heartbeats at a start cost 4 ms.
            return []
        case _:
            return [effect]
