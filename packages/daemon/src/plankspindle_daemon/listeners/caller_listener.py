"""The listener that callers use: look-ups, request ids and requests."""

from __future__ import annotations

import json
from functools import partial
from itertools import count
from time import monotonic
from typing import TYPE_CHECKING
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from attrs import define
from attrs import field
from result import Err
from result import Ok
from result import Result

from plankspindle_core import header_names
from plankspindle_core.http.headers import find_header
from plankspindle_core.http.server import HttpServer
from plankspindle_core.outcome import Outcome
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.dispatch.dispatch_runner import DispatchRunner
from plankspindle_daemon.exchange.caller_request import SERVICES_PREFIX
from plankspindle_daemon.exchange.caller_request import BadRequest
from plankspindle_daemon.exchange.caller_request import CallerRequest
from plankspindle_daemon.exchange.caller_request import headers_for_peer
from plankspindle_daemon.exchange.caller_request import headers_for_upstream
from plankspindle_daemon.exchange.caller_request import parse_caller_request
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
from plankspindle_daemon.idempotency.gate import IdempotencyGate
from plankspindle_daemon.idempotency.gate import RunRequest
from plankspindle_daemon.idempotency.gate import SendHome
from plankspindle_daemon.idempotency.gate import Told
from plankspindle_daemon.idempotency.records import NoRecord
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
    from plankspindle_daemon.exchange.request_body import RequestBody
    from plankspindle_daemon.headroom.grant_book import HeldGrant
    from plankspindle_daemon.idempotency.records import RequestRecord
    from plankspindle_daemon.steering.steering import LookupAnswer

MAX_IDS_PER_CALL = 100
_JSON: HeaderList = [(b"content-type", b"application/json")]


