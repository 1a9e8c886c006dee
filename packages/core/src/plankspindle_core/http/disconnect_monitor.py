"""Detects that a caller disconnects while its request is served."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from curio import sleep

from plankspindle_core.http.socket_options import RECEIVE_BYTES
from plankspindle_core.http.socket_options import is_closed_by_peer
from plankspindle_core.turn_limit import TurnLimit

if TYPE_CHECKING:
    import h11

    from plankspindle_core.http.memory_budget import MemoryHolder
    from plankspindle_core.http.server_exchange import ServerExchange

MAX_PIPELINED_BYTES = 65_536
"""Bytes behind a request that are buffered while it runs."""
DISCONNECT_POLL_S = 0.1
"""Period of looking for a disconnect while the socket must not be read, in seconds."""


class DisconnectMonitor:
    """Wait for the disconnect of the caller of one exchange.

    Parameters
    ----------
    exchange : ServerExchange
        The exchange; its connection is marked to be closed after the answer if too many
        bytes follow the request.
    protocol : h11.Connection
        Parser of the connection.
    socket : curio.io.Socket
        Socket of the connection.
    holder : MemoryHolder
        Memory that is held for the connection.
    """

    def __init__(
        self,
        *,
        exchange: ServerExchange,
        protocol: h11.Connection,
        socket: Any,
        holder: MemoryHolder,
    ) -> None:
        self._exchange = exchange
        self._protocol = protocol
        self._socket = socket
        self._holder = holder
        self._pipelined_bytes = 0

    async def wait(self) -> None:
        """Return once the caller has closed or reset the connection.

        Notes
        -----
        Until the body is read, the socket is the exchange's to read. Afterwards it is
        read here, and the bytes of pipelined requests are buffered up to a limit; what
        passes it is dropped.
        """
        while not self._exchange.body_is_read:
            if is_closed_by_peer(self._socket):
                return
            await sleep(DISCONNECT_POLL_S)
        turn = TurnLimit()
        while received := await self._receive():
            await turn.step()
            if not self._buffer_pipelined(received):
                self._exchange.closes = True

    def _buffer_pipelined(self, received: bytes) -> bool:
        """Buffer bytes of following requests; return False if there are too many."""
        size = self._pipelined_bytes + len(received)
        if self._exchange.closes or size > MAX_PIPELINED_BYTES:
            return False
        if not self._holder.try_grow(len(received)):
            return False
        self._pipelined_bytes = size
        self._protocol.receive_data(received)
        return True

    async def _receive(self) -> bytes:
        """Return received bytes; none if the caller has closed the connection."""
        try:
            received: bytes = await self._socket.recv(RECEIVE_BYTES)
        except OSError:
            return b""
        return received
