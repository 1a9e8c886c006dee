"""HTTP interface for making, reading and confirming plans."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_core.errors import InvalidDocument
from plankspindle_core.http.headers import find_header
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.read_json import read_json
from plankspindle_daemon.control.intents import intent_from_mapping
from plankspindle_daemon.control.plan_store import ConfirmationUnknown
from plankspindle_daemon.control.plan_store import ConfirmError
from plankspindle_daemon.control.plan_store import NoSuchPlan
from plankspindle_daemon.control.plan_store import NotPossible
from plankspindle_daemon.control.plan_store import PlanError
from plankspindle_daemon.control.plan_store import PlanExpired
from plankspindle_daemon.control.plan_store import PlanOvertaken
from plankspindle_daemon.control.plan_store import PlanStore
from plankspindle_daemon.listeners.json_answer import answer_json

if TYPE_CHECKING:
    from plankspindle_core.http.server_exchange import ServerExchange

OPERATOR_HEADER = b"plankspindle-operator"
_CONFIRM_SUFFIX = "/confirm"


@define(kw_only=True)
class PlanService:
    """Handler of requests for plans and the history.

    Parameters
    ----------
    plans : PlanStore
        Storage of plans.
    """

    plans: PlanStore

    async def show_history(self, source: ServerExchange) -> None:
        """Answer with the accepted versions."""
        history = await self.plans.history()
        if history.is_err():
            await _answer_error(source, history.unwrap_err())
            return
        versions = [head.to_mapping() for head in history.unwrap()]
        await answer_json(source, 200, {"versions": versions})

    async def serve(
        self, source: ServerExchange, method: str, plan_id: str, body: bytes
    ) -> None:
        """Answer a request for plans.

        Parameters
        ----------
        source : ServerExchange
            The request.
        method : str
            Its method.
        plan_id : str
            Path below the plans: an id, perhaps with ``/confirm``; empty for all.
        body : bytes
            Its body.
        """
        sent = find_header(source.headers, OPERATOR_HEADER)
        operator = sent.decode("latin-1") if sent else "unnamed"
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
                await answer_json(source, 200, {"plans": shown})
        elif method == "GET" and plan_id:
            read = await self.plans.read(plan_id)
            if read.is_err():
                await _answer_error(source, read.unwrap_err())
            else:
                await answer_json(source, 200, read.unwrap().to_mapping())
        else:
            await answer_json(
                source, 405, {"error": "POST a plan, or GET one by its id"}
            )

    async def _make_plan(
        self, source: ServerExchange, operator: str, body: bytes
    ) -> None:
        try:
            mapping = read_json(body)
        except ValueError as error:
            await answer_json(source, 400, {"error": f"not valid JSON: {error}"})
            return
        intent = intent_from_mapping(mapping)
        if intent.is_err():
            await _answer_error(source, intent.unwrap_err())
            return
        made = await self.plans.create(intent.unwrap(), operator)
        if made.is_err():
            await _answer_error(source, made.unwrap_err())
            return
        plan = made.unwrap()
        log_event("plan_made", plan=plan.id, operator=operator, base=plan.base_version)
        await answer_json(source, 201, plan.to_mapping())

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
        await answer_json(source, 200, plan.to_mapping())


NO_SUCH_PLAN = (
    "no such plan; if the platform has returned from a copy since it was made, it is"
    " lost: make it again"
)


async def _answer_error(
    source: ServerExchange, error: PlanError | ConfirmError
) -> None:
    match error:
        case InvalidDocument(problems=problems):
            await answer_json(source, 422, {"error": "refused", "problems": problems})
        case NoSuchPlan():
            await answer_json(source, 404, {"error": NO_SUCH_PLAN})
        case PlanExpired():
            await answer_json(
                source, 410, {"error": "the plan has expired; make it again"}
            )
        case PlanOvertaken(head=head):
            text = (
                f"not accepted: version {head.version} of plan {head.plan} by"
                f" {head.operator} came first; make the plan again"
            )
            await answer_json(source, 409, {"error": text, "head": head.to_mapping()})
        case ConfirmationUnknown():
            text = "no answer of the platform; confirm again to learn the outcome"
            await answer_json(source, 504, {"error": text})
        case NotPossible(detail=detail):
            await answer_json(source, 503, {"error": f"the platform is away: {detail}"})