@define(kw_only=True)
class CallerListener:
    """Serve callers.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the process.
    supervisor : Supervisor
        Keeper of unexpected errors.
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
    """

    settings: DaemonSettings
    supervisor: Supervisor
    node: Node
    dispatch: DispatchRunner
    pool: ConnectionPool
    gate: IdempotencyGate
    metrics: RequestMetrics
    running: int = 0
    _server: HttpServer = field(init=False)
    _ticket_numbers: count[int] = field(factory=count)

    def __attrs_post_init__(self) -> None:
        self._server = HttpServer(
            endpoint=self.settings.listen.caller,
            limits=self.settings.http,
            handler=partial(self.supervisor.guard, self.handle),
        )

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def close(self) -> None:
        """Stop listening; what still runs is cut off."""
        await self._server.close()

    def note_leaving(self) -> None:
        """Answer with ``Connection: close`` from now on."""
        self._server.leaving = True

    @property
    def connections(self) -> int:
        """Open connections of callers."""
        return self._server.connections

    @property
    def refused(self) -> int:
        """Requests refused for breaking the protocol."""
        return self._server.refused

    async def handle(self, source: ServerExchange) -> None:
        """Answer one request."""
        split = urlsplit(source.target)
        if source.target.startswith(SERVICES_PREFIX):
            await self._serve(source)
        elif split.path == "/v1/lookup" and source.method == "GET":
            await self._look_up(source, split.query)
        elif split.path == "/v1/request-ids" and source.method == "POST":
            await self._issue_ids(source, split.query)
        elif split.path == "/health":
            await source.answer(status=200, body=self.node.readiness().value.encode())
        else:
            await _refuse(source, BadRequest(404, "no such resource"))

    async def _look_up(self, source: ServerExchange, query: str) -> None:
        await source.read_body(max_bytes=0)
        fields = parse_qs(query)
        service = fields.get("service", [""])[0]
        address = fields.get("address", [source.peer_host])[0]
        steering = self.node.steering
        if steering is None:
            await _refuse(source, BadRequest(503, "no configuration is in force yet"))
            return
        if service not in steering.configuration.services_by_name:
            await _refuse(source, BadRequest(404, f"no service {service!r}"))
            return
        try:
            answer = steering.look_up(service=service, address=address)
        except ValueError:
            await _refuse(source, BadRequest(400, f"{address!r} is not an IP number"))
            return
        self.metrics.note_lookup()
        body = json.dumps(lookup_mapping(service, answer)).encode()
        age = (b"cache-control", f"max-age={answer.ttl_s}".encode())
        await source.answer(status=200, headers=[*_JSON, age], body=body)

    async def _issue_ids(self, source: ServerExchange, query: str) -> None:
        await source.read_body(max_bytes=0)
        text = parse_qs(query).get("count", ["1"])[0]
        if not text.isdigit() or not 0 < int(text) <= MAX_IDS_PER_CALL:
            reason = f"count is a number from 1 to {MAX_IDS_PER_CALL}"
            await _refuse(source, BadRequest(400, reason))
            return
        ids = [self.node.ids.issue(monotonic()) for _ in range(int(text))]
        body = json.dumps({"request_ids": ids}).encode()
        headers = [*_JSON, (b"cache-control", b"no-store")]
        await source.answer(status=201, headers=headers, body=body)

    async def _serve(self, source: ServerExchange) -> None:
        self.running += 1
        try:
            await self._serve_counted(source)
        finally:
            self.running -= 1

    async def _serve_counted(self, source: ServerExchange) -> None:
        parsed = parse_caller_request(source.target, source.headers)
        identified = parsed.and_then(lambda request: self._identify(source, request))
        if parsed.is_err() or identified.is_err():
            error = parsed.err() or identified.unwrap_err()
            await _refuse(source, error)
            return
        if not self.node.accepts(monotonic()):
            await answer_with_outcome(source, _not_run("leaving"))
            return
        request = parsed.unwrap()
        if request.grant is None:
            await self._serve_body(source, request, identified.unwrap())
            return
        if not self.node.begin_moved(request.service, request.grant, monotonic()):
            await answer_with_outcome(source, _not_run("no-headroom"))
            return
        try:
            await self._serve_body(source, request, identified.unwrap())
        finally:
            self.node.end_moved(request.service, request.grant)

    async def _serve_body(
        self, source: ServerExchange, request: CallerRequest, identity: Identity
    ) -> None:
        body = await read_request_body(
            source, max_bytes=self.settings.requests.max_keyed_body_bytes
        )
        if body is None or (body.whole is None and _is_marked(request)):
            limit = self.settings.requests.max_keyed_body_bytes
            await _refuse(source, BadRequest(413, f"send at most {limit} bytes"))
            return
        await self._run(source, request, identity, body)

    def _identify(
        self, source: ServerExchange, request: CallerRequest
    ) -> Result[Identity, BadRequest]:
        directory = self.node.directory
        configuration = self.node.configuration
        if directory is None or configuration is None:
            return Err(BadRequest(503, "no configuration is in force yet"))
        if request.service not in configuration.services_by_name:
            return Err(BadRequest(404, f"no service {request.service!r}"))
        authorization = find_header(source.headers, header_names.AUTHORIZATION)
        identified = directory.identify(
            service=request.service, authorization=authorization
        )
        if identified.is_err():
            return Err(BadRequest(401, identified.unwrap_err().reason))
        identity = identified.unwrap()
        if request.idempotency_key is not None and identity.caller is None:
            return Err(BadRequest(401, "Idempotency-Key needs an API key"))
        return Ok(identity)

    async def _run(
        self,
        source: ServerExchange,
        request: CallerRequest,
        identity: Identity,
        body: RequestBody,
    ) -> None:
        configuration = self.node.configuration
        assert configuration is not None
        service = configuration.services_by_name[request.service]
        operation = service.operation_for(source.method, request.path)
        deadline_ms = _deadline_ms(request, operation)
        deadline = monotonic() + (deadline_ms - wall_ms()) / 1000
        held = self._choose_move(source, request, identity)
        route: Route = ToUpstream()
        peer_headers = headers_for_peer(source.headers)
        if held is not None:
            may_stay = request.idempotency_key is None
            route = ToPeer(endpoint=held.endpoint, may_stay=may_stay)
            peer_headers.append((header_names.GRANT, str(held.request_id).encode()))
        record: RequestRecord = NoRecord()
        elsewhere = False
        if _is_marked(request) and isinstance(route, ToUpstream):
            fingerprint = fingerprint_of(
                caller=identity.caller,
                service=request.service,
                method=source.method,
                path=request.path,
                body=body.whole or b"",
            )
            decided = await self.gate.decide(
                request, fingerprint, deadline=deadline, now=monotonic()
            )
            match decided:
                case RunRequest(record=allowed):
                    record = allowed
                case SendHome(endpoint=endpoint):
                    route = ToPeer(endpoint=endpoint, may_stay=False)
                    elsewhere = True
                case Told():
                    await self._tell(source, decided)
                    return
        runner = RequestRunner(
            vm=self.settings.vm,
            service=request.service,
            source=source,
            exchange=Exchange(
                terms=Terms(
                    idempotent=operation.idempotent and not _is_marked(request),
                    resendable=body.whole is not None,
                    recorded=_is_marked(request),
                    may_have_run_elsewhere=elsewhere,
                ),
                route=route,
                budget=self.node.budgets_by_service[request.service],
            ),
            ticket=Ticket(
                id=next(self._ticket_numbers),
                rank=identity.rank,
                operation=f"{operation.method} {operation.path_prefix}",
                deadline=deadline,
                expected_s=operation.expected_ms / 1000,
            ),
            deadline_ms=deadline_ms,
            path=request.path,
            upstream_headers=headers_for_upstream(
                source.headers, caller=identity.caller, peer_host=source.peer_host
            ),
            peer_headers=peer_headers,
            body=body,
            record=record,
            dispatch=self.dispatch,
            pool=self.pool,
            max_recorded_bytes=self.settings.requests.max_recorded_answer_bytes,
        )
        began = monotonic()
        try:
            await runner.run()
        finally:
            if held is not None:
                self.node.grants.give_back(held)
        self.metrics.note_request(
            service=request.service, rank=identity.rank, seconds=monotonic() - began
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
        if not isinstance(chosen, Move) or not self.node.may_shift(now):
            return None
        held = self.node.grants.use(
            service=request.service, region=chosen.to_region, now=now
        )
        if held is not None:
            meter.count_move(service=request.service, move=chosen)
        return held

    async def _tell(self, source: ServerExchange, told: Told) -> None:
        match told.verdict:
            case verdicts.Replay(answer=answer):
                replayed = (header_names.REPLAYED, b"1")
                await source.answer(
                    status=answer.status,
                    headers=[*answer.headers, replayed],
                    body=answer.body,
                )
            case _:
                await answer_with_outcome(source, told.answer)


def lookup_mapping(service: str, answer: LookupAnswer) -> dict[str, object]:
    """Give the JSON form of the answer to a look-up."""
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
                "reason": named.because.value,
            }
            for named in answer.vms
        ],
    }


def _is_marked(request: CallerRequest) -> bool:
    return request.idempotency_key is not None or request.request_id is not None


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


async def _refuse(source: ServerExchange, error: BadRequest) -> None:
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
