"""Callers of a soak, each on a kept connection to one entry VM."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from random import Random
from time import monotonic
from typing import Any

from attrs import define
from attrs import field
from curio import TaskTimeout
from curio import sleep
from curio import timeout_after

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.client_connection import ClientConnection
from soak.checks import Checks
from soak.checks import Told
from soak.history import HOST
from soak.history import ONCE
from soak.upstreams import ID
from soak.upstreams import Upstreams

DEADLINE_MS = 2_500
PATIENCE_S = 4.0
CONNECT_S = 1.0
PAUSE_S = (0.08, 0.25)
MAX_BODY_BYTES = 100_000


@define(kw_only=True)
class Caller:
    """Send requests to a VM, one after the other.

    Parameters
    ----------
    vm : str
        The VM.
    endpoint : Endpoint
        Its address.
    life : callable
        Gives the number of the process that runs there.
    checks : Checks
        What judges the answers.
    upstreams : Upstreams
        What knows where requests ran.
    random : Random
        Source of choices.
    pauses : float
        Factor on the pauses.
    """

    vm: str
    endpoint: Endpoint
    life: Callable[[], int]
    checks: Checks
    upstreams: Upstreams
    random: Random
    pauses: float = 1.0
    _connection: Any = field(default=None)

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await sleep(self.random.uniform(*PAUSE_S) * self.pauses)
            if await self._connect():
                await self._send()

    async def _connect(self) -> bool:
        if self._connection is not None and self._connection.is_quiet():
            return True
        await self._close()
        self._connection = ClientConnection(endpoint=self.endpoint)
        started = await self._connection.start(timeout_s=CONNECT_S)
        if started.is_err():
            await self._close()
        return bool(started.is_ok())

    async def _close(self) -> None:
        if self._connection is not None:
            connection, self._connection = self._connection, None
            await connection.close()

    async def _send(self) -> None:
        request = f"{self.random.getrandbits(64):016x}"
        prefix = self.checks.history.draw_prefix(self.random)
        life, sent_at = self.life(), monotonic()
        status = None
        with suppress(TaskTimeout):
            status = await timeout_after(PATIENCE_S, self._exchange, request, prefix)
        told = Told(
            request=request,
            vm=self.vm,
            prefix=prefix,
            life=life if life == self.life() else None,
            sent_at=sent_at,
            ended_at=monotonic(),
            status=status,
            is_lost=status is None,
        )
        if status is None or not self._connection.prepare_reuse():
            await self._close()
        self.checks.take(told, self.upstreams.runs_by_id.pop(request, []))

    async def _exchange(self, request: str, prefix: str) -> int | None:
        connection = self._connection
        headers = [
            (b"host", HOST.encode()),
            (ID, request.encode()),
            (b"x-plankspindle-deadline-ms", str(DEADLINE_MS).encode()),
        ]
        if prefix in ONCE:
            headers.append((b"content-length", b"0"))
        await connection.send_request(
            method="POST" if prefix in ONCE else "GET",
            target=f"{prefix}{request}",
            headers=headers,
        )
        if (await connection.end_request()).is_err():
            return None
        head = await connection.read_head()
        if head.is_err():
            return None
        body = await connection.read_body(max_bytes=MAX_BODY_BYTES)
        return None if body.is_err() else int(head.unwrap().status_code)
