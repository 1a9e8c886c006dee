"""TCP proxy that can delay, throttle, hold, reset or blackhole connections."""

from __future__ import annotations

import socket as stdlib_socket
from enum import Enum
from typing import Any

from attrs import define
from attrs import field
from curio import TaskGroup
from curio import sleep
from curio import socket
from curio import spawn

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.socket_options import reset_on_close

CHUNK_BYTES = 16_384
HELD_POLL_S = 0.05


class LinkState(Enum):
    """Treatment of the bytes on a link."""

    PASSES = "passes"
    DELAYS = "delays"
    THROTTLES = "throttles"
    HOLDS_REQUESTS = "holds-requests"
    HOLDS_ANSWERS = "holds-answers"
    RESETS = "resets"


DELAY_S = 0.3
THROTTLED_BYTES_PER_S = 20_000.0


@define(kw_only=True)
class LinkProxy:
    """Forward bytes between clients and a target.

    Parameters
    ----------
    endpoint : Endpoint
        Address to listen on.
    target : Endpoint
        Address to forward to.

    Attributes
    ----------
    state : LinkState
        Current treatment of bytes.
    disturbed_at : float
        Last time in a state other than ``PASSES``, seconds since the soak began.
    """

    endpoint: Endpoint
    target: Endpoint
    state: LinkState = LinkState.PASSES
    disturbed_at: float = float("-inf")
    _blackholed: set[int] = field(factory=set)
    _pairs: dict[int, tuple[Any, Any]] = field(factory=dict)
    _count: int = 0
    _task: Any = None
    _listener: Any = None

    async def start(self) -> None:
        """Start listening."""
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((self.endpoint.host, self.endpoint.port))
        self._listener.listen(128)
        self._task = await spawn(self._accept, daemon=True)

    async def close(self) -> None:
        """Stop listening and reset open connections."""
        if self._task is not None:
            await self._task.cancel()
            await self._listener.close()
            self.reset_open()

    def blackhole_open(self) -> None:
        """Permanently stop forwarding on the connections that are open now."""
        self._blackholed |= set(self._pairs)

    def reset_open(self) -> None:
        """Reset the connections that are open now."""
        for client, server in self._pairs.values():
            for end in (client, server):
                _reset(end)

    async def _accept(self) -> None:
        while True:
            client, _ = await self._listener.accept()
            await spawn(self._serve, client, daemon=True)

    async def _serve(self, client: Any) -> None:
        self._count += 1
        number = self._count
        server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._pairs[number] = (client, server)
        try:
            await server.connect((self.target.host, self.target.port))
            async with TaskGroup(wait=any) as group:
                await group.spawn(self._pump, number, client, server, False)
                await group.spawn(self._pump, number, server, client, True)
        except OSError:
            _reset(client)
        finally:
            del self._pairs[number]
            self._blackholed.discard(number)
            await client.close()
            await server.close()

    async def _pump(self, number: int, source: Any, sink: Any, answers: bool) -> None:
        try:
            while data := await source.recv(CHUNK_BYTES):
                while self._is_held(number, answers=answers):
                    await sleep(HELD_POLL_S)
                await self._delay(len(data))
                if self.state is LinkState.RESETS:
                    _reset(source)
                    _reset(sink)
                    return
                await sink.sendall(data)
        except OSError:
            _reset(sink)

    def _is_held(self, number: int, *, answers: bool) -> bool:
        if number in self._blackholed:
            return True
        holding_state = LinkState.HOLDS_ANSWERS if answers else LinkState.HOLDS_REQUESTS
        return self.state is holding_state

    async def _delay(self, size: int) -> None:
        if self.state is LinkState.DELAYS:
            await sleep(DELAY_S)
        elif self.state is LinkState.THROTTLES:
            await sleep(size / THROTTLED_BYTES_PER_S)


def _reset(end: Any) -> None:
    """Shut a socket down so that its close sends a TCP reset."""
    try:
        reset_on_close(end._socket)
        end._socket.shutdown(stdlib_socket.SHUT_RDWR)
    except (OSError, AttributeError):
        return
