"""Serving of callers' requests for services."""

from __future__ import annotations

from itertools import count
from time import monotonic
from typing import TYPE_CHECKING

from attrs import define
from attrs import field
from attrs import frozen

from plankspindle_core import header_names
from plankspindle_core.outcome import Outcome
from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.dispatch.dispatch_runner import DispatchRunner
from plankspindle_daemon.exchange.caller_request import BadRequest
from plankspindle_daemon.exchange.caller_request import head_as_it_came
from plankspindle_daemon.exchange.caller_request import headers_for_peer
from plankspindle_daemon.exchange.caller_request import headers_for_upstream
from plankspindle_daemon.exchange.dialect import Dialect
from plankspindle_daemon.exchange.exchange import Exchange
from plankspindle_daemon.exchange.messages import AnswerCaller
from plankspindle_daemon.exchange.messages import Route
from plankspindle_daemon.exchange.messages import Terms
from plankspindle_daemon.exchange.messages import ToPeer
from plankspindle_daemon.exchange.messages import ToUpstream
from plankspindle_daemon.exchange.request_body import read_request_body
from plankspindle_daemon.exchange.request_runner import RequestRunner
from plankspindle_daemon.exchange.request_runner import answer_with_outcome
from plankspindle_daemon.exchange.request_runner import wall_ms
from plankspindle_daemon.idempotency import verdicts
from plankspindle_daemon.idempotency.fingerprint import fingerprint_of
from plankspindle_daemon.idempotency.gate import Answered
from plankspindle_daemon.idempotency.gate import IdempotencyGate
from plankspindle_daemon.idempotency.gate import RunRequest
from plankspindle_daemon.idempotency.gate import SendHome
from plankspindle_daemon.idempotency.records import NoRecord
from plankspindle_daemon.idempotency.records import RequestRecord
from plankspindle_daemon.listeners.request_reader import AskedFor
from plankspindle_daemon.listeners.request_reader import RequestReader
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.observability.metrics import RequestMetrics
from plankspindle_daemon.settings.daemon_settings import DaemonSettings
from plankspindle_daemon.shifts.shift_meter import Move
from plankspindle_daemon.upstreams.connection_pool import ConnectionPool

if TYPE_CHECKING:
    from plankspindle_core.configuration.operation import Operation
    from plankspindle_core.http.headers import HeaderList
    from plankspindle_core.http.server_exchange import ServerExchange
    from plankspindle_daemon.admission.caller_directory import Identity
    from plankspindle_daemon.exchange.caller_request import CallerRequest
    from plankspindle_daemon.exchange.request_body import RequestBody
    from plankspindle_daemon.headroom.grant_book import HeldGrant


@frozen(kw_only=True)
class _RequestTerms:
    deadline_ms: int
    deadline: float


@frozen(kw_only=True)
class _Way:
    route: Route
    record: RequestRecord = field(factory=NoRecord)
    grant: int | None = None
    may_have_run_elsewhere: bool = False


