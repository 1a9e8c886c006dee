"""An HTTP/1.1 listener."""

from __future__ import annotations

import socket as stdlib_socket
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import h11
from curio import TaskCancelled
from curio import TaskTimeout
from curio import current_task
from curio import sleep
from curio import socket
from curio import spawn

from plankspindle_core.http.headers import as_header_list
from plankspindle_core.http.headers import find_header
from plankspindle_core.http.memory_budget import HolderPhase
from plankspindle_core.http.memory_budget import MemoryBudget
from plankspindle_core.http.memory_budget import find_worst
from plankspindle_core.http.server_exchange import CallerDisconnectedError
from plankspindle_core.http.server_exchange import CallerShedError
from plankspindle_core.http.server_exchange import ServerExchange
from plankspindle_core.http.socket_options import RECEIVE_BYTES
from plankspindle_core.http.socket_options import reset_on_close
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.time_limit import TimeLimit
from plankspindle_core.time_limit import forget_frames
from plankspindle_core.time_limit import within
from plankspindle_core.turn_limit import TurnLimit

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_core.http.limits import HttpLimits
    from plankspindle_core.http.memory_budget import MemoryHolder

BACKLOG = 512
ACCEPTS_PER_TURN = 8
CLOSE_POLL_S = 0.02
UNREAD_BODY_GRACE_S = 0.5

Handler = Callable[[ServerExchange], Awaitable[None]]


