"""The client side of one HTTP/1.1 connection."""

from __future__ import annotations

import socket as stdlib_socket
from typing import TYPE_CHECKING
from typing import Any

import h11
from curio import TaskTimeout
from curio import socket
from result import Err
from result import Ok
from result import Result

from plankspindle_core.http.errors import ConnectFailed
from plankspindle_core.http.errors import ConnectionLost
from plankspindle_core.http.socket_options import RECEIVE_BYTES
from plankspindle_core.http.socket_options import detect_unresponsive_peer
from plankspindle_core.http.socket_options import reset_on_close
from plankspindle_core.time_limit import within
from plankspindle_core.turn_limit import TurnLimit

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_core.http.headers import HeaderList

MAX_HEAD_BYTES = 65_536
MAX_COPIED_BYTES = 65_536
"""Longest piece that is copied to be sent together with others."""
_CONTINUE = 100
_COMPLETE_STATES = frozenset({h11.DONE, h11.MUST_CLOSE, h11.CLOSED})
"""States of a side that has sent its whole message."""


class ClientConnection:
    """One connection to an HTTP server, used for one exchange at a time.

    Parameters
    ----------
    endpoint : Endpoint
        Server to connect to.

    Attributes
    ----------
    bytes_handed_over : bool
        Whether any byte of the current request was written to the socket. While it is
        False, the server cannot have run the request.
    exchanges : int
        Number of completed exchanges.
    released_at : float
        Time at which it last became idle, monotonic seconds.
    """

    def __init__(self, *, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.bytes_handed_over = False
        self.exchanges = 0
        self.released_at = 0.0
        self._unsent = b""
        self._socket: Any = None
        self._turn = TurnLimit()
        self._protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    async def start(self, *, timeout_s: float) -> Result[None, ConnectFailed]:
        """Connect to the server.

        Parameters
        ----------
        timeout_s : float
            Connect timeout in seconds.

        Returns
        -------
        Result
            Nothing, or why the connection was not established.
        """
        family = socket.AF_INET6 if ":" in self.endpoint.host else socket.AF_INET
        try:
            self._socket = socket.socket(family, socket.SOCK_STREAM)
            detect_unresponsive_peer(self._socket)
            await within(
                timeout_s,
                self._socket.connect,
                (self.endpoint.host, self.endpoint.port),
            )
        except (OSError, TaskTimeout) as error:
            await self.close()
            return Err(
                ConnectFailed(
                    f"{type(error).__name__}: {error}",
                    is_refused=isinstance(error, ConnectionRefusedError),
                    is_timeout=isinstance(error, TaskTimeout),
                )
            )
        return Ok(None)

    async def send_request(
        self, *, method: str, target: str, headers: HeaderList
    ) -> Result[None, ConnectionLost]:
        """Buffer the head of a request; it is sent together with the next data.

        Parameters
        ----------
        method, target : str
            Request line.
        headers : list of (bytes, bytes)
            Headers, including the framing of the body if there is one.

        Returns
        -------
        Result
            Nothing, or how the connection was lost.
        """
        self._turn.restart()
        try:
            request = h11.Request(method=method, target=target, headers=headers)
            self._unsent = self._protocol.send(request) or b""
        except h11.LocalProtocolError as error:
            return Err(ConnectionLost(str(error)))
        return Ok(None)

    async def send_data(self, data: bytes) -> Result[None, ConnectionLost]:
        """Send a chunk of the request body."""
        return await self._send(h11.Data(data=data))

    async def end_request(self) -> Result[None, ConnectionLost]:
        """End the request body."""
        return await self._send(h11.EndOfMessage())

    async def _send(self, event: Any) -> Result[None, ConnectionLost]:
        try:
            pieces = self._protocol.send_with_data_passthrough(event) or []
            unsent, self._unsent = self._unsent, b""
            for piece in _join_short_pieces([unsent, *pieces]):
                self.bytes_handed_over = True
                await self._socket.sendall(piece)
        except (OSError, h11.LocalProtocolError) as error:
            return Err(ConnectionLost(f"{type(error).__name__}: {error}"))
        return Ok(None)

    async def read_head(self) -> Result[h11.Response, ConnectionLost]:
        """Read the final response head, skipping interim ones.

        Returns
        -------
        Result
            The head, or how the connection was lost.
        """
        while True:
            event = await self._next_event()
            if event.is_err():
                return Err(event.unwrap_err())
            match event.unwrap():
                case h11.Response() as response:
                    return Ok(response)
                case h11.InformationalResponse(status_code=status) if (
                    status >= _CONTINUE
                ):
                    continue
                case other:
                    return Err(ConnectionLost(f"unexpected {type(other).__name__}"))

    async def read_chunk(self) -> Result[bytes | None, ConnectionLost]:
        """Read the next chunk of the response body.

        Returns
        -------
        Result
            A chunk, or None once the body is complete, or how the connection was lost
            before the framing of the body was satisfied.
        """
        event = await self._next_event()
        if event.is_err():
            return Err(event.unwrap_err())
        match event.unwrap():
            case h11.Data(data=data):
                return Ok(bytes(data))
            case h11.EndOfMessage():
                return Ok(None)
            case other:
                return Err(ConnectionLost(f"unexpected {type(other).__name__}"))

    async def read_body(self, *, max_bytes: int) -> Result[bytes, ConnectionLost]:
        """Read the complete response body.

        Parameters
        ----------
        max_bytes : int
            Longest body to accept.

        Returns
        -------
        Result
            The body, or how the connection was lost before the body was complete.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            chunk = await self.read_chunk()
            if chunk.is_err():
                return Err(chunk.unwrap_err())
            data = chunk.unwrap()
            if data is None:
                return Ok(b"".join(parts))
            size += len(data)
            if size > max_bytes:
                return Err(ConnectionLost(f"the body exceeds {max_bytes} bytes"))
            parts.append(data)

    async def _next_event(self) -> Result[Any, ConnectionLost]:
        try:
            while True:
                await self._turn.step()
                event = self._protocol.next_event()
                if event is not h11.NEED_DATA:
                    return Ok(event)
                self._protocol.receive_data(await self._socket.recv(RECEIVE_BYTES))
        except (OSError, h11.RemoteProtocolError) as error:
            return Err(ConnectionLost(f"{type(error).__name__}: {error}"))

    def prepare_reuse(self) -> bool:
        """Prepare the connection for another exchange, if it can be reused.

        Returns
        -------
        bool
            False if the exchange is incomplete, the server closes the connection, or
            unsolicited bytes have arrived; the connection must then be closed.
        """
        protocol = self._protocol
        finished = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        if not finished or protocol.trailing_data[0]:
            return False
        protocol.start_next_cycle()
        self.exchanges += 1
        self.bytes_handed_over = False
        return self.is_idle()

    def is_idle(self) -> bool:
        """Return whether neither data nor the end of the stream is waiting."""
        try:
            self._socket._socket.recv(1, stdlib_socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    @property
    def _is_exchange_incomplete(self) -> bool:
        states = (self._protocol.our_state, self._protocol.their_state)
        return self.bytes_handed_over and not _COMPLETE_STATES.issuperset(states)

    async def close(self) -> None:
        """Close the connection, which cancels an incomplete exchange.

        Notes
        -----
        An incomplete exchange ends with a reset. A plain close would still deliver
        bytes that the network holds back, and the server would run what was given up.
        """
        if self._socket is not None:
            if self._is_exchange_incomplete:
                reset_on_close(self._socket)
            await self._socket.close()
            self._socket = None


def _join_short_pieces(pieces: list[bytes]) -> list[bytes]:
    """Join pieces that are sent together, unless one is too long to be copied."""
    if any(len(piece) > MAX_COPIED_BYTES for piece in pieces):
        return [piece for piece in pieces if piece]
    joined = b"".join(pieces)
    return [joined] if joined else []
