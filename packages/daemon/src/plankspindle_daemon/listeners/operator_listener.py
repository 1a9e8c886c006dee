"""HTTP listener for operators: state, metrics, plans, roll-outs and quarantine."""

from __future__ import annotations

import hmac
import re
from collections.abc import Awaitable
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from attrs import field

from plankspindle_core import header_names
from plankspindle_core.classes import define
from plankspindle_core.configuration.codec import configuration_to_mapping
from plankspindle_core.http.headers import find_header
from plankspindle_core.http.limits import HttpLimits
from plankspindle_core.http.memory_budget import MemoryBudget
from plankspindle_core.http.server import HttpServer
from plankspindle_core.read_json import read_json
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.listeners.json_answer import answer_json
from plankspindle_daemon.listeners.metrics_listener import METRICS_HEADERS
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.observability.metrics_reader import MetricsReader
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.quarantine.request_identity import identity_text
from plankspindle_daemon.settings.daemon_settings import DaemonSettings

if TYPE_CHECKING:
    from plankspindle_core.http.server_exchange import ServerExchange

MAX_INTENT_BYTES = 64 * 1024 * 1024
_IDENTITY_PATTERN = re.compile("[0-9a-fA-F]{16}")
_LIFT_PATH = "/v1/quarantine/lift"
_PLANS_PATH = "/v1/plans"


class PlanHandler(Protocol):
    """Handler of requests for plans and the history."""

    async def show_history(self, source: ServerExchange) -> None:
        """Answer with the accepted versions."""

    async def serve(
        self, source: ServerExchange, method: str, plan_id: str, body: bytes
    ) -> None:
        """Answer a request for plans."""


@define(kw_only=True)
class OperatorListener:
    """HTTP server for operators.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the process.
    supervisor : Supervisor
        Contains and logs unexpected errors of handlers.
    node : Node
        Decision logic and state of this entry VM.
    make_plan_handler : callable
        Creates the plan handler at the first request for it: importing it takes a
        tenth of the start time of a process.
    metrics : MetricsReader
        Renders the metrics.
    dump_runtime : callable
        Returns counters of listeners, connections and clients, for the state dump.
    send : callable
        Sends messages to other entry VMs.
    budget : MemoryBudget
        Memory held for callers.
    """

    settings: DaemonSettings
    supervisor: Supervisor
    node: Node
    make_plan_handler: Callable[[], PlanHandler]
    metrics: MetricsReader
    dump_runtime: Callable[[], dict[str, Any]]
    send: Callable[[list[SendToPeer]], Awaitable[None]]
    budget: MemoryBudget
    _server: HttpServer = field(init=False)
    _plans: PlanHandler | None = None

    def __attrs_post_init__(self) -> None:
        self._server = HttpServer(
            endpoint=self.settings.listen.operator,
            limits=HttpLimits(max_connections=64),
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
        if not self._is_authorized(source):
            await answer_json(
                source, 401, {"error": "send the operator token as bearer"}
            )
            return
        await source.begin_running()
        body = await source.read_body(max_bytes=MAX_INTENT_BYTES)
        path = source.target.partition("?")[0]
        match source.method, path:
            case "GET", "/health":
                await answer_json(
                    source, 200, {"readiness": self.node.readiness().value}
                )
            case "GET", "/state":
                await self._show_state(source)
            case "GET", "/metrics":
                rendered = self.metrics.render()
                await source.answer(status=200, headers=METRICS_HEADERS, body=rendered)
            case "GET", "/v1/configuration":
                await self._show_configuration(source)
            case "GET", "/v1/rollouts":
                await self._show_rollouts(source)
            case "GET", "/v1/history":
                await self._plan_handler().show_history(source)
            case "POST", path if path == _LIFT_PATH:
                await self._lift_quarantine(source, body or b"")
            case method, _ if path.startswith(_PLANS_PATH):
                plan_id = path.removeprefix(_PLANS_PATH).strip("/")
                await self._plan_handler().serve(source, method, plan_id, body or b"")
            case _:
                await answer_json(source, 404, {"error": "no such resource"})

    def _is_authorized(self, source: ServerExchange) -> bool:
        token = self.settings.secrets.operator_token
        if token is None:
            return True
        sent = find_header(source.headers, header_names.AUTHORIZATION) or b""
        return hmac.compare_digest(sent, b"Bearer " + token.encode())

    async def _show_state(self, source: ServerExchange) -> None:
        from plankspindle_daemon.observability.state_dump import dump_node

        dumped = {**dump_node(self.node, monotonic()), **self.dump_runtime()}
        await answer_json(source, 200, dumped)

    async def _show_rollouts(self, source: ServerExchange) -> None:
        from plankspindle_daemon.observability.rollout_dump import dump_rollouts

        rollouts = dump_rollouts(self.node, monotonic())
        await answer_json(source, 200, {"rollouts": rollouts})

    async def _show_configuration(self, source: ServerExchange) -> None:
        configuration = self.node.configuration
        if configuration is None:
            await answer_json(
                source, 404, {"error": "no configuration is in force yet"}
            )
            return
        content = configuration_to_mapping(configuration)
        shown = {"version": self.node.version.number, "configuration": content}
        await answer_json(source, 200, shown)

    async def _lift_quarantine(self, source: ServerExchange, body: bytes) -> None:
        identity = _parse_identity(body)
        if identity is None:
            advice = 'send {"identity": "16 hexadecimal digits"}'
            await answer_json(source, 400, {"error": advice})
            return
        found = identity in self.node.quarantine.quarantine_list.entries_by_identity
        await self.send(self.node.quarantine.lift(identity, monotonic()))
        if found:
            await answer_json(source, 200, {"lifted": identity_text(identity)})
        else:
            advice = "no such request is held back; plankspindle quarantine lists them"
            await answer_json(source, 404, {"error": advice})

    def _plan_handler(self) -> PlanHandler:
        if self._plans is None:
            self._plans = self.make_plan_handler()
        return self._plans


def _parse_identity(body: bytes) -> int | None:
    """Return the request identity in the body; None if it is malformed."""
    try:
        text = read_json(body)["identity"]
        return int(text, 16) if _IDENTITY_PATTERN.fullmatch(text) else None
    except (ValueError, KeyError, TypeError):
        return None
