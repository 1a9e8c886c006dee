"""HTTP server of the upstream stand-in."""

from __future__ import annotations

import json
import os
import time
from collections import Counter
from typing import TYPE_CHECKING

from attrs import define
from attrs import field
from curio import sleep

from plankspindle_core import header_names
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.headers import find_header
from plankspindle_core.http.limits import HttpLimits
from plankspindle_core.http.server import HttpServer
from plankspindle_core.http.server_exchange import CallerDisconnectedError
from plankspindle_testkit.upstream_stand_in.behaviour import Behaviour
from plankspindle_testkit.upstream_stand_in.behaviour import Mode

if TYPE_CHECKING:
    from plankspindle_core.http.headers import HeaderList
    from plankspindle_core.http.server_exchange import ServerExchange

MAX_BODY_BYTES = 64 * 1024 * 1024
BYTES_PREFIX = "/bytes/"
TRUNCATED_LENGTH = b"1000"
CHUNK = b"x" * 65_536
MARK_HEADER = b"x-run"
CRASH_EXIT_STATUS = 70
"""Exit status of a process that a request ends."""
WORK_MS_HEADER = b"x-work-ms"
"""Header with the duration of this request, in ms, in place of ``service_ms``."""


@define(kw_only=True)
class UpstreamStandIn:
    """Serve requests in a limited number of slots, and shed the rest.

    Parameters
    ----------
    endpoint : Endpoint
        Address to listen on.
    name : str
        Name of the upstream, which every answer carries.
    slots : int
        Requests that may run at once.

    Attributes
    ----------
    runs_by_mark : Counter of str
        Number of executions by the value of the ``x-run`` header of requests.
    max_in_flight : int
        Most requests that ran at once.
    """

    endpoint: Endpoint
    name: str
    slots: int
    behaviour: Behaviour = field(factory=Behaviour)
    in_flight: int = 0
    max_in_flight: int = 0
    runs_by_mark: Counter[str] = field(factory=Counter)
    shed: int = 0
    cancelled: int = 0
    refused_late: int = 0
    served: int = 0
    _server: HttpServer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._server = HttpServer(
            endpoint=self.endpoint, limits=HttpLimits(), handler=self._handle
        )

    async def start(self) -> None:
        """Start to listen."""
        await self._server.start()

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def _handle(self, source: ServerExchange) -> None:
        body = await source.read_body(max_bytes=MAX_BODY_BYTES) or b""
        path = source.target.partition("?")[0]
        if path == "/load":
            await source.answer(status=200, body=json.dumps(self._report()).encode())
        elif path == "/runs":
            await source.answer(status=200, body=json.dumps(self.runs_by_mark).encode())
        elif path == "/control":
            await self._control(source, body)
        elif self._sheds(source):
            shed = [(header_names.SHED, b"1")]
            await source.answer(status=503, headers=shed, body=b"shed\n")
        else:
            await self._run(source, path, body)

    def _report(self) -> dict[str, object]:
        idle = self.behaviour.claims_idle
        return {
            "in_flight": 0 if idle else self.in_flight,
            "slots": self.slots,
            "leaving": self.behaviour.leaving,
            "leaves_at": self.behaviour.leaves_at,
        }

    def _sheds(self, source: ServerExchange) -> bool:
        if self.behaviour.mode is Mode.SHED or self.in_flight >= self.slots:
            self.shed += 1
            return True
        deadline = find_header(source.headers, header_names.DEADLINE)
        if deadline is not None and time.time() * 1000 > int(deadline):
            self.refused_late += 1
            return True
        return False

    async def _run(self, source: ServerExchange, path: str, body: bytes) -> None:
        mark = find_header(source.headers, MARK_HEADER)
        if mark is not None:
            self.runs_by_mark[mark.decode()] += 1
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        watcher = None
        try:
            watcher = await source.monitor_caller()
            requested_ms = find_header(source.headers, WORK_MS_HEADER)
            work_ms = (
                self.behaviour.service_ms
                if requested_ms is None
                else float(requested_ms)
            )
            await sleep(work_ms / 1000)
            if path == self.behaviour.crash_path:
                os._exit(CRASH_EXIT_STATUS)
            await self._answer(source, path, body)
        except CallerDisconnectedError:
            self.cancelled += 1
            raise
        finally:
            self.in_flight -= 1
            if watcher is not None:
                await watcher.cancel()

    async def _answer(self, source: ServerExchange, path: str, body: bytes) -> None:
        self.served += 1
        mode = self.behaviour.mode
        fail_every = self.behaviour.fail_every
        if fail_every and self.served % fail_every == 0:
            mode = Mode.FAIL
        match mode:
            case Mode.FAIL:
                await source.answer(status=500, body=b"failed\n")
            case Mode.HANG:
                await sleep(3600)
            case Mode.CLOSE_AFTER_RUN:
                source.abort()
            case Mode.TRUNCATE:
                size = path.removeprefix(BYTES_PREFIX)
                length = size.encode() if size.isdigit() else TRUNCATED_LENGTH
                headers = [(b"content-length", length)]
                await source.send_head(status=200, headers=headers)
                await source.send_data(b"only this")
                source.abort()
            case Mode.EXTRA_BYTES:
                await self._answer_complete(source, path, body)
                await source._socket.sendall(b"HTTP/1.1 200 OK\r\n\r\nstray")
            case Mode.SERVE | Mode.SHED:
                await self._answer_complete(source, path, body)

    async def _answer_complete(
        self, source: ServerExchange, path: str, body: bytes
    ) -> None:
        if path.startswith(BYTES_PREFIX):
            await self._send_bytes(source, int(path.removeprefix(BYTES_PREFIX)))
            return
        content = {"upstream": self.name, "path": path, "body_bytes": len(body)}
        content_type = [(b"content-type", b"application/json")]
        encoded = json.dumps(content).encode()
        await source.answer(status=200, headers=content_type, body=encoded)

    async def _send_bytes(self, source: ServerExchange, size: int) -> None:
        first = 0
        status = 200
        headers: HeaderList = [(b"accept-ranges", b"bytes")]
        requested = find_header(source.headers, b"range")
        if requested is not None:
            first = int(requested.removeprefix(b"bytes=").partition(b"-")[0])
            status = 206
            span = f"bytes {first}-{size - 1}/{size}"
            headers.append((b"content-range", span.encode()))
        remaining = size - first
        headers.append((b"content-length", str(remaining).encode()))
        await source.send_head(status=status, headers=headers)
        while remaining > 0:
            await source.send_data(CHUNK[:remaining])
            remaining -= min(remaining, len(CHUNK))
        await source.finish()

    async def _control(self, source: ServerExchange, body: bytes) -> None:
        requested = json.loads(body or b"{}")
        if requested:
            requested["mode"] = Mode(requested.get("mode", "serve"))
            self.behaviour = Behaviour(**requested)
        counts = {
            "runs": sum(self.runs_by_mark.values()),
            "most_runs": max(self.runs_by_mark.values(), default=0),
            "most_in_flight": self.max_in_flight,
            "shed": self.shed,
            "cancelled": self.cancelled,
            "refused_late": self.refused_late,
        }
        await source.answer(status=200, body=json.dumps(counts).encode())
