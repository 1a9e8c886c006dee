"""Detects whether an upstream that dropped a request's connection has crashed."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import Factory
from curio import sleep

from plankspindle_core.classes import define
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.quarantine.quarantine import Quarantine
from plankspindle_daemon.quarantine.request_identity import RequestIdentity
from plankspindle_daemon.upstreams.connection_pool import ConnectionPool

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.messages import Assign

CONNECT_TIMEOUT_S = 0.5
"""Timeout of the connection attempt that checks an upstream, in seconds."""
UNNUMBERED_INCARNATION_S = 5.0
"""Length of the time slots that replace unknown incarnation numbers, in seconds.

Crashes of an upstream within one slot count as one.
"""
CONNECTION_CLOSE_WAIT_S = 0.03
"""Time in which the closings of all connections of a process arrive, in seconds."""
MAX_CRASHED_INCARNATIONS = 1_024
"""Number of crashed incarnations that are remembered."""


@define(kw_only=True)
class _LostRequest:
    """A request whose connection was lost, and when, in monotonic seconds."""

    identity: RequestIdentity
    at: float


@define(kw_only=True)
class CrashDetector:
    """Report requests in flight at crashed upstreams to the quarantine.

    Parameters
    ----------
    quarantine : Quarantine
        Decides which requests are quarantined.
    pool : ConnectionPool
        Connections to upstreams.
    supervisor : Supervisor
        Starts tasks.
    send_messages : callable
        Sends messages to other entry VMs.
    reaches_others : callable
        Verifies that this VM reaches other upstreams than the one at an endpoint.

    Notes
    -----
    A connection is also lost for other reasons, such as a reset by the network or a
    response that the upstream aborted. A process that has exited closes all its
    connections, idle ones included, and its port refuses new ones until it is back some
    seconds later. One connection attempt is therefore made if no idle connection is
    left. An attempt without any answer does not indicate a crash caused by a request.
    Nor does a refusal while this VM reaches no upstream: a partition that resets
    connections would look like a crash of many upstreams under the same requests.
    """

    quarantine: Quarantine
    pool: ConnectionPool
    supervisor: Supervisor
    send_messages: Callable[[list[SendToPeer]], Awaitable[None]]
    reaches_others: Callable[[Endpoint], Awaitable[bool]]
    _lost_by_incarnation: dict[str, list[_LostRequest]] = Factory(dict)
    _crashed: OrderedDict[str, None] = Factory(OrderedDict)

    async def handle_connection_loss(
        self, identity: RequestIdentity, assigned: Assign
    ) -> None:
        """Handle the loss of a connection with a request in flight.

        Parameters
        ----------
        identity : RequestIdentity
            The request.
        assigned : Assign
            The upstream that it was sent to.
        """
        incarnation_id = _incarnation_id_of(assigned)
        lost = _LostRequest(identity=identity, at=monotonic())
        if incarnation_id in self._crashed:
            await self._report(incarnation_id, [lost])
        elif incarnation_id in self._lost_by_incarnation:
            self._lost_by_incarnation[incarnation_id].append(lost)
        else:
            self._lost_by_incarnation[incarnation_id] = [lost]
            await self.supervisor.spawn(
                self._start_check, incarnation_id, assigned.endpoint
            )

    async def handle_completion(self, identity: RequestIdentity) -> None:
        """Handle a request that an upstream completed."""
        if self.quarantine.is_active:
            now = monotonic()
            await self.send_messages(
                self.quarantine.record_completion(identity.value, now)
            )

    async def _start_check(self, incarnation_id: str, endpoint: Endpoint) -> None:
        await self.supervisor.contain(self._check, incarnation_id, endpoint)

    async def _check(self, incarnation_id: str, endpoint: Endpoint) -> None:
        try:
            has_crashed = await self._has_crashed(endpoint)
        finally:
            lost = self._lost_by_incarnation.pop(incarnation_id)
        if not has_crashed:
            return
        self._crashed[incarnation_id] = None
        while len(self._crashed) > MAX_CRASHED_INCARNATIONS:
            self._crashed.popitem(last=False)
        await self._report(incarnation_id, lost)

    async def _has_crashed(self, endpoint: Endpoint) -> bool:
        await sleep(CONNECTION_CLOSE_WAIT_S)
        if self.pool.has_live_idle(endpoint):
            return False
        connection = ClientConnection(endpoint=endpoint)
        started = await connection.start(timeout_s=CONNECT_TIMEOUT_S)
        await connection.close()
        failure = started.err()
        if failure is None or not failure.is_refused:
            return False
        return await self.reaches_others(endpoint)

    async def _report(self, incarnation_id: str, lost: list[_LostRequest]) -> None:
        for each in lost:
            identity, now = each.identity, monotonic()
            log_event(
                "upstream_crashed",
                upstream=incarnation_id,
                identity=identity.text,
                method=identity.method,
                path=identity.path,
                caller=identity.caller,
                in_flight=len(lost),
            )
            await self.send_messages(
                self.quarantine.record_crash(
                    identity.value, incarnation_id, at=each.at, now=now
                )
            )


def _incarnation_id_of(assigned: Assign) -> str:
    """Return the name of an upstream's incarnation, the same at all entry VMs."""
    if assigned.incarnation:
        return f"{assigned.upstream}#{assigned.incarnation}"
    return f"{assigned.upstream}@{int(time.time() / UNNUMBERED_INCARNATION_S)}"