class HttpServer:
    """Accept connections and hand each request to a handler.

    Parameters
    ----------
    endpoint : Endpoint
        Address to listen on.
    limits : HttpLimits
        Limits of the listener.
    handler : callable
        Coroutine function that answers one exchange.
    budget : MemoryBudget, optional
        Memory held for the callers of all listeners; one without a limit if not given.

    Attributes
    ----------
    limits : HttpLimits
        As given; may be replaced, for the connections and requests that follow.
    leaving : bool
        While True, every answer carries ``Connection: close``.
    refused : int
        Requests rejected because they violate the protocol.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        limits: HttpLimits,
        handler: Handler,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.endpoint = endpoint
        self.leaving = False
        self.refused = 0
        self.limits = limits
        self._handler = handler
        self._budget = budget or MemoryBudget()
        self._listener: Any = None
        self._accept_task: Any = None
        self._holder_by_task: dict[Any, MemoryHolder] = {}
        self._busy = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._holder_by_task)

    async def start(self) -> None:
        """Listen and start to accept connections.

        Raises
        ------
        OSError
            If the server cannot bind to the address.
        """
        family = socket.AF_INET6 if ":" in self.endpoint.host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_REUSEADDR, 1)
        listener.bind((self.endpoint.host, self.endpoint.port))
        listener.listen(BACKLOG)
        self._listener = listener
        self._accept_task = await spawn(self._accept, daemon=True)

    async def close(self, *, drain_s: float = 0.0) -> None:
        """Wait for running exchanges, stop accepting, then close all connections.

        Parameters
        ----------
        drain_s : float
            Longest time to wait for running exchanges, in seconds.
        """
        self.leaving = True
        with suppress(TaskTimeout):
            async with TimeLimit(drain_s):
                while self._busy:
                    await sleep(CLOSE_POLL_S)
        if self._accept_task is not None:
            await self._accept_task.cancel()
            await self._listener.close()
            self._accept_task = None
        # All are interrupted before the first is awaited. One after the other, each
        # would take a round of the event loop in which the others go on.
        tasks = list(self._holder_by_task)
        for task in tasks:
            await task.cancel(blocking=False)
        for task in tasks:
            await task.wait()

    async def _accept(self) -> None:
        turn = TurnLimit(steps=ACCEPTS_PER_TURN)
        while True:
            await turn.step()
            try:
                client, address = await self._listener.accept()
            except OSError:
                await sleep(CLOSE_POLL_S)
                continue
            if not await self._has_room() or not _disable_nagle(client):
                await client.close()
                continue
            await spawn(self._serve, client, address[0], daemon=True)
            await sleep(0)

    async def _has_room(self) -> bool:
        """Return whether a connection may be added, if need be for the worst one.

        Idle connections, and those whose requests do not come to their end, must not
        keep other callers out.
        """
        if self.connections < self.limits.max_connections:
            return True
        worst = find_worst(self._holder_by_task.values(), monotonic())
        if worst is None:
            return False
        await worst.shed()
        return True

    async def _serve(self, client: Any, peer_host: str) -> None:
        protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.max_header_bytes
        )
        task = await current_task()
        holder = self._budget.open(partial(_interrupt, task))
        self._holder_by_task[task] = holder
        try:
            while await self._serve_one(protocol, client, peer_host, holder):
                protocol.start_next_cycle()
                await sleep(0)
        except (CallerDisconnectedError, OSError, TaskCancelled) as error:
            forget_frames(error)
            if holder.is_shed and holder.phase is not HolderPhase.WAITING:
                reset_on_close(client)
        finally:
            holder.close()
            await client.close()
            self._holder_by_task.pop(task, None)

    async def _serve_one(
        self,
        protocol: h11.Connection,
        client: Any,
        peer_host: str,
        holder: MemoryHolder,
    ) -> bool:
        buffered_bytes = len(protocol.trailing_data[0])
        await holder.enter(HolderPhase.WAITING, buffered_bytes=buffered_bytes)
        request = await self._read_request(protocol, client, holder)
        if request is None:
            return False
        await holder.enter(HolderPhase.RECEIVING, buffered_bytes=0)
        exchange = ServerExchange(
            method=request.method.decode(),
            target=request.target.decode("latin-1"),
            headers=as_header_list(request.headers),
            peer_host=peer_host,
            limits=self.limits,
            holder=holder,
            closes=self.leaving,
            protocol=protocol,
            socket=client,
        )
        self._busy += 1
        try:
            await self._handler(exchange)
        finally:
            self._busy -= 1
        return await self._may_continue(protocol, exchange)

    async def _may_continue(
        self, protocol: h11.Connection, exchange: ServerExchange
    ) -> bool:
        if protocol.our_state is h11.MUST_CLOSE and not exchange.body_is_read:
            with suppress(TaskTimeout):
                async with TimeLimit(UNREAD_BODY_GRACE_S):
                    while await exchange.read_chunk() is not None:
                        pass
        done = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        return done and not exchange.closes

    async def _read_request(
        self, protocol: h11.Connection, client: Any, holder: MemoryHolder
    ) -> h11.Request | None:
        try:
            event = await self._next_head(protocol, client, holder)
        except TaskTimeout:
            return None
        except h11.RemoteProtocolError as error:
            await self._refuse(protocol, client, error.error_status_hint, str(error))
            return None
        if isinstance(event, h11.Request) and _has_two_framings(event):
            await self._refuse(
                protocol,
                client,
                400,
                "send Content-Length or Transfer-Encoding, not both",
            )
            return None
        if isinstance(event, h11.Request) and self._is_too_long(event):
            await self._refuse(protocol, client, 431, "the head is too long")
            return None
        return event if isinstance(event, h11.Request) else None

    def _is_too_long(self, request: h11.Request) -> bool:
        """Return whether a head that arrived at once passes the limit."""
        return _head_bytes(request) > self.limits.max_header_bytes

    async def _next_head(
        self, protocol: h11.Connection, client: Any, holder: MemoryHolder
    ) -> Any:
        event = protocol.next_event()
        received = len(protocol.trailing_data[0])
        if event is h11.NEED_DATA and not received:
            received = await within(
                self.limits.idle_timeout_s, _receive, protocol, client
            )
            event = protocol.next_event()
        if event is h11.NEED_DATA:
            event = await within(
                self.limits.header_timeout_s,
                self._read_head_remainder,
                protocol,
                client,
                holder,
                received,
            )
        return event

    async def _read_head_remainder(
        self,
        protocol: h11.Connection,
        client: Any,
        holder: MemoryHolder,
        received_bytes: int,
    ) -> Any:
        turn = TurnLimit()
        while (event := protocol.next_event()) is h11.NEED_DATA:
            await turn.step()
            await holder.hold(received_bytes)
            received_bytes += await _receive(protocol, client)
        return event

    async def _refuse(
        self, protocol: h11.Connection, client: Any, status: int, reason: str
    ) -> None:
        self.refused += 1
        if protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = (reason + "\n").encode()
        headers = [
            ("content-length", str(len(body))),
            ("content-type", "text/plain"),
            ("connection", "close"),
        ]
        await client.sendall(
            protocol.send(h11.Response(status_code=status, headers=headers))
            + protocol.send(h11.Data(data=body))
            + protocol.send(h11.EndOfMessage())
        )


def _disable_nagle(client: Any) -> bool:
    """Disable Nagle's algorithm; return False if the connection is already reset."""
    try:
        client.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
    except OSError:
        return False
    return True


async def _receive(protocol: h11.Connection, client: Any) -> int:
    """Pass received bytes to the parser, without keeping them; return their number."""
    received = await client.recv(RECEIVE_BYTES)
    protocol.receive_data(received)
    return len(received)


async def _interrupt(task: Any) -> None:
    """Interrupt the task of a connection at its next wait."""
    error = CallerShedError("callers hold what others need")
    await task.cancel(exc=error, blocking=False)


def _head_bytes(request: h11.Request) -> int:
    """Return the length of the head, with one space after each colon."""
    headers = sum(len(name) + len(value) + 4 for name, value in request.headers)
    return len(request.method) + len(request.target) + headers + len("  HTTP/1.1\r\n")


def _has_two_framings(request: h11.Request) -> bool:
    headers = as_header_list(request.headers)
    length = find_header(headers, b"content-length")
    return length is not None and find_header(headers, b"transfer-encoding") is not None
