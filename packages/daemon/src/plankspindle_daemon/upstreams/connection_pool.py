"""Kept-alive connections to upstreams."""

from __future__ import annotations

from attrs import field
from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import define
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.http.errors import ConnectFailed
from plankspindle_core.steady_clock import monotonic

MAX_IDLE_PER_ENDPOINT = 32
"""Idle connections kept to one endpoint; more are not used at once by one entry VM.

Requests that must not repeat open new ones, which are kept after them: without this
bound each endpoint came to hold ``max_per_endpoint``.
"""


@define(kw_only=True)
class ConnectionPool:
    """Idle and used connections by endpoint.

    Parameters
    ----------
    max_per_endpoint : int
        Open connections to one endpoint, idle and used.
    connect_timeout_s : float
        Longest wait for a new connection, in seconds.
    """

    max_per_endpoint: int
    connect_timeout_s: float
    opened: int = 0
    reused: int = 0
    found_dirty: int = 0
    _idle_by_endpoint: dict[Endpoint, list[ClientConnection]] = field(factory=dict)
    _open_by_endpoint: dict[Endpoint, int] = field(factory=dict)

    @property
    def open_connections(self) -> int:
        """Connections open at the moment."""
        return sum(self._open_by_endpoint.values())

    async def acquire(
        self, endpoint: Endpoint, *, max_idle_s: float
    ) -> Result[ClientConnection, ConnectFailed]:
        """Get a connection on which nothing of the present request was sent.

        Parameters
        ----------
        endpoint : Endpoint
            Where to.
        max_idle_s : float
            Longest rest of a connection that is taken again, in seconds; zero takes
            only new ones.

        Returns
        -------
        Result
            The connection, or why there is none.
        """
        idle = self._idle_by_endpoint.get(endpoint, [])
        while idle and monotonic() - idle[-1].released_at < max_idle_s:
            connection = idle.pop()
            if connection.is_quiet():
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
                return Err(ConnectFailed("the limit of connections is reached"))
            await self.discard(idle.pop(0))
        connection = ClientConnection(endpoint=endpoint)
        self._count(endpoint, 1)
        try:
            started = await connection.start(timeout_s=self.connect_timeout_s)
        except BaseException:
            await self.discard(connection)
            raise
        if started.is_err():
            self._count(endpoint, -1)
            return Err(started.unwrap_err())
        self.opened += 1
        return Ok(connection)

    async def release(self, connection: ClientConnection) -> None:
        """Keep a connection for another request if it is clean, or close it."""
        if not connection.prepare_reuse():
            await self.discard(connection)
            return
        connection.released_at = monotonic()
        idle = self._idle_by_endpoint.setdefault(connection.endpoint, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ENDPOINT:
            await self.discard(idle.pop(0))

    async def discard(self, connection: ClientConnection) -> None:
        """Close a connection, which cancels what runs on it."""
        self._count(connection.endpoint, -1)
        await connection.close()

    def has_live_idle(self, endpoint: Endpoint) -> bool:
        """Tell whether an idle connection to an endpoint is still open."""
        idle = self._idle_by_endpoint.get(endpoint, [])
        return any(connection.is_quiet() for connection in idle)

    async def discard_stale(self) -> None:
        """Close idle connections that the other side has closed or written to."""
        for endpoint, idle in list(self._idle_by_endpoint.items()):
            quiet, stale = _split_by_quiet(idle)
            # Taken out before the first await: another task may acquire meanwhile.
            idle[:] = quiet
            if not idle:
                self._idle_by_endpoint.pop(endpoint, None)
            for connection in stale:
                await self.discard(connection)

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_endpoint.values():
            while idle:
                await self.discard(idle.pop())

    def _count(self, endpoint: Endpoint, change: int) -> None:
        present = self._open_by_endpoint.get(endpoint, 0) + change
        if present > 0:
            self._open_by_endpoint[endpoint] = present
        else:
            self._open_by_endpoint.pop(endpoint, None)


def _split_by_quiet(
    idle: list[ClientConnection],
) -> tuple[list[ClientConnection], list[ClientConnection]]:
    quiet: list[ClientConnection] = []
    stale: list[ClientConnection] = []
    for connection in idle:
        (quiet if connection.is_quiet() else stale).append(connection)
    return quiet, stale