@define(kw_only=True)
class RequestService:
    """Serve requests of callers for services.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the process.
    node : Node
        The decisions.
    dispatch : DispatchRunner
        Finder of upstreams.
    pool : ConnectionPool
        Connections to upstreams and other entry VMs.
    gate : IdempotencyGate
        What decides on ids and keys.
    metrics : RequestMetrics
        Counters.
    reader : RequestReader
        What finds out what requests ask for.
    dialect : Dialect
        Names of headers.

    Attributes
    ----------
    running : int
        Requests that run or wait here.
    """

    settings: DaemonSettings
    node: Node
    dispatch: DispatchRunner
    pool: ConnectionPool
    gate: IdempotencyGate
    metrics: RequestMetrics
    reader: RequestReader
    dialect: Dialect
    running: int = 0
    _ticket_numbers: count[int] = field(factory=count)

    async def serve(self, source: ServerExchange) -> None:
        """Serve one request, whatever becomes of it."""
        self.running += 1
        try:
            await self._serve_counted(source)
        finally:
            self.running -= 1

    async def _serve_counted(self, source: ServerExchange) -> None:
        read = self.reader.read(source)
        if read.is_err():
            await refuse(source, read.unwrap_err())
            return
        if not self.node.accepts(monotonic()):
            await answer_with_outcome(source, _not_run("leaving"), self.dialect)
            return
        asked = read.unwrap()
        request = asked.request
        if request.grant is None:
            await self._serve_body(source, asked)
            return
        if not self.node.headroom.begin_moved(
            request.service, request.grant, monotonic()
        ):
            await answer_with_outcome(source, _not_run("no-headroom"), self.dialect)
            return
        try:
            await self._serve_body(source, asked)
        finally:
            self.node.headroom.end_moved(request.service, request.grant)

    async def _serve_body(self, source: ServerExchange, asked: AskedFor) -> None:
        body = await read_request_body(
            source, max_bytes=self.settings.requests.max_keyed_body_bytes
        )
        if body is None or (body.whole is None and _is_marked(asked.request)):
            limit = self.settings.requests.max_keyed_body_bytes
            await refuse(source, BadRequest(413, f"send at most {limit} bytes"))
            return
        await self._run(source, asked, body)

    async def _run(
        self, source: ServerExchange, asked: AskedFor, body: RequestBody
    ) -> None:
        request, identity = asked.request, asked.identity
        terms = _work_out_terms(asked)
        held = self._choose_move(source, request, identity)
        try:
            way = await self._find_way(source, request, identity, body, terms, held)
            if isinstance(way, Answered):
                await self._answer(source, way)
                return
            runner = self._make_runner(source, asked, body, terms, way)
            began = monotonic()
            await runner.run()
        finally:
            if held is not None:
                self.node.headroom.grants.give_back(held)
        self.metrics.note_request(
            service=request.service, rank=identity.rank, seconds=monotonic() - began
        )

    async def _find_way(
        self,
        source: ServerExchange,
        request: CallerRequest,
        identity: Identity,
        body: RequestBody,
        terms: _RequestTerms,
        held: HeldGrant | None,
    ) -> _Way | Answered:
        """Decide where the request goes, and what must learn how it ends."""
        if held is not None:
            may_stay = request.idempotency_key is None
            route = ToPeer(endpoint=held.endpoint, may_stay=may_stay)
            return _Way(route=route, grant=held.request_id)
        if not _is_marked(request):
            return _Way(route=ToUpstream())
        fingerprint = fingerprint_of(
            caller=identity.caller,
            service=request.service,
            method=source.method,
            path=request.path,
            body=body.whole or b"",
        )
        decided = await self.gate.decide(
            request, fingerprint, deadline=terms.deadline, now=monotonic()
        )
        match decided:
            case RunRequest(record=record):
                return _Way(route=ToUpstream(), record=record)
            case SendHome(endpoint=endpoint):
                route = ToPeer(endpoint=endpoint, may_stay=False)
                return _Way(route=route, may_have_run_elsewhere=True)
            case Answered():
                return decided

    def _make_runner(
        self,
        source: ServerExchange,
        asked: AskedFor,
        body: RequestBody,
        terms: _RequestTerms,
        way: _Way,
    ) -> RequestRunner:
        operation, request = asked.operation, asked.request
        return RequestRunner(
            vm=self.settings.vm,
            service=request.service,
            source=source,
            exchange=Exchange(
                terms=Terms(
                    idempotent=operation.idempotent and not _is_marked(request),
                    resendable=body.whole is not None,
                    recorded=_is_marked(request),
                    may_have_run_elsewhere=way.may_have_run_elsewhere,
                    max_attempts=asked.max_attempts,
                ),
                route=way.route,
                budget=self.node.budgets_by_service[request.service],
            ),
            ticket=self._make_ticket(asked, terms),
            deadline_ms=terms.deadline_ms,
            path=request.path,
            upstream_headers=self._headers_for_upstream(source, asked.identity),
            peer_headers=headers_for_peer(source.headers, grant=way.grant),
            body=body,
            record=way.record,
            dispatch=self.dispatch,
            pool=self.pool,
            dialect=self.dialect,
            max_recorded_bytes=self.settings.requests.max_recorded_answer_bytes,
            max_idle_unrepeatable_s=(
                self.settings.requests.max_idle_unrepeatable_ms / 1000
            ),
            hold_answer_bytes=self.settings.requests.hold_answer_bytes,
        )

    def _make_ticket(self, asked: AskedFor, terms: _RequestTerms) -> Ticket:
        return Ticket(
            id=next(self._ticket_numbers),
            rank=asked.identity.rank,
            operation=asked.name,
            deadline=terms.deadline,
            expected_s=asked.operation.expected_ms / 1000,
            affinity=asked.affinity,
            bulky=asked.bulky,
            regions=asked.regions,
            hold_until=asked.hold_until,
        )

    def _headers_for_upstream(
        self, source: ServerExchange, identity: Identity
    ) -> HeaderList:
        if self.dialect.keeps_head:
            return head_as_it_came(source.headers, dialect=self.dialect)
        return headers_for_upstream(
            source.headers, caller=identity.caller, peer_host=source.peer_host
        )

    def _choose_move(
        self, source: ServerExchange, request: CallerRequest, identity: Identity
    ) -> HeldGrant | None:
        """Count a request for the shifts, and take a grant if it is to be moved."""
        if request.forwarded or request.request_id is not None:
            return None
        meter, now = self.node.meter, monotonic()
        caller_key = identity.caller or source.peer_host
        chosen = meter.choose(service=request.service, caller_key=caller_key, now=now)
        if not isinstance(chosen, Move) or not self.node.head.is_fresh(now):
            return None
        held = self.node.headroom.grants.use(
            service=request.service, region=chosen.to_region, now=now
        )
        if held is not None:
            meter.count_move(service=request.service, move=chosen)
        return held

    async def _answer(self, source: ServerExchange, answered: Answered) -> None:
        match answered.verdict:
            case verdicts.Replay(answer=answer):
                replayed = (header_names.REPLAYED, b"1")
                await source.answer(
                    status=answer.status,
                    headers=[*answer.headers, replayed],
                    body=answer.body,
                )
            case _:
                await answer_with_outcome(source, answered.answer, self.dialect)


