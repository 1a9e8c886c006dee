"""Simulation of requests at entry VMs: placement, attempts and answers."""

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
from plankspindle_daemon.dispatch.messages import RejectReason
from plankspindle_daemon.dispatch.messages import RequestArrived
from plankspindle_daemon.dispatch.messages import RequestWithdrawn
from plankspindle_daemon.node.effects import ServiceEffect
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.quarantine.quarantine_list import QuarantineEntry
from plankspindle_daemon.upstreams.fleet_limiter import incarnation_id_of
from plankspindle_testkit.lab.attempt_checks import AttemptChecks
from plankspindle_testkit.lab.completions import answer_completion_of
from plankspindle_testkit.lab.completions import completion_of
from plankspindle_testkit.lab.completions import statement_event_of
from plankspindle_testkit.lab.completions import unsent_completion_of
from plankspindle_testkit.lab.crash_record import CrashRecord
from plankspindle_testkit.lab.crash_simulator import CrashSimulator
from plankspindle_testkit.lab.deployment import Deployment
from plankspindle_testkit.lab.modelled_upstream import Work
from plankspindle_testkit.lab.oracle import Oracle
from plankspindle_testkit.lab.outcomes import Outcome
from plankspindle_testkit.lab.peer_network import PeerNetwork
from plankspindle_testkit.lab.relay_simulator import RelaySimulator
from plankspindle_testkit.lab.requests import MAX_ATTEMPTS
from plankspindle_testkit.lab.requests import NO_ATTEMPT
from plankspindle_testkit.lab.requests import ActiveRequest
from plankspindle_testkit.lab.requests import AnswerHead
from plankspindle_testkit.lab.requests import Request
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

EntryLookup = Callable[[int, float], QuarantineEntry | None]


