"""Keep-alive connections to upstreams."""

from __future__ import annotations

import sys

from attrs import field
from curio import sleep
from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import define
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.http.errors import ConnectFailed
from plankspindle_core.steady_clock import monotonic

STALE_CHECK_PERIOD_S = 5.0
"""Period of closing stale connections, in seconds."""
MAX_IDLE_PER_ENDPOINT = 32
"""Idle connections kept per endpoint; one entry VM does not use more at once.

Requests that must not be repeated open new connections, which are kept afterwards.
Without this limit each endpoint ended up with ``max_per_endpoint`` connections.
"""


@define(kw_only=True)
class ConnectionPool:
    """Idle and active connections by endpoint.

    Parameters
    ----------
    max_per_endpoint : int
        Maximum of open connections to one endpoint, idle and active.
    connect_timeout_s : float
        Maximum time to establish a connection, in seconds.
    max_connections : int
        Maximum of open connections to all endpoints, idle and active.
    """

    max_per_endpoint: int
    connect_timeout_s: float
    max_connections: int = sys.maxsize
    opened: int = 0
    reused: int = 0
    found_dirty: int = 0
    _idle_by_endpoint: dict[Endpoint, list[ClientConnection]] = field(factory=dict)
    _open_by_endpoint: dict[Endpoint, int] = field(factory=dict)

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return sum(self._open_by_endpoint.values())

    async def acquire(
        self, endpoint: Endpoint, *, max_idle_s: float
    ) -> Result[ClientConnection, ConnectFailed]:
        """Return a connection on which nothing of the current request was sent.

        Parameters
        ----------
        endpoint : Endpoint
            Where to connect.
        max_idle_s : float
            Maximum idle time of a connection that is reused, in seconds; zero always
            opens a new one.

        Returns
        -------
        Result
            The connection, or the reason why there is none.
        """
        idle = self._idle_by_endpoint.get(endpoint, [])
        while idle and monotonic() - idle[-1].released_at < max_idle_s:
            connection = idle.pop()
            if connection.is_idle():
                self.reused += 1
                return Ok(connection)
            self.found_dirty += 1
            await self.discard(connection)
        return await self._open(endpoint, idle)

    async def _open(
        self, endpoint: Endpoint, idle: list[ClientConnection]
    ) -> Result[ClientConnection, ConnectFailed]:
        if self._open_by_endpoint.get(endpoint, 0) >= self.max_per_endpoint:
            if not idle:
                return Err(
                    ConnectFailed(
                        "connection limit of the endpoint is reached",
                        was_attempted=False,
                    )
                )
            await self.discard(idle.pop(0))
        elif not await self._has_room():
            return Err(
                ConnectFailed(
                    "connection limit of the process is reached", was_attempted=False
                )
            )
        connection = ClientConnection(endpoint=endpoint)
        self._change_open_count(endpoint, 1)
        try:
            started = await connection.start(timeout_s=self.connect_timeout_s)
        except BaseException:
            await self.discard(connection)
            raise
        if started.is_err():
            self._change_open_count(endpoint, -1)
            return Err(started.unwrap_err())
        self.opened += 1
        return Ok(connection)

    async def _has_room(self) -> bool:
        """Return whether a connection may be added, if need be for the longest idle."""
        if self.open_connections < self.max_connections:
            return True
        idle_lists = [each for each in self._idle_by_endpoint.values() if each]
        if not idle_lists:
            return False
        longest = min(idle_lists, key=lambda each: each[0].released_at)
        await self.discard(longest.pop(0))
        return True

    async def release(self, connection: ClientConnection) -> None:
        """Keep a connection for reuse if it is clean; otherwise close it."""
        if not connection.prepare_reuse():
            await self.discard(connection)
            return
        connection.released_at = monotonic()
        idle = self._idle_by_endpoint.setdefault(connection.endpoint, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ENDPOINT:
            await self.discard(idle.pop(0))

    async def discard(self, connection: ClientConnection) -> None:
        """Close a connection, which cancels the exchange on it."""
        self._change_open_count(connection.endpoint, -1)
        await connection.close()

    def has_live_idle(self, endpoint: Endpoint) -> bool:
        """Return whether an idle connection to an endpoint is still open."""
        idle = self._idle_by_endpoint.get(endpoint, [])
        return any(connection.is_idle() for connection in idle)

    async def run(self) -> None:
        """Close stale connections until the task is cancelled."""
        while True:
            await sleep(STALE_CHECK_PERIOD_S)
            await self.discard_stale()

    async def discard_stale(self) -> None:
        """Close idle connections that the peer has closed or written to."""
        for endpoint, idle in list(self._idle_by_endpoint.items()):
            live, stale = _split_by_state(idle)
            # Stale ones are removed before the first await, as others may acquire then.
            idle[:] = live
            if not idle:
                self._idle_by_endpoint.pop(endpoint, None)
            for connection in stale:
                await self.discard(connection)

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_endpoint.values():
            while idle:
                await self.discard(idle.pop())

    def _change_open_count(self, endpoint: Endpoint, change: int) -> None:
        open_count = self._open_by_endpoint.get(endpoint, 0) + change
        if open_count > 0:
            self._open_by_endpoint[endpoint] = open_count
        else:
            self._open_by_endpoint.pop(endpoint, None)


def _split_by_state(
    idle: list[ClientConnection],
) -> tuple[list[ClientConnection], list[ClientConnection]]:
    live: list[ClientConnection] = []
    stale: list[ClientConnection] = []
    for connection in idle:
        (live if connection.is_idle() else stale).append(connection)
    return live, stale
