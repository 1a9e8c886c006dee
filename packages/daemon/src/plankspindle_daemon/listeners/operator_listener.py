"""The listener that operators use: state, metrics, plans."""

from __future__ import annotations

import hmac
import json
from collections.abc import Callable
from functools import partial
from time import monotonic
from typing import TYPE_CHECKING
from typing import Any

from attrs import define
from attrs import field

from plankspindle_core import header_names
from plankspindle_core.configuration.codec import configuration_to_mapping
from plankspindle_core.errors import InvalidDocument
from plankspindle_core.http.headers import find_header
from plankspindle_core.http.limits import HttpLimits
from plankspindle_core.http.server import HttpServer
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.read_json import read_json
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.control.intents import intent_from_mapping
from plankspindle_daemon.control.plan_store import ConfirmationUnknown
from plankspindle_daemon.control.plan_store import ConfirmError
from plankspindle_daemon.control.plan_store import NoSuchPlan
from plankspindle_daemon.control.plan_store import NotPossible
from plankspindle_daemon.control.plan_store import PlanError
from plankspindle_daemon.control.plan_store import PlanExpired
from plankspindle_daemon.control.plan_store import PlanOvertaken
from plankspindle_daemon.control.plan_store import PlanStore
from plankspindle_daemon.listeners.metrics_listener import TEXT_FORM
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.observability.metrics_reader import MetricsReader
from plankspindle_daemon.observability.state_dump import dump_node
from plankspindle_daemon.settings.daemon_settings import DaemonSettings

if TYPE_CHECKING:
    from plankspindle_core.http.server_exchange import ServerExchange

MAX_INTENT_BYTES = 64 * 1024 * 1024
OPERATOR_HEADER = b"plankspindle-operator"
_PLANS = "/v1/plans"
_CONFIRM_SUFFIX = "/confirm"


