"""Serving of requests of callers for services."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from plankspindle_core import header_names
from plankspindle_core.classes import define
from plankspindle_core.http.headers import find_header
from plankspindle_core.http.server_exchange import CallerDisconnectedError
from plankspindle_core.outcome import Outcome
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.exchange.answers import answer_with_outcome
from plankspindle_daemon.exchange.answers import refuse
from plankspindle_daemon.exchange.caller_request import BadRequest
from plankspindle_daemon.exchange.dialect import Dialect
from plankspindle_daemon.exchange.messages import AnswerCaller
from plankspindle_daemon.exchange.messages import ToPeer
from plankspindle_daemon.exchange.request_body import read_body_to_run
from plankspindle_daemon.exchange.request_body import refuse_longer_than
from plankspindle_daemon.exchange.send_checks import LEAVING
from plankspindle_daemon.exchange.send_checks import LEAVING_RETRY_AFTER_S
from plankspindle_daemon.idempotency import verdicts
from plankspindle_daemon.idempotency.fingerprint import fingerprint_of
from plankspindle_daemon.listeners.idempotency_checker import AnsweredWithoutRunning
from plankspindle_daemon.listeners.idempotency_checker import IdempotencyChecker
from plankspindle_daemon.listeners.idempotency_checker import RunRequest
from plankspindle_daemon.listeners.idempotency_checker import SendHome
from plankspindle_daemon.listeners.request_deadline import RequestDeadline
from plankspindle_daemon.listeners.request_resolver import RequestResolver
from plankspindle_daemon.listeners.request_resolver import ResolvedRequest
from plankspindle_daemon.listeners.runner_factory import RoutingDecision
from plankspindle_daemon.listeners.runner_factory import RunnerFactory
from plankspindle_daemon.membership.messages import SendHeartbeat
from plankspindle_daemon.node.effect_runner import EffectRunner
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.node.pause_monitor import PauseMonitor
from plankspindle_daemon.observability.request_metrics import RequestMetrics
from plankspindle_daemon.reachability.relay_ticket import RelayTicket
from plankspindle_daemon.settings.daemon_settings import DaemonSettings
from plankspindle_daemon.shifts.shift_meter import Move
from plankspindle_daemon.traces.request_trace import Completion
from plankspindle_daemon.traces.request_trace import RequestTrace
from plankspindle_daemon.traces.request_trace_log import RequestTraceLog
from plankspindle_daemon.traces.steps import ClaimDecided
from plankspindle_daemon.traces.steps import RelayAccepted
from plankspindle_daemon.traces.steps import Routed

if TYPE_CHECKING:
    from plankspindle_core.http.server_exchange import ServerExchange
    from plankspindle_daemon.exchange.request_body import RequestBody
    from plankspindle_daemon.headroom.grant_table import HeldGrant
    from plankspindle_daemon.reachability.relay_admission import DeclineReason


OVERTAKEN = "configuration-overtaken"
"""Reason where callers were served by a later version through other VMs."""
OVERTAKEN_RETRY_AFTER_S = 0.1
"""Time in which this VM fetches that version, in seconds."""


@define(kw_only=True)
class RequestService:
    """Serve requests of callers for services.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the process.
    node : Node
        Decision logic and state of this entry VM.
    runners : RunnerFactory
        Creates the runners of requests.
    idempotency_checker : IdempotencyChecker
        Decides on request ids and idempotency keys.
    metrics : RequestMetrics
        Request counters.
    resolver : RequestResolver
        Resolves requests to services and callers.
    dialect : Dialect
        Header names.
    trace_log : RequestTraceLog
        Logs completed requests.
    pause_monitor : PauseMonitor
        Detects that the process was paused.
    effects : EffectRunner
        Sends messages to other entry VMs.
    running : int
        Number of requests that run or wait here.
    """

    settings: DaemonSettings
    node: Node
    runners: RunnerFactory
    idempotency_checker: IdempotencyChecker
    metrics: RequestMetrics
    resolver: RequestResolver
    dialect: Dialect
    trace_log: RequestTraceLog
    pause_monitor: PauseMonitor
    effects: EffectRunner
    running: int = 0

    async def serve(self, source: ServerExchange) -> None:
        """Serve one request, and count and log it however it completes."""
        self.running += 1
        trace = self.trace_log.start_trace(
            self._caller_request_id(source), now=monotonic(), wall=time.time()
        )
        try:
            await self.pause_monitor.check()
            await self._serve_counted(source, trace)
        except CallerDisconnectedError:
            raise
        except Exception:
            trace.complete(Completion.UNKNOWN, reason="internal-error")
            raise
        finally:
            self.running -= 1
            now = monotonic()
            self.metrics.record_request(trace, now)
            self.trace_log.log_completed(trace, now)

    def _caller_request_id(self, source: ServerExchange) -> bytes | None:
        """Return the id that the caller gave its request, if any."""
        name = self.dialect.echo or header_names.REQUEST_ID
        return find_header(source.headers, name)

    async def _serve_counted(self, source: ServerExchange, trace: RequestTrace) -> None:
        relay = self._admit_relay(source)
        if relay.is_err():
            declined = _not_run(relay.unwrap_err().value)
            await answer_with_outcome(source, declined, self.dialect, trace)
            return
        ticket = relay.unwrap()
        if ticket is None:
            await self._serve_resolved(source, trace, None)
            return
        admission = self.node.relay_admission
        await self._announce_version(ticket)
        admission.in_flight += 1
        try:
            await self._serve_resolved(source, trace, ticket)
        finally:
            admission.in_flight -= 1

    async def _announce_version(self, ticket: RelayTicket) -> None:
        """Announce the version in force to a VM that relays and may not know it.

        Its callers observe that version before it has the answer to its relay.
        """
        sender = self.node.membership.members_by_name.get(ticket.sender)
        admission, version = self.node.relay_admission, self.node.version
        if sender is not None and admission.must_announce(ticket, version, monotonic()):
            await self.effects.perform([SendHeartbeat(sender.peer_endpoint)])

    def _admit_relay(
        self, source: ServerExchange
    ) -> Result[RelayTicket | None, DeclineReason]:
        """Admit a request that another entry VM relays here, if it is one.

        Returns
        -------
        Result
            Its ticket, or None if no entry VM relayed it; or why it is declined.
        """
        sealed = find_header(source.headers, header_names.RELAY)
        if sealed is None:
            return Ok(None)
        ticket = RelayTicket.open(
            sealed,
            self.resolver.signer,
            target=source.target,
            wall_ms=int(time.time() * 1000),
        )
        reason = self.node.relay_admission.admit(
            ticket,
            reach=self.node.reach,
            readiness=self.node.readiness(),
            version=self.node.version,
        )
        return Ok(ticket) if reason is None else Err(reason)

    async def _serve_resolved(
        self, source: ServerExchange, trace: RequestTrace, relay: RelayTicket | None
    ) -> None:
        read = self.resolver.resolve(source, relay)
        must_relay = read.is_ok() and self.node.reach.is_cut_off
        if not must_relay and self._is_overtaken():
            overtaken = _not_run(OVERTAKEN, retry_after_s=OVERTAKEN_RETRY_AFTER_S)
            await answer_with_outcome(source, overtaken, self.dialect, trace)
            return
        if read.is_err():
            scheme = self.dialect.key_scheme
            await refuse(source, read.unwrap_err(), trace, key_scheme=scheme)
            return
        resolved = read.unwrap()
        deadline = RequestDeadline.for_request(resolved)
        self._record_routing(trace, resolved, deadline)
        if not self.node.accepts(monotonic()):
            leaving = _not_run(LEAVING, retry_after_s=LEAVING_RETRY_AFTER_S)
            await answer_with_outcome(source, leaving, self.dialect, trace)
            return
        request = resolved.request
        if request.grant is None:
            await self._serve_body(source, resolved, deadline, trace)
            return
        if not self.node.headroom.begin_moved(
            request.service, request.grant, monotonic()
        ):
            no_headroom = _not_run("no-headroom")
            await answer_with_outcome(source, no_headroom, self.dialect, trace)
            return
        try:
            await self._serve_body(source, resolved, deadline, trace)
        finally:
            self.node.headroom.end_moved(request.service, request.grant)

    def _is_overtaken(self) -> bool:
        """Return whether callers were served by a later version through other VMs."""
        return self.node.relays.is_overtaken(self.node.version, monotonic())

    def _record_routing(
        self, trace: RequestTrace, resolved: ResolvedRequest, deadline: RequestDeadline
    ) -> None:
        now, in_force = monotonic(), self.node.in_force
        trace.service = resolved.request.service
        trace.rank = resolved.identity.rank
        trace.target_s = resolved.target_s
        step = Routed(
            service=resolved.request.service,
            operation=resolved.operation_name,
            rank=resolved.identity.rank,
            idempotent=resolved.operation.idempotent,
            max_attempts=resolved.attempts_allowed,
            timeout_ms=resolved.operation.timeout_ms,
            left_ms=round((deadline.monotonic_s - now) * 1000),
            version=in_force.version.number,
            revision=in_force.version.revision,
            era=in_force.version.era,
            version_age_ms=in_force.age_ms(now),
        )
        trace.record(step, now)
        if resolved.relay is not None:
            relay = resolved.relay
            accepted = RelayAccepted(sender=relay.sender, attempts=relay.attempts)
            trace.record(accepted, now)

    async def _serve_body(
        self,
        source: ServerExchange,
        resolved: ResolvedRequest,
        deadline: RequestDeadline,
        trace: RequestTrace,
    ) -> None:
        limit = self.settings.requests.max_keyed_body_bytes
        read = await read_body_to_run(
            source,
            max_buffered_bytes=limit,
            max_bytes=self.node.in_force.caller_limits.max_body_bytes,
        )
        if read.is_err():
            match read.unwrap_err():
                case BadRequest() as error:
                    await refuse(source, error, trace)
                case reason:
                    not_run = _not_run(reason)
                    await answer_with_outcome(source, not_run, self.dialect, trace)
            return
        body = read.unwrap()
        if body.is_streamed and resolved.is_recorded:
            await refuse(source, refuse_longer_than(limit), trace)
            return
        grant = self._acquire_move_grant(source, resolved)
        try:
            routing = await self._choose_route(
                source, resolved, body, deadline, grant, trace
            )
            if isinstance(routing, AnsweredWithoutRunning):
                await self._answer(source, routing, trace)
            else:
                await self.runners.make(
                    source,
                    resolved,
                    body,
                    deadline,
                    routing,
                    trace,
                    self.settings.requests,
                ).run()
        finally:
            if grant is not None:
                self.node.headroom.grants.release(grant)

    async def _choose_route(
        self,
        source: ServerExchange,
        resolved: ResolvedRequest,
        body: RequestBody,
        deadline: RequestDeadline,
        held_grant: HeldGrant | None,
        trace: RequestTrace,
    ) -> RoutingDecision | AnsweredWithoutRunning:
        """Decide where the request is sent and where its outcome is recorded."""
        request = resolved.request
        if held_grant is not None:
            may_stay = request.idempotency_key is None
            route = ToPeer(endpoint=held_grant.endpoint, may_run_locally=may_stay)
            return RoutingDecision(route=route, grant=held_grant.request_id)
        if not resolved.is_recorded:
            return RoutingDecision()
        fingerprint = fingerprint_of(
            caller=resolved.identity.caller,
            service=request.service,
            method=source.method,
            path=request.path,
            body=body.content or b"",
        )
        decided = await self.idempotency_checker.decide(
            request, fingerprint, deadline=deadline.monotonic_s, now=monotonic()
        )
        verdict = (
            decided.verdict if isinstance(decided, AnsweredWithoutRunning) else decided
        )
        claim = ClaimDecided(
            verdict=type(verdict).__name__,
            platform_available=self.idempotency_checker.claims.platform.calls.available,
        )
        trace.record(claim, monotonic())
        match decided:
            case RunRequest(record=record):
                return RoutingDecision(record=record)
            case SendHome(endpoint=endpoint):
                route = ToPeer(endpoint=endpoint, may_run_locally=False)
                return RoutingDecision(route=route, may_have_run_elsewhere=True)
            case AnsweredWithoutRunning():
                return decided

    def _acquire_move_grant(
        self, source: ServerExchange, resolved: ResolvedRequest
    ) -> HeldGrant | None:
        """Count a request for the shifts, and acquire a grant if it is to move."""
        request, identity = resolved.request, resolved.identity
        is_from_peer = request.forwarded or resolved.relay is not None
        if is_from_peer or request.request_id is not None:
            return None
        meter, now = self.node.shift_meter, monotonic()
        caller_key = identity.caller or source.peer_host
        chosen = meter.choose(service=request.service, caller_key=caller_key, now=now)
        if not isinstance(chosen, Move) or not self.node.versions.head.is_fresh(now):
            return None
        held_grant = self.node.headroom.grants.acquire(
            service=request.service, region=chosen.to_region, now=now
        )
        if held_grant is not None:
            meter.record_move(service=request.service, move=chosen)
        return held_grant

    async def _answer(
        self,
        source: ServerExchange,
        answered: AnsweredWithoutRunning,
        trace: RequestTrace,
    ) -> None:
        match answered.verdict:
            case verdicts.Replay(answer=answer):
                trace.complete(
                    Completion.SERVED, status=answer.status, reason="replayed"
                )
                replayed = (header_names.REPLAYED, b"1")
                await source.answer(
                    status=answer.status,
                    headers=[*answer.headers, replayed],
                    body=answer.body,
                )
            case _:
                await answer_with_outcome(source, answered.answer, self.dialect, trace)


def _not_run(reason: str, *, retry_after_s: float | None = None) -> AnswerCaller:
    return AnswerCaller(
        status=503,
        outcome=Outcome.NOT_RUN,
        reason=reason,
        retry_after_s=retry_after_s,
    )
