"""HTTP listener for callers: lookups, request ids and requests."""

from __future__ import annotations

import json
import re
from functools import partial
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from attrs import evolve
from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.http.memory_budget import MemoryBudget
from plankspindle_core.http.server import HttpServer
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.exchange.answers import refuse
from plankspindle_daemon.exchange.caller_request import BadRequest
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.observability.request_metrics import RequestMetrics
from plankspindle_daemon.settings.daemon_settings import DaemonSettings

if TYPE_CHECKING:
    from plankspindle_core.configuration.configuration import CallerLimits
    from plankspindle_core.http.headers import HeaderList
    from plankspindle_core.http.limits import HttpLimits
    from plankspindle_core.http.server_exchange import ServerExchange
    from plankspindle_daemon.steering.steering import LookupAnswer

from plankspindle_daemon.listeners.request_resolver import NO_CONFIGURATION
from plankspindle_daemon.listeners.request_service import RequestService

MAX_IDS_PER_CALL = 100
RELAY_HEADERS_BYTES = 4_096
"""Length of what another entry VM adds to the head of a request that it relays here."""
_COUNT_PATTERN = re.compile(r"[0-9]{1,3}")
"""At most three digits, which are enough for ``MAX_IDS_PER_CALL``.

``int`` alone would also accept non-ASCII digits, and raise on very long numbers.
"""
_JSON_HEADERS: HeaderList = [(b"content-type", b"application/json")]


@define(kw_only=True)
class CallerListener:
    """HTTP server for callers.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the process.
    supervisor : Supervisor
        Contains and logs unexpected errors of handlers.
    node : Node
        Decision logic and state of this entry VM.
    requests : RequestService
        Serves requests for services.
    metrics : RequestMetrics
        Request counters.
    budget : MemoryBudget
        Memory held for callers.
    """

    settings: DaemonSettings
    supervisor: Supervisor
    node: Node
    requests: RequestService
    metrics: RequestMetrics
    budget: MemoryBudget
    _server: HttpServer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._server = HttpServer(
            endpoint=self.settings.listen.caller,
            limits=self.settings.http,
            handler=partial(self.supervisor.serve, self.handle),
            budget=self.budget,
        )

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def close(self) -> None:
        """Stop listening and abort requests that still run."""
        await self._server.close()

    def apply_limits(self) -> None:
        """Apply the limits on callers of the configuration in force."""
        limits = self.node.in_force.caller_limits
        self._server.limits = _apply_caller_limits(self.settings.http, limits)

    def disable_keep_alive(self) -> None:
        """Answer with ``Connection: close`` from now on."""
        self._server.leaving = True

    @property
    def connections(self) -> int:
        """Number of open connections of callers."""
        return self._server.connections

    @property
    def running(self) -> int:
        """Number of requests that run or wait here."""
        return self.requests.running

    @property
    def refused(self) -> int:
        """Number of requests refused for violating HTTP."""
        return self._server.refused

    async def handle(self, source: ServerExchange) -> None:
        """Answer one HTTP request."""
        if self.requests.resolver.handles(source):
            await self.requests.serve(source)
        else:
            await self._serve_builtin(source)

    async def _serve_builtin(self, source: ServerExchange) -> None:
        path, _, query = source.target.partition("?")
        if path == "/v1/lookup" and source.method == "GET":
            await self._look_up(source, query)
        elif path == "/v1/request-ids" and source.method == "POST":
            await self._issue_ids(source, query)
        elif path == "/health":
            await source.answer(status=200, body=self.node.readiness().value.encode())
        elif self.node.configuration is None:
            await refuse(source, BadRequest(503, NO_CONFIGURATION))
        else:
            await refuse(source, BadRequest(404, "no such resource"))

    async def _look_up(self, source: ServerExchange, query: str) -> None:
        await source.read_body(max_bytes=0)
        fields = parse_qs(query)
        service = fields.get("service", [""])[0]
        address = fields.get("address", [source.peer_host])[0]
        steering = self.node.steering
        if steering is None:
            await refuse(source, BadRequest(503, NO_CONFIGURATION))
            return
        if service not in steering.configuration.services_by_name:
            await refuse(source, BadRequest(404, f"no service {service!r}"))
            return
        try:
            answer = steering.look_up(service=service, address=address)
        except ValueError:
            await refuse(source, BadRequest(400, f"{address!r} is not an IP number"))
            return
        self.metrics.record_lookup()
        body = json.dumps(lookup_mapping(service, answer)).encode()
        age = (b"cache-control", f"max-age={answer.ttl_s}".encode())
        await source.answer(status=200, headers=[*_JSON_HEADERS, age], body=body)

    async def _issue_ids(self, source: ServerExchange, query: str) -> None:
        await source.read_body(max_bytes=0)
        text = parse_qs(query).get("count", ["1"])[0]
        if not _COUNT_PATTERN.fullmatch(text) or not 0 < int(text) <= MAX_IDS_PER_CALL:
            reason = f"count is a number from 1 to {MAX_IDS_PER_CALL}"
            await refuse(source, BadRequest(400, reason))
            return
        ids = [self.node.ids.issue(monotonic()) for _ in range(int(text))]
        body = json.dumps({"request_ids": ids}).encode()
        headers = [*_JSON_HEADERS, (b"cache-control", b"no-store")]
        await source.answer(status=201, headers=headers, body=body)


def _apply_caller_limits(usual: HttpLimits, limits: CallerLimits) -> HttpLimits:
    """Return the limits of the listener, where operators set them by theirs.

    A request at the limit is still taken from an entry VM that relays it.
    """
    longest = limits.max_header_bytes
    return evolve(
        usual,
        max_header_bytes=(
            usual.max_header_bytes if longest is None else longest + RELAY_HEADERS_BYTES
        ),
        header_timeout_s=_seconds(limits.header_timeout_ms, usual.header_timeout_s),
        idle_timeout_s=_seconds(limits.idle_timeout_ms, usual.idle_timeout_s),
    )


def _seconds(milliseconds: int | None, usual: float) -> float:
    return usual if milliseconds is None else milliseconds / 1000


def lookup_mapping(service: str, answer: LookupAnswer) -> dict[str, object]:
    """Return the JSON form of the answer to a lookup."""
    return {
        "service": service,
        "site": answer.site,
        "ttl_s": answer.ttl_s,
        "vms": [
            {
                "vm": named.vm.name,
                "ip": named.vm.endpoint.host,
                "port": named.vm.endpoint.port,
                "failure_domain": named.vm.failure_domain,
                "reason": named.reason.value,
            }
            for named in answer.vms
        ],
    }
