"""What entry VMs do with requests: place, send, leave, answer."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from itertools import count
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import field

from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import AttemptCompleted
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.dispatch.messages import Reject
from plankspindle_daemon.dispatch.messages import RequestArrived
from plankspindle_daemon.dispatch.messages import RequestWithdrawn
from plankspindle_daemon.exchange import attempt_timeout
from plankspindle_daemon.node.effects import ServiceEffect
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.quarantine.quarantine_list import QuarantineEntry
from plankspindle_testkit.lab.completions import answered_completion_of
from plankspindle_testkit.lab.completions import completion_of
from plankspindle_testkit.lab.completions import statement_event_of
from plankspindle_testkit.lab.completions import unsent_completion_of
from plankspindle_testkit.lab.crash_record import CrashRecord
from plankspindle_testkit.lab.deployment import Deployment
from plankspindle_testkit.lab.modelled_upstream import Work
from plankspindle_testkit.lab.oracle import Oracle
from plankspindle_testkit.lab.outcomes import Outcome
from plankspindle_testkit.lab.peer_network import PeerNetwork
from plankspindle_testkit.lab.requests import MAX_ATTEMPTS
from plankspindle_testkit.lab.requests import NO_ATTEMPT
from plankspindle_testkit.lab.requests import ActiveRequest
from plankspindle_testkit.lab.requests import Crash
from plankspindle_testkit.lab.requests import ReportedAnswer
from plankspindle_testkit.lab.requests import Request
from plankspindle_testkit.lab.requests import may_abandon
from plankspindle_testkit.lab.requests import ticket_of
from plankspindle_testkit.lab.simulated_clock import SimulatedClock
from plankspindle_testkit.lab.statement_record import StatementRecord

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.messages import DispatchEvent
    from plankspindle_daemon.node.effects import NodeEffect
    from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement
    from plankspindle_testkit.lab.lab_vm import LabVm
    from plankspindle_testkit.lab.modelled_upstream import ModelledUpstream
    from plankspindle_testkit.lab.modelled_upstream import StartedWork
    from plankspindle_testkit.lab.pattern import ModelOperation

BlockingEntryLookup = Callable[[int, float], QuarantineEntry | None]


@define(kw_only=True)
class RequestSimulator:
    """Requests at the entry VMs of a run.

    Parameters
    ----------
    clock : SimulatedClock
        The clock.
    deployment : Deployment
        Entry VMs and upstreams.
    finish : callable
        Takes a request and how it ended.
    schedule_retry : callable
        Takes a request that was refused, and the time to come back in seconds.
    oracle : Oracle, optional
        What places requests in place of the entry VMs.
    crashes : CrashRecord
        Where the ends of upstreams under requests are noted.
    statements : StatementRecord
        Where it is noted what upstreams say of themselves, and what they get.
    network : PeerNetwork
        Messages between entry VMs.
    """

    clock: SimulatedClock
    deployment: Deployment
    finish: Callable[[Request, Outcome], None]
    schedule_retry: Callable[[Request, float], None]
    crashes: CrashRecord
    statements: StatementRecord
    network: PeerNetwork
    oracle: Oracle | None = None
    _numbers: count[int] = field(factory=count)
    _by_ticket: dict[int, ActiveRequest] = Factory(dict)
    _by_attempt: dict[int, ActiveRequest] = Factory(dict)

    def accept(self, request: Request, vm: LabVm) -> None:
        """Take a request that reaches an entry VM."""
        if not vm.is_up:
            self.finish(request, Outcome.FAILED)
            return
        operation = self._operation_of(request)
        handled = ActiveRequest(
            request=request,
            vm=vm,
            ticket=ticket_of(
                request,
                operation,
                number=next(self._numbers),
                to_caller_s=self._to_caller_s(),
                now=self.clock.now,
            ),
            service=operation.service,
        )
        self._by_ticket[handled.ticket.id] = handled
        left_s = max(0.0, handled.ticket.deadline - self.clock.now)
        self.clock.schedule(left_s, partial(self._expire, handled))
        vm.registry.budgets_by_service[operation.service].record_fresh()
        self._place(handled)

    def handle(self, vm: LabVm, service: str, event: DispatchEvent) -> None:
        """Give an event to a dispatcher of an entry VM, and carry out what follows."""
        self.perform(vm, vm.limited.handle(service, event, self.clock.now))

    def perform(self, vm: LabVm, effects: list[NodeEffect]) -> None:
        """Carry out what an entry VM decided."""
        for effect in effects:
            match effect:
                case SendToPeer():
                    self.network.send(vm, [effect])
                case ServiceEffect(effect=Assign() | Reject() as decided):
                    self._apply_decision(decided)
                case _:
                    pass

    def _apply_decision(self, decided: Assign | Reject) -> None:
        handled = self._by_ticket.get(decided.ticket.id)
        if handled is None:
            return
        if isinstance(decided, Assign):
            self._send(handled, decided.upstream, decided.incarnation)
        else:
            self._refuse(handled, decided.retry_after_s)

    def abort_all(self) -> None:
        """End all requests, as when all entry VMs end."""
        for handled in list(self._by_ticket.values()):
            self._complete(handled, Outcome.FAILED)
            if handled.upstream is not None:
                self._cancel_attempt(handled.upstream, handled.attempt)

    def _operation_of(self, request: Request) -> ModelOperation:
        return self.deployment.pattern.operations_by_name[request.operation]

    def _to_caller_s(self) -> float:
        return self.deployment.pattern.to_callers_ms / 1000

    def _is_quarantined(
        self, handled: ActiveRequest, holding: BlockingEntryLookup
    ) -> bool:
        entry = holding(handled.request.identity, self.clock.now)
        if entry is not None:
            self._refuse(handled, entry.next_probe_at - self.clock.now)
        return entry is not None

    def _place(self, handled: ActiveRequest) -> None:
        quarantine, identity = handled.vm.quarantine, handled.request.identity
        if handled.may_have_run and quarantine.is_suspected(identity):
            self._complete(handled, Outcome.FAILED)
            return
        if self._is_quarantined(handled, quarantine.blocking_entry):
            return
        if self.oracle is None:
            self._dispatch(handled, RequestArrived(handled.ticket))
            return
        upstream = self.oracle.choose(
            handled.request.operation,
            handled.request.key,
            domain=handled.vm.domain,
            now=self.clock.now,
        )
        if upstream is None:
            self._complete(handled, Outcome.REFUSED)
        else:
            self._send(handled, upstream.name, upstream.incarnation)

    def _dispatch(
        self,
        handled: ActiveRequest,
        event: RequestArrived | AttemptCompleted | RequestWithdrawn,
    ) -> None:
        self.handle(handled.vm, handled.service, event)

    def _refuse(self, handled: ActiveRequest, retry_after_s: float) -> None:
        handled.is_completed = True
        self._by_ticket.pop(handled.ticket.id, None)
        back = partial(self.schedule_retry, handled.request, retry_after_s)
        self.clock.schedule(self._to_caller_s(), back)

    def _complete(self, handled: ActiveRequest, outcome: Outcome) -> None:
        handled.is_completed = True
        self._by_ticket.pop(handled.ticket.id, None)
        self.finish(handled.request, outcome)

    def _send(self, handled: ActiveRequest, upstream: str, incarnation: int) -> None:
        if self._is_quarantined(handled, handled.vm.quarantine.blocking_entry_on_send):
            self._dispatch(
                handled, unsent_completion_of(handled, upstream, incarnation)
            )
            return
        handled.upstream, handled.incarnation = upstream, incarnation
        handled.attempts += 1
        handled.attempt = next(self._numbers)
        handled.sent_at = self.clock.now
        self._by_attempt[handled.attempt] = handled
        is_idempotent = self._operation_of(handled.request).idempotent
        if is_idempotent and self.oracle is None:
            self._schedule_attempt_check(handled, handled.attempt)
        # A new connection costs the way there and back once more.
        ways = 1 if is_idempotent else 3
        work = Work(
            number=handled.attempt,
            operation=handled.request.operation,
            key=handled.request.key,
            crash=handled.request.crash,
        )
        if work.crash is not None:
            self.crashes.record_sent(handled.request.identity, self.clock.now)
        reach = partial(self._reach_upstream, handled, upstream, work)
        self.clock.schedule(ways * self._one_way_s(handled, upstream), reach)

    def _one_way_s(self, handled: ActiveRequest, upstream: str) -> float:
        other = self.deployment.upstreams_by_name[upstream].domain
        return self.deployment.one_way_s(handled.vm.domain, other)

    def _schedule_attempt_check(self, handled: ActiveRequest, attempt: int) -> None:
        dispatcher = handled.vm.registry.dispatchers_by_service[handled.service]
        usual_s = dispatcher.expected_duration_s(handled.ticket)
        wait_s = max(
            attempt_timeout.MIN_ATTEMPT_TIMEOUT_S,
            attempt_timeout.ATTEMPT_TIMEOUT_FACTOR * usual_s,
        )
        self.clock.schedule(wait_s, partial(self._check_attempt, handled, attempt))

    def _check_attempt(self, handled: ActiveRequest, attempt: int) -> None:
        """Leave an upstream that answers nobody, as an exchange does."""
        if handled.is_completed or handled.attempt != attempt:
            return
        if may_abandon(handled, self.clock.now):
            self._abandon_attempt(handled, AttemptOutcome.TIMED_OUT)
        else:
            self._schedule_attempt_check(handled, attempt)

    def _abandon_attempt(
        self, handled: ActiveRequest, verdict: AttemptOutcome, load: int | None = None
    ) -> None:
        """End an attempt without an answer, and make another one if that may be."""
        upstream = handled.upstream
        assert upstream is not None
        self._cancel_attempt(upstream, handled.attempt)
        ended = completion_of(handled, upstream, verdict, self.clock.now, load)
        handled.upstream, handled.attempt = None, NO_ATTEMPT
        excluded = handled.ticket.excluded_upstreams | frozenset({upstream})
        handled.ticket = handled.ticket.excluding(excluded)
        self._dispatch(handled, ended)
        budget = handled.vm.registry.budgets_by_service[handled.service]
        if handled.attempts < MAX_ATTEMPTS and budget.acquire():
            self._place(handled)
        else:
            self._refuse(handled, 0.0)

    def _cancel_attempt(self, upstream: str, attempt: int) -> None:
        """Break off an attempt: its connection is closed."""
        self._by_attempt.pop(attempt, None)
        known = self.deployment.upstreams_by_name[upstream]
        if known.has_attempt(attempt):
            self._schedule_completion(known, known.complete(attempt, self.clock.now))

    def _expire(self, handled: ActiveRequest) -> None:
        """End a request whose deadline has passed."""
        if handled.is_completed:
            return
        upstream = handled.upstream
        self._complete(handled, Outcome.FAILED)
        if upstream is None:
            self._dispatch(handled, RequestWithdrawn(handled.ticket.id))
            return
        self._cancel_attempt(upstream, handled.attempt)
        self._dispatch(
            handled,
            completion_of(handled, upstream, AttemptOutcome.TIMED_OUT, self.clock.now),
        )

    def _reach_upstream(
        self, handled: ActiveRequest, upstream: str, work: Work
    ) -> None:
        if handled.is_completed or handled.attempt != work.number:
            return
        known = self.deployment.upstreams_by_name[upstream]
        self.statements.record_arrival(upstream, handled.vm.name, self.clock.now)
        if known.refuses_connections:
            lost = partial(
                self._handle_connection_loss,
                handled,
                work.number,
                AttemptOutcome.UNREACHABLE,
            )
            self.clock.schedule(self._one_way_s(handled, upstream), lost)
            return
        if known.is_dead:
            return
        if known.sheds():
            told = ReportedAnswer(load=known.load, statement=known.statement())
            shed = partial(self._handle_shed, handled, work.number, told)
            self.clock.schedule(self._one_way_s(handled, upstream), shed)
            return
        self._schedule_completion(known, known.offer(work, self.clock.now))

    def _handle_shed(
        self, handled: ActiveRequest, attempt: int, told: ReportedAnswer
    ) -> None:
        if handled.is_completed or handled.attempt != attempt:
            return
        self._record_statement(handled, told.statement)
        if self.oracle is None:
            self._abandon_attempt(handled, AttemptOutcome.SHED, told.load)
        else:
            self._place(handled)

    def _schedule_completion(
        self, upstream: ModelledUpstream, begun: StartedWork | None
    ) -> None:
        if begun is None:
            return
        work, incarnation = begun.work, upstream.incarnation
        if work.crash is not None:
            crash = partial(self._crash, upstream, work, work.crash, incarnation)
            self.clock.schedule(work.crash.after_s, crash)
            return
        ends = partial(self._complete_work, upstream, work, incarnation)
        self.clock.schedule(begun.duration_s, ends)

    def _crash(
        self, upstream: ModelledUpstream, work: Work, crash: Crash, incarnation: int
    ) -> None:
        """End an upstream under a request; all that was there is lost."""
        if upstream.incarnation != incarnation or not upstream.has_attempt(work.number):
            return
        guilty = self._by_attempt.get(work.number)
        if guilty is not None:
            self.crashes.record_crash(guilty.request.identity, self.clock.now)
        self.crash_upstream(upstream)
        self.clock.schedule(crash.down_s, lambda: upstream.restart(self.clock.now))

    def crash_upstream(self, upstream: ModelledUpstream) -> None:
        """End the process of an upstream, and break off all that was there."""
        for number in upstream.crash():
            handled = self._by_attempt.get(number)
            if handled is not None:
                lost = partial(
                    self._handle_connection_loss, handled, number, AttemptOutcome.FAILED
                )
                self.clock.schedule(self._one_way_s(handled, upstream.name), lost)

    def _handle_connection_loss(
        self, handled: ActiveRequest, attempt: int, verdict: AttemptOutcome
    ) -> None:
        """Take the loss of the connection of an attempt."""
        if handled.is_completed or handled.attempt != attempt:
            return
        if verdict is AttemptOutcome.FAILED:
            handled.may_have_run = True
            self._report_crash(handled)
        is_idempotent = self._operation_of(handled.request).idempotent
        if is_idempotent or verdict is AttemptOutcome.UNREACHABLE:
            self._abandon_attempt(handled, verdict)
            return
        upstream = handled.upstream
        assert upstream is not None
        self._by_attempt.pop(attempt, None)
        self._complete(handled, Outcome.FAILED)
        self._dispatch(
            handled, completion_of(handled, upstream, verdict, self.clock.now)
        )

    def _complete_work(
        self, upstream: ModelledUpstream, work: Work, incarnation: int
    ) -> None:
        if upstream.incarnation != incarnation or not upstream.has_attempt(work.number):
            return
        self._schedule_completion(
            upstream, upstream.complete(work.number, self.clock.now)
        )
        handled = self._by_attempt.pop(work.number, None)
        if upstream.is_dead or handled is None:
            return
        said = upstream.statement_in(work.number)
        told = ReportedAnswer(load=upstream.load, statement=said)
        answer = partial(self._handle_answer, handled, work.number, told)
        self.clock.schedule(self._one_way_s(handled, upstream.name), answer)

    def _record_statement(
        self, handled: ActiveRequest, statement: UpstreamStatement
    ) -> None:
        """Tell an entry VM what an upstream said of itself in its answer."""
        upstream, vm = handled.upstream, handled.vm
        if upstream is None or self.oracle is not None:
            return
        self.handle(
            vm, handled.service, statement_event_of(handled, upstream, statement)
        )
        self.statements.record_statement(upstream, vm.name, statement, self.clock.now)

    def _report_crash(self, handled: ActiveRequest) -> None:
        """Tell the quarantine of the entry VM, as its probe of the upstream does."""
        news = handled.vm.quarantine.record_crash(
            handled.request.identity,
            f"{handled.upstream}#{handled.incarnation}",
            at=self.clock.now,
            now=self.clock.now,
        )
        self.network.send(handled.vm, news)

    def _handle_answer(
        self, handled: ActiveRequest, attempt: int, told: ReportedAnswer
    ) -> None:
        upstream = handled.upstream
        if handled.is_completed or handled.attempt != attempt or upstream is None:
            return
        self._record_statement(handled, told.statement)
        target_s = self._operation_of(handled.request).target_ms / 1000
        latency_s = self.clock.now - handled.request.first_at + self._to_caller_s()
        self._complete(
            handled, Outcome.ON_TIME if latency_s <= target_s else Outcome.LATE
        )
        connect_s = 2 * self._one_way_s(handled, upstream)
        ended = answered_completion_of(
            handled, upstream, told, connect_s, self.clock.now
        )
        self._dispatch(handled, ended)
        if handled.vm.quarantine.is_active:
            identity, now = handled.request.identity, self.clock.now
            news = handled.vm.quarantine.record_completion(identity, now)
            self.network.send(handled.vm, news)
