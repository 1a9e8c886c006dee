"""HTTP listener that serves metrics to collectors without a token."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.limits import HttpLimits
from plankspindle_core.http.memory_budget import MemoryBudget
from plankspindle_core.http.server import HttpServer
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.observability.metrics_reader import MetricsReader

if TYPE_CHECKING:
    from plankspindle_core.http.server_exchange import ServerExchange

METRICS_PATH = "/metrics"
METRICS_HEADERS = [(b"content-type", b"text/plain; version=0.0.4")]
MAX_CONNECTIONS = 8


@define(kw_only=True)
class MetricsListener:
    """HTTP server for metrics only.

    Parameters
    ----------
    endpoint : Endpoint
        Address to listen on.
    supervisor : Supervisor
        Contains and logs unexpected errors of handlers.
    metrics : MetricsReader
        Renders the metrics.
    budget : MemoryBudget
        Memory held for callers.
    """

    endpoint: Endpoint
    supervisor: Supervisor
    metrics: MetricsReader
    budget: MemoryBudget
    _server: HttpServer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._server = HttpServer(
            endpoint=self.endpoint,
            limits=HttpLimits(max_connections=MAX_CONNECTIONS),
            handler=partial(self.supervisor.serve, self.handle),
            budget=self.budget,
        )

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def handle(self, source: ServerExchange) -> None:
        """Answer one HTTP request."""
        await source.read_body(max_bytes=0)
        if source.target.partition("?")[0] != METRICS_PATH:
            await source.answer(status=404)
            return
        rendered = self.metrics.render()
        await source.answer(status=200, headers=METRICS_HEADERS, body=rendered)