@define(kw_only=True)
class OperatorListener:
    """Serve operators.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the process.
    supervisor : Supervisor
        Keeper of unexpected errors.
    node : Node
        The decisions.
    plans : PlanStore
        Plans.
    metrics : MetricsReader
        Metrics.
    dump_shells : callable
        Gives the counts of the shells.
    """

    settings: DaemonSettings
    supervisor: Supervisor
    node: Node
    plans: PlanStore
    metrics: MetricsReader
    dump_shells: Callable[[], dict[str, Any]]
    _server: HttpServer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._server = HttpServer(
            endpoint=self.settings.listen.operator,
            limits=HttpLimits(max_connections=64),
            handler=partial(self.supervisor.serve, self.handle),
        )

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def handle(self, source: ServerExchange) -> None:
        """Answer one request."""
        body = await source.read_body(max_bytes=MAX_INTENT_BYTES)
        if not self._may(source):
            await _answer(source, 401, {"error": "send the operator token as bearer"})
            return
        path = source.target.partition("?")[0]
        match source.method, path:
            case "GET", "/health":
                await _answer(source, 200, {"readiness": self.node.readiness().value})
            case "GET", "/state":
                dumped = {**dump_node(self.node, monotonic()), **self.dump_shells()}
                await _answer(source, 200, dumped)
            case "GET", "/metrics":
                rendered = self.metrics.render()
                await source.answer(status=200, headers=TEXT_FORM, body=rendered)
            case "GET", "/v1/configuration":
                await self._show_configuration(source)
            case "GET", "/v1/history":
                await self._show_history(source)
            case method, _ if path.startswith(_PLANS):
                await self._serve_plans(source, method, path, body or b"")
            case _:
                await _answer(source, 404, {"error": "no such resource"})

    def _may(self, source: ServerExchange) -> bool:
        token = self.settings.secrets.operator_token
        if token is None:
            return True
        sent = find_header(source.headers, header_names.AUTHORIZATION) or b""
        return hmac.compare_digest(sent, b"Bearer " + token.encode())

    async def _show_configuration(self, source: ServerExchange) -> None:
        configuration = self.node.configuration
        if configuration is None:
            await _answer(source, 404, {"error": "no configuration is in force yet"})
            return
        content = configuration_to_mapping(configuration)
        shown = {"version": self.node.version, "configuration": content}
        await _answer(source, 200, shown)

    async def _show_history(self, source: ServerExchange) -> None:
        history = await self.plans.history()
        if history.is_err():
            await _answer_error(source, history.unwrap_err())
            return
        versions = [head.to_mapping() for head in history.unwrap()]
        await _answer(source, 200, {"versions": versions})

    async def _serve_plans(
        self, source: ServerExchange, method: str, path: str, body: bytes
    ) -> None:
        sent = find_header(source.headers, OPERATOR_HEADER)
        operator = sent.decode("latin-1") if sent else "unnamed"
        plan_id = path.removeprefix(_PLANS).strip("/")
        if method == "POST" and not plan_id:
            await self._make_plan(source, operator, body)
        elif method == "POST" and plan_id.endswith(_CONFIRM_SUFFIX):
            plan_id = plan_id.removesuffix(_CONFIRM_SUFFIX)
            await self._confirm(source, operator, plan_id)
        elif method == "GET" and not plan_id:
            listed = await self.plans.list_all()
            if listed.is_err():
                await _answer_error(source, listed.unwrap_err())
            else:
                shown = [plan.to_mapping() for plan in listed.unwrap()]
                await _answer(source, 200, {"plans": shown})
        elif method == "GET" and plan_id:
            read = await self.plans.read(plan_id)
            if read.is_err():
                await _answer_error(source, read.unwrap_err())
            else:
                await _answer(source, 200, read.unwrap().to_mapping())
        else:
            await _answer(source, 405, {"error": "POST a plan, or GET one by its id"})

    async def _make_plan(
        self, source: ServerExchange, operator: str, body: bytes
    ) -> None:
        try:
            mapping = read_json(body)
        except ValueError as error:
            await _answer(source, 400, {"error": f"not valid JSON: {error}"})
            return
        intent = intent_from_mapping(mapping)
        if intent.is_err():
            await _answer_error(source, intent.unwrap_err())
            return
        made = await self.plans.make(intent.unwrap(), operator)
        if made.is_err():
            await _answer_error(source, made.unwrap_err())
            return
        plan = made.unwrap()
        log_event("plan_made", plan=plan.id, operator=operator, base=plan.base_version)
        await _answer(source, 201, plan.to_mapping())

    async def _confirm(
        self, source: ServerExchange, operator: str, plan_id: str
    ) -> None:
        confirmed = await self.plans.confirm(plan_id, operator)
        if confirmed.is_err():
            error = confirmed.unwrap_err()
            refusal = type(error).__name__
            log_event("plan_refused", plan=plan_id, operator=operator, error=refusal)
            await _answer_error(source, error)
            return
        plan = confirmed.unwrap()
        log_event(
            "plan_accepted", plan=plan.id, operator=operator, version=plan.version
        )
        await _answer(source, 200, plan.to_mapping())


async def _answer(source: ServerExchange, status: int, content: Any) -> None:
    kind = [(b"content-type", b"application/json")]
    body = json.dumps(content).encode()
    await source.answer(status=status, headers=kind, body=body)


async def _answer_error(
    source: ServerExchange, error: PlanError | ConfirmError
) -> None:
    match error:
        case InvalidDocument(problems=problems):
            await _answer(source, 422, {"error": "refused", "problems": problems})
        case NoSuchPlan():
            await _answer(source, 404, {"error": "no such plan"})
        case PlanExpired():
            await _answer(source, 410, {"error": "the plan has expired; make it again"})
        case PlanOvertaken(head=head):
            text = (
                f"not accepted: version {head.version} of plan {head.plan} by"
                f" {head.operator} came first; make the plan again"
            )
            await _answer(source, 409, {"error": text, "head": head.to_mapping()})
        case ConfirmationUnknown():
            text = "no answer of the platform; confirm again to learn the outcome"
            await _answer(source, 504, {"error": text})
        case NotPossible(detail=detail):
            await _answer(source, 503, {"error": f"the platform is away: {detail}"})