def _is_marked(request: CallerRequest) -> bool:
    return request.idempotency_key is not None or request.request_id is not None


def _work_out_terms(asked: AskedFor) -> _RequestTerms:
    deadline_ms = _deadline_ms(asked.request, asked.operation)
    return _RequestTerms(
        deadline_ms=deadline_ms,
        deadline=monotonic() + (deadline_ms - wall_ms()) / 1000,
    )


def _deadline_ms(request: CallerRequest, operation: Operation) -> int:
    now_ms = wall_ms()
    deadline = now_ms + operation.timeout_ms
    if request.timeout_ms is not None:
        deadline = min(deadline, now_ms + request.timeout_ms)
    if request.deadline_ms is not None:
        deadline = min(deadline, request.deadline_ms)
    return deadline


def _not_run(reason: str) -> AnswerCaller:
    return AnswerCaller(status=503, outcome=Outcome.NOT_RUN, reason=reason)


async def refuse(source: ServerExchange, error: BadRequest) -> None:
    """Tell a caller what to change; its request was not run."""
    headers: HeaderList = [
        (b"content-type", b"text/plain"),
        (header_names.OUTCOME, Outcome.NOT_RUN.value.encode()),
    ]
    if error.status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    if error.status == 503:
        headers.append((header_names.RETRY_AFTER, b"1"))
    await source.answer(
        status=error.status, headers=headers, body=(error.reason + "\n").encode()
    )
