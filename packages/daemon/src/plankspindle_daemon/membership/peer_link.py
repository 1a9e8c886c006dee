"""UDP link to the other entry VMs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any

from curio import socket

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.turn_limit import TurnLimit
from plankspindle_daemon.peer_messages.peer_message import PeerMessage
from plankspindle_daemon.wire.codec import ENCODE_ERRORS
from plankspindle_daemon.wire.codec import decode
from plankspindle_daemon.wire.codec import encode
from plankspindle_daemon.wire.frame import MAX_FRAME_BYTES

if TYPE_CHECKING:
    from random import Random

    from plankspindle_core.supervisor import Supervisor
    from plankspindle_daemon.membership.membership import Membership
    from plankspindle_daemon.wire.frame import FrameSealer

Receiver = Callable[[PeerMessage, Endpoint], Awaitable[None]]


class PeerLink:
    """Send and receive authenticated messages; count and drop invalid packets.

    Parameters
    ----------
    endpoint : Endpoint
        UDP address of this VM.
    sealer : FrameSealer
        Keys of the frames.
    membership : Membership
        Members of the failure domain.
    random : Random
        Source of choices among members.
    supervisor : Supervisor
        Starts tasks.

    Attributes
    ----------
    dropped_by_reason : Counter of str
        Packets that were dropped.
    bytes_sent, bytes_received : int
        UDP payload.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        sealer: FrameSealer,
        membership: Membership,
        random: Random,
        supervisor: Supervisor,
    ) -> None:
        self.endpoint = endpoint
        self.dropped_by_reason: Counter[str] = Counter()
        self.bytes_sent = 0
        self.bytes_received = 0
        self._sealer = sealer
        self._membership = membership
        self._random = random
        self._supervisor = supervisor
        self._last_sent: tuple[PeerMessage, bytes] | None = None
        self._socket: Any = None
        self._task: Any = None

    async def start(self, receiver: Receiver) -> None:
        """Bind the address and pass each message to a receiver.

        Raises
        ------
        OSError
            If the address cannot be used.
        """
        family = socket.AF_INET6 if ":" in self.endpoint.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.bind((self.endpoint.host, self.endpoint.port))
        self._task = await self._supervisor.spawn(self._receive, receiver)

    async def close(self) -> None:
        """Stop receiving and release the address."""
        if self._task is not None:
            await self._task.cancel()
            await self._socket.close()
            self._task = None

    async def _receive(self, receiver: Receiver) -> None:
        turn = TurnLimit()
        while True:
            await turn.step()
            try:
                frame, address = await self._socket.recvfrom(MAX_FRAME_BYTES + 1)
            except OSError:
                continue
            self.bytes_received += len(frame)
            message = self._sealer.open(frame).and_then(decode)
            if message.is_err():
                self.dropped_by_reason[message.unwrap_err().reason] += 1
                continue
            # A message that a receiver fails to handle must not stop the daemon.
            sender = Endpoint(address[0], address[1])
            await self._supervisor.contain(receiver, message.unwrap(), sender)

    async def send(self, message: PeerMessage, to: Endpoint) -> None:
        """Send one message; it may be lost."""
        try:
            frame = self._frame_of(message)
        except ENCODE_ERRORS as error:
            self._record_not_encodable(message, error)
            return
        if len(frame) > MAX_FRAME_BYTES:
            self.dropped_by_reason["too-long-to-send"] += 1
            return
        try:
            await self._socket.sendto(frame, (to.host, to.port))
            self.bytes_sent += len(frame)
        except OSError:
            self.dropped_by_reason["not-sent"] += 1

    def _frame_of(self, message: PeerMessage) -> bytes:
        """Encode and seal a message, once if it goes to several members in a row.

        This reduces the event loop time of a heartbeat round to 194 members from 17 ms
        to 1 ms.
        """
        if self._last_sent is None or self._last_sent[0] is not message:
            self._last_sent = (message, self._sealer.seal(encode(message)))
        return self._last_sent[1]

    def _record_not_encodable(self, message: PeerMessage, error: Exception) -> None:
        """Count a message that cannot be encoded, and log the first one."""
        if not self.dropped_by_reason["not-encodable"]:
            kind = type(message).__name__
            log_event("message_not_encodable", message=kind, error=repr(error))
        self.dropped_by_reason["not-encodable"] += 1

    async def send_to_random_member(self, message: PeerMessage) -> None:
        """Send a message to a random member with a heartbeat, if there is any."""
        endpoints = [
            each.peer_endpoint
            for each in self._membership.members_by_name.values()
            if each.last_heartbeat_at is not None
        ]
        if endpoints:
            await self.send(message, self._random.choice(sorted(endpoints)))
