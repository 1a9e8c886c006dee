"""Finds out whether an upstream that broke a request off has ended."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import Factory
from curio import sleep

from plankspindle_core.classes import define
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.quarantine.quarantine import Quarantine
from plankspindle_daemon.quarantine.request_identity import RequestIdentity
from plankspindle_daemon.upstreams.connection_pool import ConnectionPool

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.dispatch.messages import Assign

CONNECT_TIMEOUT_S = 0.5
"""Longest wait for a connection to an upstream that broke a request off, in seconds."""
UNNUMBERED_INCARNATION_S = 5.0
"""Time in which an upstream whose lives nobody numbers ends once, in seconds."""
CONNECTION_CLOSE_WAIT_S = 0.03
"""Time in which the ends of all connections of a process arrive, in seconds."""
MAX_CRASHED_INCARNATIONS = 1_024
"""Lives that are known to have ended."""


@define(kw_only=True)
class _LostRequest:
    """A request whose connection was lost, and when, in monotonic seconds."""

    identity: RequestIdentity
    at: float


@define(kw_only=True)
class CrashDetector:
    """Tell the quarantine of requests that were in flight where an upstream ended.

    Parameters
    ----------
    quarantine : Quarantine
        The decisions.
    pool : ConnectionPool
        Connections to upstreams.
    supervisor : Supervisor
        Starter of tasks.
    send_messages : callable
        Sends messages to other entry VMs.

    Notes
    -----
    A connection is lost for other reasons, too: a reset on the way, an answer that the
    upstream broke off. A process that has ended closes its connections, the resting
    ones as well, and its port refuses new ones until it is back after some seconds. So
    one connection is tried where no resting one is left; a machine that says nothing
    is none that a request has crashed.
    """

    quarantine: Quarantine
    pool: ConnectionPool
    supervisor: Supervisor
    send_messages: Callable[[list[SendToPeer]], Awaitable[None]]
    _lost_by_incarnation: dict[str, list[_LostRequest]] = Factory(dict)
    _crashed: OrderedDict[str, None] = Factory(OrderedDict)

    async def handle_connection_loss(
        self, identity: RequestIdentity, assigned: Assign
    ) -> None:
        """Take the loss of a connection with a request in flight.

        Parameters
        ----------
        identity : RequestIdentity
            The request.
        assigned : Assign
            Where it was.
        """
        life = _incarnation_id_of(assigned)
        lost = _LostRequest(identity=identity, at=monotonic())
        if life in self._crashed:
            await self._report(life, [lost])
        elif life in self._lost_by_incarnation:
            self._lost_by_incarnation[life].append(lost)
        else:
            self._lost_by_incarnation[life] = [lost]
            await self.supervisor.spawn(self._start_check, life, assigned.endpoint)

    async def handle_completion(self, identity: RequestIdentity) -> None:
        """Take that an upstream ran a request to its end."""
        if self.quarantine.is_active:
            now = monotonic()
            await self.send_messages(
                self.quarantine.record_completion(identity.value, now)
            )

    async def _start_check(self, life: str, endpoint: Endpoint) -> None:
        await self.supervisor.contain(self._check, life, endpoint)

    async def _check(self, life: str, endpoint: Endpoint) -> None:
        try:
            has_ended = await self._has_crashed(endpoint)
        finally:
            lost = self._lost_by_incarnation.pop(life)
        if not has_ended:
            return
        self._crashed[life] = None
        while len(self._crashed) > MAX_CRASHED_INCARNATIONS:
            self._crashed.popitem(last=False)
        await self._report(life, lost)

    async def _has_crashed(self, endpoint: Endpoint) -> bool:
        await sleep(CONNECTION_CLOSE_WAIT_S)
        if self.pool.has_live_idle(endpoint):
            return False
        connection = ClientConnection(endpoint=endpoint)
        started = await connection.start(timeout_s=CONNECT_TIMEOUT_S)
        await connection.close()
        failure = started.err()
        return failure is not None and failure.is_refused

    async def _report(self, life: str, lost: list[_LostRequest]) -> None:
        for each in lost:
            identity, now = each.identity, monotonic()
            log_event(
                "upstream_crashed",
                upstream=life,
                identity=identity.text,
                method=identity.method,
                path=identity.path,
                caller=identity.caller,
                in_flight=len(lost),
            )
            await self.send_messages(
                self.quarantine.record_crash(identity.value, life, at=each.at, now=now)
            )


def _incarnation_id_of(assigned: Assign) -> str:
    """Name the life of an upstream, at all entry VMs alike."""
    if assigned.incarnation:
        return f"{assigned.upstream}#{assigned.incarnation}"
    return f"{assigned.upstream}@{int(time.time() / UNNUMBERED_INCARNATION_S)}"
