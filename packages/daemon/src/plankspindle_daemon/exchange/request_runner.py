"""Performs the effects of one exchange over real connections."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from curio import TaskTimeout

from plankspindle_core.classes import define
from plankspindle_core.http.headers import as_header_list
from plankspindle_core.http.server_exchange import CallerDisconnectedError
from plankspindle_core.outcome import Outcome
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.time_limit import TimeLimit
from plankspindle_core.time_limit import forget_frames
from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.dispatch.messages import RejectReason
from plankspindle_daemon.dispatch.messages import StatementReceived
from plankspindle_daemon.exchange.answers import answer_with_outcome
from plankspindle_daemon.exchange.answers import refuse
from plankspindle_daemon.exchange.attempt import Attempt
from plankspindle_daemon.exchange.attempt_headers import headers_for_caller
from plankspindle_daemon.exchange.attempt_timeout import AttemptTimeout
from plankspindle_daemon.exchange.exchange import Exchange
from plankspindle_daemon.exchange.messages import AbortCaller
from plankspindle_daemon.exchange.messages import AnswerCaller
from plankspindle_daemon.exchange.messages import AnswerRelayed
from plankspindle_daemon.exchange.messages import Assigned
from plankspindle_daemon.exchange.messages import CallerDisconnected
from plankspindle_daemon.exchange.messages import ClosePeerConnection
from plankspindle_daemon.exchange.messages import ConnectionBroken
from plankspindle_daemon.exchange.messages import DeadlineExceeded
from plankspindle_daemon.exchange.messages import ExchangeEffect
from plankspindle_daemon.exchange.messages import ExchangeEvent
from plankspindle_daemon.exchange.messages import FindUpstream
from plankspindle_daemon.exchange.messages import OpenConnection
from plankspindle_daemon.exchange.messages import Refused
from plankspindle_daemon.exchange.messages import RelayAnswer
from plankspindle_daemon.exchange.messages import ReleaseUpstream
from plankspindle_daemon.exchange.messages import SendRequest
from plankspindle_daemon.exchange.messages import WithdrawTicket
from plankspindle_daemon.exchange.outgoing_request import OutgoingRequest
from plankspindle_daemon.exchange.relaying import Relaying
from plankspindle_daemon.exchange.request_admission import RequestAdmission
from plankspindle_daemon.exchange.request_body import BodyTooLongError
from plankspindle_daemon.exchange.send_checks import LeaveCheck
from plankspindle_daemon.exchange.send_checks import QuarantineCheck
from plankspindle_daemon.idempotency.recorded_answer import build_recorded_answer
from plankspindle_daemon.idempotency.request_records import RequestRecord
from plankspindle_daemon.node.dispatch_runner import DispatchRunner
from plankspindle_daemon.node.uploads import Upload
from plankspindle_daemon.quarantine.crash_detector import CrashDetector
from plankspindle_daemon.quarantine.request_identity import RequestIdentity
from plankspindle_daemon.traces.request_trace import Completion
from plankspindle_daemon.traces.request_trace import RequestTrace
from plankspindle_daemon.traces.steps import Forwarded
from plankspindle_daemon.upstreams.connection_pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


@define(kw_only=True)
class RequestRunner:
    """Run one request from its dispatch to the end of its answer.

    Parameters
    ----------
    vm, service : str
        Names of this VM and of the requested service.
    outgoing : OutgoingRequest
        The request to send.
    exchange : Exchange
        State machine of the request.
    ticket : Ticket
        The request as admission sees it.
    record : RequestRecord
        Idempotency record, updated with the outcome.
    dispatch : DispatchRunner
        Assigns upstreams.
    pool : ConnectionPool
        Pool of connections to upstreams and other entry VMs.
    trace : RequestTrace
        Trace of the request.
    max_recorded_bytes : int
        Maximum length of an answer that is kept for replay, in bytes.
    identity : RequestIdentity
        Identity of the request, the same for retries of the caller under other ids.
    crash_detector : CrashDetector
        Counts upstreams that crash while they run a request.
    admission : RequestAdmission
        Checks API key and quota before each sending.
    quarantine : QuarantineCheck
        Checks the request against the quarantine before each sending.
    relaying : Relaying
        Decides on relays to other entry VMs.
    leave_check : LeaveCheck
        Checks before each sending that the request can end before a planned stop.
    """

    vm: str
    service: str
    outgoing: OutgoingRequest
    exchange: Exchange
    ticket: Ticket
    record: RequestRecord
    dispatch: DispatchRunner
    pool: ConnectionPool
    trace: RequestTrace
    max_recorded_bytes: int
    identity: RequestIdentity
    crash_detector: CrashDetector
    admission: RequestAdmission
    quarantine: QuarantineCheck
    relaying: Relaying
    leave_check: LeaveCheck
    _assigned: Assign | None = None
    _attempt: Attempt | None = None
    _caller_gone: bool = False

    @property
    def _ends_with_caller(self) -> bool:
        """Whether the request is given up once its caller has left."""
        return not self.exchange.policy.recorded

    async def run(self) -> None:
        """Run the request until it is completed.

        Notes
        -----
        A request that carries an id or key is completed even if its caller disconnects,
        so that a repeat gets the recorded answer.
        """
        watcher = None
        try:
            if self._ends_with_caller:
                watcher = await self.outgoing.source.monitor_caller()
            await self._run_with_deadline()
        except CallerDisconnectedError as error:
            forget_frames(error)
            await self._perform_all(self.exchange.handle(CallerDisconnected()))
            if isinstance(error, BodyTooLongError):
                await refuse(self.outgoing.source, error.refusal, self.trace)
        finally:
            await self._release()
            if watcher is not None:
                await watcher.cancel()

    async def _release(self) -> None:
        """Release what an unexpected error or a disconnected caller left acquired."""
        self.admission.close()
        self.relaying.end()
        if self._attempt is not None:
            await self._attempt.close()
        assigned, self._assigned = self._assigned, None
        if assigned is not None:
            await self.dispatch.handle(self.service, assigned.cancellation())

    async def _run_with_deadline(self) -> None:
        try:
            async with TimeLimit(max(0.0, self.ticket.deadline - monotonic())):
                event = await self._perform_all(self.exchange.begin())
                while event is not None:
                    event = await self._perform_all(self.exchange.handle(event))
        except TaskTimeout:
            await self._perform_all(self.exchange.handle(DeadlineExceeded()))

    async def _perform_all(self, effects: list[ExchangeEffect]) -> ExchangeEvent | None:
        event = None
        for effect in effects:
            if not isinstance(effect, ReleaseUpstream | ClosePeerConnection):
                self._record_retry_decisions()
            event = await self._perform(effect)
        return event

    def _record_retry_decisions(self) -> None:
        """Record retry decisions, after the completed attempt that led to them."""
        decisions = self.exchange.retry_decisions
        while decisions:
            self.trace.record(decisions.pop(0), monotonic())

    async def _perform(self, effect: ExchangeEffect) -> ExchangeEvent | None:
        match effect:
            case FindUpstream(excluded=excluded):
                return await self._find_upstream(excluded)
            case OpenConnection():
                return await self._open(effect)
            case SendRequest():
                return await self._send()
            case RelayAnswer():
                assert self._attempt is not None
                return await self._relay(self._attempt)
            case WithdrawTicket():
                await self.dispatch.withdraw(self.service, self.ticket)
            case ReleaseUpstream(outcome=outcome):
                await self._end_attempt(outcome)
            case ClosePeerConnection():
                await self._end_attempt(AttemptOutcome.CANCELLED)
            case AnswerCaller():
                await self._answer(effect)
            case AbortCaller():
                self.trace.complete(Completion.ABORTED, reason="answer-cut-off")
                self.outgoing.source.abort()
        return None

    async def _send(self) -> ExchangeEvent:
        assert self._attempt is not None
        if self._ends_with_caller:
            self.outgoing.source.check_connected()
        if self._assigned is not None:
            self.admission.record_sent()
            self.relaying.node.reach.record_sent(monotonic())
        event = await self._send_attempt(self._attempt)
        if not self._attempt.may_have_run:
            self.admission.record_not_run()
        if self._attempt.head is not None:
            if self._assigned is not None:
                self.relaying.node.reach.record_answered(monotonic())
            await self._apply_statement(self._attempt)
        return event

    async def _send_attempt(self, attempt: Attempt) -> ExchangeEvent:
        body, source = self.outgoing.body, self.outgoing.source
        if not body.is_streamed or attempt.assigned is None:
            return await attempt.send()
        upload = Upload(
            service=self.service,
            max_stall_s=self.outgoing.max_upload_stall_s,
            stalled_s=lambda: source.stalled_s if body.awaits_caller else 0.0,
            interrupt=source.shed,
        )
        with self.dispatch.uploads.include(upload):
            return await attempt.send()

    async def _apply_statement(self, attempt: Attempt) -> None:
        """Apply the statement in an answer, also in one that came by a relay.

        This VM passes the answer on, and must comply once it reaches upstreams again.
        """
        answered_by = attempt.answered_by
        if answered_by is None:
            return
        stated = StatementReceived(
            upstream=answered_by.name,
            incarnation=answered_by.incarnation,
            statement=attempt.statement,
            sent_at=attempt.sent_at,
        )
        await self.dispatch.apply_statement(self.service, stated)

    async def _find_upstream(self, excluded: frozenset[str]) -> ExchangeEvent:
        may_have_run = self.exchange.may_have_run
        refused = self.leave_check.refuse(self.ticket) or self.quarantine.refuse(
            may_have_run=may_have_run
        )
        if refused is not None:
            return refused
        relay = self.relaying.choose(self.ticket, self.exchange.excluded_relays)
        if relay is not None:
            return relay
        refused = await self.admission.admit()
        if refused is not None:
            return refused
        self.ticket = self.ticket.excluding(excluded)
        decision = await self.dispatch.await_upstream(
            self.service, self.ticket, self.trace
        )
        if isinstance(decision, Assign):
            self._assigned = decision
            refused = (
                self.leave_check.refuse(self.ticket)
                or self.quarantine.refuse_on_send(may_have_run=may_have_run)
                or self.admission.refuse_if_revoked()
            )
            if refused is not None:
                await self._release()
                return refused
            return Assigned(upstream=decision.upstream, endpoint=decision.endpoint)
        if decision.reason is RejectReason.CUT_OFF:
            return await self._find_upstream(excluded)
        return Refused(
            reason=decision.reason.value, retry_after_s=decision.retry_after_s
        )

    async def _open(self, effect: OpenConnection) -> ExchangeEvent:
        is_relay = self.exchange.relay is not None
        if self._assigned is None and not is_relay:
            self.trace.record(Forwarded(to=str(effect.endpoint)), monotonic())
        self.trace.attempts += 1
        self._attempt = Attempt(
            number=self.trace.attempts,
            outgoing=self.outgoing,
            ticket=self.ticket,
            assigned=self._assigned,
            timeout=AttemptTimeout(
                service=self.service, exchange=self.exchange, dispatch=self.dispatch
            ),
            pool=self.pool,
            record=self.record,
            trace=self.trace,
            relay=self.relaying if is_relay else None,
            attempts_left=self.exchange.policy.max_attempts - self.exchange.attempts,
        )
        event = await self._attempt.open(effect)
        self._record_contact(self._attempt)
        return event

    def _record_contact(self, attempt: Attempt) -> None:
        """Record whether a new connection was established."""
        failure, assigned, now = attempt.connect_failure, self._assigned, monotonic()
        if assigned is None and failure is not None:
            self.relaying.record_unreachable()
        if assigned is None:
            return
        if attempt.opened_connection:
            self.relaying.node.reach.record_connected(assigned.upstream, now)
        elif failure is not None and failure.was_attempted:
            self.relaying.node.reach.record_connect_failed(
                assigned.upstream, failure, now
            )

    async def _end_attempt(self, outcome: AttemptOutcome) -> None:
        if self._attempt is None:
            return
        # Both stay set until attempt.end returns, so that the slot is still released
        # if that is interrupted.
        attempt, assigned = self._attempt, self._assigned
        reach = self.relaying.node.reach
        completed = await attempt.end(outcome, is_doubtful=reach.is_doubtful)
        self._attempt = self._assigned = None
        self.relaying.end()
        if completed is not None:
            await self.dispatch.handle(self.service, completed)
        if assigned is not None and outcome is AttemptOutcome.ANSWERED:
            await self.crash_detector.handle_completion(self.identity)
        elif assigned is not None and attempt.connection_was_lost:
            await self.crash_detector.handle_connection_loss(self.identity, assigned)

    async def _relay(self, attempt: Attempt) -> ExchangeEvent:
        assert attempt.head is not None
        source, status = self.outgoing.source, attempt.head.status_code
        headers = headers_for_caller(
            as_header_list(attempt.head.headers),
            vm=self.vm,
            assigned=attempt.assigned,
            relaying=self.relaying,
        )
        await self._send_to_caller(
            partial(source.send_head, status=status, headers=headers)
        )
        if not attempt.is_answer_buffered:
            await self._send_to_caller(source.begin_streaming)
        recorded: list[bytes] | None = [] if self.exchange.policy.recorded else None
        size = 0
        while True:
            chunk = await attempt.next_chunk()
            if chunk.is_err():
                return ConnectionBroken(bytes_handed_over=True)
            data = chunk.unwrap()
            if data is None:
                break
            size += len(data)
            recorded = recorded if size <= self.max_recorded_bytes else None
            if recorded is not None:
                recorded.append(data)
            await self._send_to_caller(partial(source.send_data, data))
        self.record.finish(build_recorded_answer(status, headers, recorded))
        await self._send_to_caller(source.finish)
        self.trace.complete(Completion.SERVED, status=status)
        return AnswerRelayed()

    async def _send_to_caller(self, send: Callable[[], Awaitable[None]]) -> None:
        if self._caller_gone:
            return
        try:
            await send()
        except CallerDisconnectedError:
            if not self.exchange.policy.recorded:
                raise
            self._caller_gone = True
            self.outgoing.source.closes = True

    async def _answer(self, answer: AnswerCaller) -> None:
        if answer.outcome is Outcome.NOT_RUN:
            self.record.release()
        source = self.outgoing.source
        if source.head_sent:
            self.trace.complete(Completion.ABORTED, reason=answer.reason)
            source.abort()
            return
        await answer_with_outcome(source, answer, self.outgoing.dialect, self.trace)
