"""Callers of a soak, each with a persistent connection to one entry VM."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Any

from attrs import define
from attrs import field
from curio import TaskTimeout
from curio import sleep
from curio import timeout_after

from plankspindle_core import header_names
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.http.headers import find_header
from plankspindle_core.steady_clock import monotonic
from plankspindle_platform.dialect import DIALECT
from soak.checks import Checks
from soak.checks import ObservedRequest
from soak.history import CREDENTIALS
from soak.history import HOST
from soak.history import RUN_ONCE_PREFIXES
from soak.upstreams import ID
from soak.upstreams import Upstreams

KEY_COOKIE = DIALECT.affinity_cookie
DEADLINE_MS = 2_500
ANSWER_TIMEOUT_S = 4.0
CONNECT_TIMEOUT_S = 1.0
KEYED_SHARE = 0.75
"""Keys spread requests over all upstreams; without them low load uses only a few."""
SURPLUS_AFTER_ANSWER = "bytes came after an answer"
PAUSE_S = (0.08, 0.25)
MAX_BODY_BYTES = 100_000


@define(kw_only=True)
class Caller:
    """Send requests to a VM, one after the other.

    Parameters
    ----------
    vm : str
        Name of the VM.
    endpoint : Endpoint
        Address of the VM.
    incarnation : callable
        Returns the number of the process that runs on a VM.
    checks : Checks
        Gets the observed requests.
    upstreams : Upstreams
        The upstreams, with the executions of requests.
    random : Random
        Source of random choices.
    pause_factor : float
        Factor on the pauses between requests.
    keyed_share : float
        Share of the requests that have an affinity key.
    keys : int
        Number of affinity keys of its VM; 0 for a new one for each request.
    """

    vm: str
    endpoint: Endpoint
    incarnation: Callable[[str], int]
    checks: Checks
    upstreams: Upstreams
    random: Random
    pause_factor: float = 1.0
    keyed_share: float = KEYED_SHARE
    keys: int = 0
    _connection: Any = field(default=None)
    _surplus: str = ""
    _served_by: str = ""

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await sleep(self.random.uniform(*PAUSE_S) * self.pause_factor)
            if await self._connect():
                await self._send()

    async def _connect(self) -> bool:
        if self._connection is not None and self._connection.is_idle():
            return True
        if self._connection is not None and _has_bytes(self._connection):
            self._surplus = SURPLUS_AFTER_ANSWER
        await self._close()
        self._connection = ClientConnection(endpoint=self.endpoint)
        started = await self._connection.start(timeout_s=CONNECT_TIMEOUT_S)
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
        has_key = self.random.random() < self.keyed_share
        key = request if has_key else ""
        if has_key and self.keys:
            key = f"{self.vm}-{self.random.randrange(self.keys)}"
        incarnation, sent_at = self.incarnation(self.vm), monotonic()
        status, surplus, self._surplus = None, self._surplus, ""
        self._served_by = ""
        with suppress(TaskTimeout):
            status = await timeout_after(
                ANSWER_TIMEOUT_S, self._exchange, request, prefix, key
            )
        ended_at = monotonic()
        if status is None or not self._connection.prepare_reuse():
            if status is not None and _has_bytes(self._connection):
                self._surplus = SURPLUS_AFTER_ANSWER
            await self._close()
        observed = ObservedRequest(
            request=request,
            vm=self.vm,
            prefix=prefix,
            incarnation=None
            if incarnation != self.incarnation(self.vm)
            else incarnation,
            sent_at=sent_at,
            ended_at=ended_at,
            status=status,
            is_lost=status is None,
            key=key,
            surplus=surplus or self._surplus,
            served_by=self._served_by,
            sender_incarnation=self.incarnation(self._served_by or self.vm),
        )
        self._surplus = ""
        self.checks.record_request(
            observed, self.upstreams.runs_by_id.setdefault(request, [])
        )

    async def _exchange(self, request: str, prefix: str, key: str) -> int | None:
        connection = self._connection
        headers = [
            (b"host", HOST.encode()),
            (ID, request.encode()),
            CREDENTIALS,
            (DIALECT.workspace, b"forged"),
            (b"x-plankspindle-deadline-ms", str(DEADLINE_MS).encode()),
        ]
        if key:
            headers.append((b"cookie", f"{KEY_COOKIE}={key}".encode()))
        if prefix in RUN_ONCE_PREFIXES:
            headers.append((b"content-length", b"0"))
        await connection.send_request(
            method="POST" if prefix in RUN_ONCE_PREFIXES else "GET",
            target=f"{prefix}{request}",
            headers=headers,
        )
        if (await connection.end_request()).is_err():
            return None
        head = await connection.read_head()
        if head.is_err():
            return None
        served_by = find_header(head.unwrap().headers, header_names.SERVED_BY) or b""
        self._served_by = served_by.decode().partition("/")[0]
        answered = find_header(head.unwrap().headers, ID) or request.encode()
        if answered != request.encode():
            self._surplus = f"the answer to {answered.decode()}"
        body = await connection.read_body(max_bytes=MAX_BODY_BYTES)
        return None if body.is_err() else int(head.unwrap().status_code)


def _has_bytes(connection: ClientConnection) -> bool:
    """Return whether an idle connection has received data, not only its close."""
    if connection._protocol.trailing_data[0]:
        return True
    with suppress(OSError):
        peeked: bytes = connection._socket._socket.recv(1, socket.MSG_PEEK)
        return bool(peeked)
    return False
