"""The server side of one HTTP/1.1 exchange."""

from __future__ import annotations

from typing import Any

import h11
from attrs import field
from curio import TaskTimeout
from curio import current_task
from curio import spawn

from plankspindle_core.classes import define
from plankspindle_core.http.disconnect_monitor import DisconnectMonitor
from plankspindle_core.http.headers import HeaderList
from plankspindle_core.http.limits import HttpLimits
from plankspindle_core.http.memory_budget import HolderPhase
from plankspindle_core.http.memory_budget import MemoryHolder
from plankspindle_core.http.socket_options import RECEIVE_BYTES
from plankspindle_core.http.socket_options import is_closed_by_peer
from plankspindle_core.http.socket_options import reset_on_close
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.time_limit import within
from plankspindle_core.turn_limit import TurnLimit

MIN_PART_BYTES = 4_096
"""Chunks below this length are joined with those that have arrived behind them."""
COUNTED_STEP_BYTES = 8_192
"""Growth of a buffered body after which it is counted again."""
_CLOSED = "the caller closed the connection"


class CallerDisconnectedError(Exception):
    """The caller disconnected before its answer was complete."""


class CallerShedError(CallerDisconnectedError):
    """The caller is given up for others, which need what it holds."""


@define(kw_only=True, eq=False)
class ServerExchange:
    """One request of a caller and its answer.

    Parameters
    ----------
    method, target : str
        Request line.
    headers : list of (bytes, bytes)
        Headers with lower-case names.
    peer_host : str
        IP address of the caller.
    limits : HttpLimits
        Limits of the listener.
    holder : MemoryHolder
        Memory that is held for the connection.
    closes : bool
        Whether the connection is closed after the answer.
    head_sent : bool
        Whether the head of the answer was buffered or sent.
    """

    method: str
    target: str
    headers: HeaderList
    peer_host: str
    limits: HttpLimits
    closes: bool = False
    head_sent: bool = False
    _holder: MemoryHolder = field(alias="holder")
    _protocol: h11.Connection = field(alias="protocol")
    _socket: Any = field(alias="socket")
    _body_read: bool = False
    _end_received: bool = False
    _unsent: bytes = b""
    _turn: TurnLimit = field(factory=TurnLimit)

    async def read_chunk(self) -> bytes | None:
        """Read the next part of the request body.

        Returns
        -------
        bytes or None
            What has arrived, up to some 64 KiB, however small the chunks are that the
            caller sent it in; None once the body is complete.

        Raises
        ------
        CallerDisconnectedError
            If the caller disconnected, sent nothing until the timeout or violated the
            protocol.
        """
        if self._body_read:
            return None
        event = None if self._end_received else await self._next_event()
        if not isinstance(event, h11.Data):
            self._body_read = True
            return None
        self._record_progress()
        if len(event.data) >= MIN_PART_BYTES:
            return bytes(event.data)
        return await self._join_received(event.data)

    async def _join_received(self, first: bytes) -> bytes:
        """Join a short chunk with those that have arrived behind it."""
        part = bytearray(first)
        while len(part) < RECEIVE_BYTES:
            await self._turn.step()
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise CallerDisconnectedError(str(error)) from error
            if not isinstance(event, h11.Data):
                self._end_received = isinstance(event, h11.EndOfMessage)
                break
            part += event.data
        return bytes(part)

    def _record_progress(self) -> None:
        """Record that a body moves on, which is passed on and not collected."""
        if self._holder.phase is HolderPhase.STREAMING:
            self._holder.record_progress()

    async def read_body(self, *, max_bytes: int) -> bytes | None:
        """Read the complete request body.

        Parameters
        ----------
        max_bytes : int
            Longest body to accept.

        Returns
        -------
        bytes or None
            The body, or None if it is longer.

        Raises
        ------
        CallerDisconnectedError, CallerShedError
            As :meth:`read_beginning`.
        """
        body = await self.read_beginning(max_bytes=max_bytes)
        return body if len(body) <= max_bytes else None

    async def read_beginning(self, *, max_bytes: int) -> bytes:
        """Read the request body to its end, or a little past a number of bytes.

        Parameters
        ----------
        max_bytes : int
            Length that ends the reading if the body is longer.

        Returns
        -------
        bytes
            The complete body; if it is longer than ``max_bytes``, its beginning.

        Raises
        ------
        CallerDisconnectedError
            As :meth:`read_chunk`.
        CallerShedError
            If the memory held for this caller is needed for others.

        Notes
        -----
        Chunks are joined as they come: a body in tiny chunks takes no more memory than
        its bytes.
        """
        body = bytearray()
        try:
            counted = 0
            while len(body) <= max_bytes and await self._append_chunk(body):
                if len(body) - counted >= COUNTED_STEP_BYTES:
                    counted = len(body)
                    await self._holder.hold(counted)
        except CallerShedError:
            body.clear()
            self._holder.close()
            raise
        return bytes(body)

    async def _append_chunk(self, body: bytearray) -> bool:
        """Append the next chunk to a body; return False at its end."""
        chunk = await self.read_chunk()
        if chunk is None:
            return False
        body += chunk
        return True

    async def begin_running(self) -> None:
        """Count the request as running, whose memory is not taken for others.

        Raises
        ------
        CallerShedError
            If there is no memory for it. The request has not run then.
        """
        await self._holder.enter(HolderPhase.RUNNING)

    async def begin_streaming(self, *, buffered_bytes: int | None = None) -> None:
        """Count the request as passing on a body, interrupted if it stalls too long.

        Parameters
        ----------
        buffered_bytes : int, optional
            Bytes that are still buffered; as many as before if not given.

        Raises
        ------
        CallerShedError
            If there is no memory for it.
        """
        await self._holder.enter(HolderPhase.STREAMING, buffered_bytes=buffered_bytes)

    @property
    def stalled_s(self) -> float:
        """Seconds since a streamed body last moved on."""
        return self._holder.stalled_s(monotonic())

    async def shed(self) -> None:
        """Give up the caller for others, unless its request may be running."""
        await self._holder.shed()

    async def _next_event(self) -> Any:
        try:
            if self._protocol.they_are_waiting_for_100_continue:
                await self._send(h11.InformationalResponse(status_code=100, headers=[]))
            await self._turn.step()
            while (event := self._protocol.next_event()) is h11.NEED_DATA:
                await self._turn.step()
                self._protocol.receive_data(
                    await within(
                        self.limits.body_timeout_s, self._socket.recv, RECEIVE_BYTES
                    )
                )
        except (OSError, h11.RemoteProtocolError, TaskTimeout) as error:
            raise CallerDisconnectedError(str(error)) from error
        if not isinstance(event, h11.Data | h11.EndOfMessage):
            raise CallerDisconnectedError(f"unexpected {event!r}")
        return event

    async def send_head(self, *, status: int, headers: HeaderList) -> None:
        """Buffer the head of the answer; it is sent together with the next data.

        Parameters
        ----------
        status : int
            Status code.
        headers : list of (bytes, bytes)
            Headers, including the framing of the body.

        Raises
        ------
        CallerDisconnectedError
            If the head cannot be sent in the present state of the exchange.
        """
        if self.closes or not self._body_read:
            headers = [*headers, (b"connection", b"close")]
        try:
            response = h11.Response(status_code=status, headers=headers)
        except h11.LocalProtocolError as error:
            raise CallerDisconnectedError(str(error)) from error
        self._unsent += self._encode(response)
        self.head_sent = True

    async def send_data(self, data: bytes) -> None:
        """Send a chunk of the answer's body and wait until the socket accepts it."""
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """End the answer."""
        await self._send(h11.EndOfMessage())

    def _encode(self, event: Any) -> bytes:
        try:
            return self._protocol.send(event) or b""
        except h11.LocalProtocolError as error:
            raise CallerDisconnectedError(str(error)) from error

    async def _send(self, event: Any) -> None:
        encoded = self._unsent + self._encode(event)
        self._unsent = b""
        if not encoded:
            return
        try:
            await within(self.limits.body_timeout_s, self._socket.sendall, encoded)
        except (OSError, TaskTimeout) as error:
            raise CallerDisconnectedError(str(error)) from error
        self._record_progress()

    async def answer(
        self, *, status: int, headers: HeaderList | None = None, body: bytes = b""
    ) -> None:
        """Send a complete answer."""
        framing = (b"content-length", str(len(body)).encode())
        await self.send_head(status=status, headers=[*(headers or []), framing])
        if body and self.method != "HEAD":
            await self.send_data(body)
        await self.finish()

    def abort(self) -> None:
        """Make the next close a reset, so that the caller sees an incomplete answer.

        Notes
        -----
        An answer without a declared length would otherwise seem complete when its
        connection is closed, RFC 9112 section 8.
        """
        self.closes = True
        reset_on_close(self._socket)

    @property
    def answer_is_complete(self) -> bool:
        """Whether the complete answer was written to the socket."""
        return self._protocol.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    @property
    def body_is_read(self) -> bool:
        """Whether the complete request body was read."""
        return self._body_read

    async def monitor_caller(self) -> Any:
        """Start a task that interrupts the calling task if the caller disconnects.

        The calling task then raises :class:`CallerDisconnectedError`.

        Returns
        -------
        Task
            Must be cancelled when the answer is complete.

        Raises
        ------
        CallerDisconnectedError
            If the caller has disconnected already, as it may have before a process
            that lags read its request.

        Notes
        -----
        The body may still be unread. If too many bytes follow the request, the
        connection is closed after the answer.
        """
        self.check_connected()
        return await spawn(self._monitor, await current_task(), daemon=True)

    async def _monitor(self, owner: Any) -> None:
        monitor = DisconnectMonitor(
            exchange=self,
            protocol=self._protocol,
            socket=self._socket,
            holder=self._holder,
        )
        await monitor.wait()
        self.closes = True
        await owner.cancel(exc=CallerDisconnectedError(_CLOSED), blocking=False)

    def check_connected(self) -> None:
        """Check that the caller has not left.

        Raises
        ------
        CallerDisconnectedError
            If the caller's side of the connection is closed.

        Notes
        -----
        The task of :meth:`monitor_caller` may not have run since the caller left.
        """
        if is_closed_by_peer(self._socket):
            self.closes = True
            raise CallerDisconnectedError(_CLOSED)