@define(kw_only=True)
class RequestSimulator:
    """Simulates the requests at the entry VMs of a run.

    Parameters
    ----------
    finish : callable
        Called with each completed request and its outcome.
    schedule_retry : callable
        Called with each refused request and its Retry-After delay in seconds.
    oracle : Oracle, optional
        Places requests instead of the entry VMs.
    crashes : CrashRecord
        Record of crashes that requests cause.
    statements : StatementRecord
        Record of statements of upstreams, and of requests that reach them.
    """

    clock: SimulatedClock
    deployment: Deployment
    finish: Callable[[Request, Outcome], None]
    schedule_retry: Callable[[Request, float], None]
    crashes: CrashRecord
    statements: StatementRecord
    network: PeerNetwork
    oracle: Oracle | None = None
    relays: RelaySimulator = field(init=False)
    crash_simulator: CrashSimulator = field(init=False)
    attempt_checks: AttemptChecks = field(init=False)
    _numbers: count[int] = field(factory=count)
    _by_ticket: dict[int, ActiveRequest] = Factory(dict)
    _by_attempt: dict[int, ActiveRequest] = Factory(dict)

    def __attrs_post_init__(self) -> None:
        self.relays = RelaySimulator(
            clock=self.clock,
            deployment=self.deployment,
            place=self._place,
            refuse=self._refuse,
            handle=self.handle,
            by_attempt=self._by_attempt,
        )
        self.attempt_checks = AttemptChecks(clock=self.clock, abandon=self._abandon)
        self.crash_simulator = CrashSimulator(
            clock=self.clock,
            deployment=self.deployment,
            network=self.network,
            crashes=self.crashes,
            by_attempt=self._by_attempt,
            lose=self._lose,
        )

    def accept(self, request: Request, vm: LabVm) -> None:
        """Handle a request that arrives at an entry VM."""
        if not vm.is_up:
            self.finish(request, Outcome.FAILED)
            return
        operation = self._operation_of(request)
        active = ActiveRequest(
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
        if request.retry_count == 0:
            active.first_tries = self.relays.cuts.group_of(vm.name, self.clock.now)
        self._by_ticket[active.ticket.id] = active
        left_s = max(0.0, active.ticket.deadline - self.clock.now)
        self.clock.schedule(left_s, partial(self._expire, active))
        vm.registry.budgets_by_service[operation.service].record_fresh()
        self._place(active)

    def handle(self, vm: LabVm, service: str, event: DispatchEvent) -> None:
        """Pass an event to a dispatcher of an entry VM, and carry out its effects."""
        self.perform(vm, vm.limited.handle(service, event, self.clock.now))

    def perform(self, vm: LabVm, effects: list[NodeEffect]) -> None:
        """Carry out the effects of an entry VM's decisions."""
        for effect in effects:
            match effect:
                case SendToPeer():
                    self.network.send(vm, [effect])
                case ServiceEffect(effect=Assign() | Reject() as decision):
                    self._apply_decision(decision)
                case _:
                    pass

    def _apply_decision(self, decision: Assign | Reject) -> None:
        active = self._by_ticket.get(decision.ticket.id)
        if active is None:
            return
        if isinstance(decision, Assign):
            self._send(active, decision.upstream, decision.incarnation)
        elif decision.reason is RejectReason.CUT_OFF:
            self._place(active)
        else:
            self._refuse(active, decision.retry_after_s)

    def abort_all(self) -> None:
        """Fail all requests, as when all entry VMs stop."""
        for active in list(self._by_ticket.values()):
            self._complete(active, Outcome.FAILED)
            if active.upstream is not None:
                self._cancel(active.upstream, active.attempt)

    def _operation_of(self, request: Request) -> ModelOperation:
        return self.deployment.pattern.operations_by_name[request.operation]

    def _to_caller_s(self) -> float:
        return self.deployment.pattern.to_callers_ms / 1000

    def _is_quarantined(self, active: ActiveRequest, lookup: EntryLookup) -> bool:
        entry = lookup(active.request.identity, self.clock.now)
        if entry is not None:
            self._refuse(active, entry.next_probe_at - self.clock.now)
        return entry is not None

    def _place(self, active: ActiveRequest) -> None:
        quarantine, identity = active.vm.quarantine, active.request.identity
        if active.may_have_run and quarantine.is_suspected(identity):
            self._complete(active, Outcome.FAILED)
            return
        if self._is_quarantined(active, quarantine.blocking_entry):
            return
        if self.oracle is None:
            if not self.relays.relay(active):
                self._dispatch(active, RequestArrived(active.ticket))
            return
        upstream = self.oracle.choose(
            active.request.operation,
            active.request.key,
            domain=active.vm.domain,
            now=self.clock.now,
        )
        if upstream is None:
            self._complete(active, Outcome.REFUSED)
        else:
            self._send(active, upstream.name, upstream.incarnation)

    def _dispatch(
        self,
        active: ActiveRequest,
        event: RequestArrived | AttemptCompleted | RequestWithdrawn,
    ) -> None:
        self.handle(active.vm, active.service, event)

    def _end(self, active: ActiveRequest, *, is_served: bool) -> None:
        active.is_completed = True
        self._by_ticket.pop(active.ticket.id, None)
        self.relays.end(active)
        if active.first_tries is not None:
            active.first_tries.sent += 1
            active.first_tries.served += is_served

    def _refuse(self, active: ActiveRequest, retry_after_s: float) -> None:
        self._end(active, is_served=False)
        retry = partial(self.schedule_retry, active.request, retry_after_s)
        self.clock.schedule(self._to_caller_s(), retry)

    def _complete(self, active: ActiveRequest, outcome: Outcome) -> None:
        self._end(active, is_served=outcome in (Outcome.ON_TIME, Outcome.LATE))
        self.finish(active.request, outcome)

    def _send(self, active: ActiveRequest, upstream: str, incarnation: int) -> None:
        if self._is_quarantined(active, active.vm.quarantine.blocking_entry_on_send):
            self._dispatch(active, unsent_completion_of(active, upstream, incarnation))
            return
        active.upstream, active.incarnation = upstream, incarnation
        active.attempts += 1
        active.attempt = next(self._numbers)
        active.sent_at = self.clock.now
        self._by_attempt[active.attempt] = active
        failure = active.vm.cut_failure
        if failure is not None:
            self.relays.schedule_connect_failure(active, failure)
            return
        active.vm.reach.record_sent(self.clock.now)
        is_idempotent = self._operation_of(active.request).idempotent
        if is_idempotent and self.oracle is None:
            self.attempt_checks.schedule(active, active.attempt)
        # Requests that are not idempotent open a new connection: one more round trip.
        trips = 1 if is_idempotent else 3
        work = Work(
            number=active.attempt,
            operation=active.request.operation,
            key=active.request.key,
            crash=active.request.crash,
        )
        if work.crash is not None:
            self.crashes.record_sent(active.request.identity, self.clock.now)
        arrival = partial(self._arrive, active, upstream, work)
        self.clock.schedule(trips * self._one_way_s(active, upstream), arrival)

    def _one_way_s(self, active: ActiveRequest, upstream: str) -> float:
        other = self.deployment.upstreams_by_name[upstream].domain
        return self.deployment.one_way_s(active.vm.domain, other)

    def _abandon(
        self, active: ActiveRequest, outcome: AttemptOutcome, load: int | None = None
    ) -> None:
        """End an attempt without an answer, and retry if the budget allows it."""
        upstream = active.upstream
        assert upstream is not None
        self._cancel(upstream, active.attempt)
        completion = completion_of(active, upstream, outcome, self.clock.now, load)
        active.upstream, active.attempt = None, NO_ATTEMPT
        excluded = active.ticket.excluded_upstreams | frozenset({upstream})
        active.ticket = active.ticket.excluding(excluded)
        self._dispatch(active, completion)
        budget = active.vm.registry.budgets_by_service[active.service]
        if active.attempts < MAX_ATTEMPTS and budget.acquire():
            self._place(active)
        else:
            self._refuse(active, 0.0)

    def _cancel(self, upstream: str, attempt: int) -> None:
        """Cancel an attempt by closing its connection."""
        self._by_attempt.pop(attempt, None)
        target = self.deployment.upstreams_by_name[upstream]
        if target.has_attempt(attempt):
            self._run(target, target.complete(attempt, self.clock.now))

    def _expire(self, active: ActiveRequest) -> None:
        """Fail a request whose deadline has passed."""
        if active.is_completed:
            return
        upstream = active.upstream
        self._complete(active, Outcome.FAILED)
        if upstream is None:
            self._dispatch(active, RequestWithdrawn(active.ticket.id))
            return
        self._cancel(upstream, active.attempt)
        self._dispatch(
            active,
            completion_of(active, upstream, AttemptOutcome.TIMED_OUT, self.clock.now),
        )

    def _arrive(self, active: ActiveRequest, upstream: str, work: Work) -> None:
        if active.is_completed or active.attempt != work.number:
            return
        target = self.deployment.upstreams_by_name[upstream]
        active.vm.reach.record_connected(upstream, self.clock.now)
        self.statements.record_arrival(upstream, active.vm.name, self.clock.now)
        if target.refuses_connections:
            loss = partial(self._lose, active, work.number, AttemptOutcome.UNREACHABLE)
            self.clock.schedule(self._one_way_s(active, upstream), loss)
            return
        if target.is_dead:
            return
        if target.sheds():
            head = AnswerHead(load=target.load, statement=target.statement())
            shed = partial(self._shed, active, work.number, head)
            self.clock.schedule(self._one_way_s(active, upstream), shed)
            return
        self._run(target, target.offer(work, self.clock.now))

    def _shed(self, active: ActiveRequest, attempt: int, head: AnswerHead) -> None:
        if active.is_completed or active.attempt != attempt:
            return
        self._relay(active, head.statement)
        if self.oracle is None:
            self._abandon(active, AttemptOutcome.SHED, head.load)
        else:
            self._place(active)

    def _run(self, upstream: ModelledUpstream, started: StartedWork | None) -> None:
        if started is None:
            return
        work, incarnation = started.work, upstream.incarnation
        if work.crash is not None:
            self.crash_simulator.schedule(upstream, work, work.crash)
            return
        completion = partial(self._finish, upstream, work, incarnation)
        self.clock.schedule(started.duration_s, completion)

    def _lose(self, active: ActiveRequest, attempt: int, cause: AttemptOutcome) -> None:
        """Handle the loss of the connection of an attempt."""
        if active.is_completed or active.attempt != attempt:
            return
        if cause is AttemptOutcome.FAILED:
            active.may_have_run = True
            self.crash_simulator.report(active)
        is_idempotent = self._operation_of(active.request).idempotent
        if is_idempotent or cause is AttemptOutcome.UNREACHABLE:
            self._abandon(active, cause)
            return
        upstream = active.upstream
        assert upstream is not None
        self._by_attempt.pop(attempt, None)
        self._complete(active, Outcome.FAILED)
        self._dispatch(active, completion_of(active, upstream, cause, self.clock.now))

    def _finish(self, upstream: ModelledUpstream, work: Work, incarnation: int) -> None:
        if upstream.incarnation != incarnation or not upstream.has_attempt(work.number):
            return
        self._run(upstream, upstream.complete(work.number, self.clock.now))
        active = self._by_attempt.pop(work.number, None)
        if upstream.is_dead or active is None:
            return
        statement = upstream.statement_in(work.number)
        head = AnswerHead(load=upstream.load, statement=statement)
        answer = partial(self._answer, active, work.number, head)
        self.clock.schedule(self._one_way_s(active, upstream.name), answer)

    def _relay(self, active: ActiveRequest, statement: UpstreamStatement) -> None:
        """Pass the statement in an answer to the entry VM."""
        upstream, vm = active.upstream, active.vm
        if upstream is None or self.oracle is not None:
            return
        event = statement_event_of(active, upstream, statement)
        if statement.is_empty:
            incarnation_id = incarnation_id_of(upstream, event.incarnation)
            vm.registry.statements.record_unlimited(incarnation_id, event.sent_at)
        self.handle(vm, active.service, event)
        self.statements.record_statement(upstream, vm.name, statement, self.clock.now)

    def _answer(self, active: ActiveRequest, attempt: int, head: AnswerHead) -> None:
        upstream = active.upstream
        if active.is_completed or active.attempt != attempt or upstream is None:
            return
        if active.vm.cut_failure is not None:
            return
        active.vm.reach.record_answered(self.clock.now)
        self._relay(active, head.statement)
        target_s = self._operation_of(active.request).target_ms / 1000
        total_s = self.clock.now - active.request.first_at + self._to_caller_s()
        total_s += self.relays.delay_s(active)
        self._complete(active, Outcome.ON_TIME if total_s <= target_s else Outcome.LATE)
        connect_s = 2 * self._one_way_s(active, upstream)
        event = answer_completion_of(active, upstream, head, connect_s, self.clock.now)
        self._dispatch(active, event)
        if active.vm.quarantine.is_active:
            identity, now = active.request.identity, self.clock.now
            updates = active.vm.quarantine.record_completion(identity, now)
            self.network.send(active.vm, updates)
