"""Events, effects and messages of the membership."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.peer_messages.heartbeat import Heartbeat
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.peer_messages.suspicion import Suspicion
from plankspindle_daemon.platform.live_list import ListedVm


@frozen
class HeartbeatReceived:
    """A heartbeat was received."""

    heartbeat: Heartbeat


@frozen
class LiveListRead:
    """The platform's list was read."""

    vms: tuple[ListedVm, ...]


@frozen
class TimePassed:
    """Some time passed."""


@frozen
class ProcessPaused:
    """The process detected that it was not running for a while."""


@frozen
class SuspicionReceived:
    """A watcher no longer gets heartbeats from some members."""

    suspicion: Suspicion


MembershipEvent = (
    HeartbeatReceived | LiveListRead | TimePassed | ProcessPaused | SuspicionReceived
)


@frozen
class SendHeartbeat:
    """A heartbeat is due to a peer."""

    to: Endpoint


@frozen
class ViewChanged:
    """The set of members changed, or the incarnation of one of them."""


@frozen
class LeaveRequested:
    """The platform lists this VM as leaving, or no longer lists it."""

    reason: str


MembershipEffect = SendHeartbeat | ViewChanged | LeaveRequested | SendToPeer
