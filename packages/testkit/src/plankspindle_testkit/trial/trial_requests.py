"""Requests of a trial: their callers, entry VMs and executions."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define
from attrs import field

from plankspindle_core.outcome import Outcome
from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.dispatch import messages as dispatch
from plankspindle_daemon.exchange import messages as m
from plankspindle_daemon.exchange.exchange import Exchange
from plankspindle_daemon.idempotency.claim_row import ClaimRow
from plankspindle_daemon.idempotency.claim_row import ClaimState
from plankspindle_daemon.idempotency.claim_row import claim_key
from plankspindle_daemon.idempotency.fingerprint import Fingerprint
from plankspindle_daemon.idempotency.request_records import IdRecord
from plankspindle_daemon.idempotency.request_records import NoRecord
from plankspindle_daemon.idempotency.request_records import RequestRecord
from plankspindle_daemon.idempotency.verdicts import AnsweredUnrecorded
from plankspindle_daemon.idempotency.verdicts import InProgress
from plankspindle_daemon.idempotency.verdicts import Replay
from plankspindle_daemon.idempotency.verdicts import RunIt
from plankspindle_daemon.shifts.shift_meter import Move
from plankspindle_testkit.trial.fake_upstream import FakeUpstream
from plankspindle_testkit.trial.fake_upstream import Run
from plankspindle_testkit.trial.fake_upstream import UpstreamMode
from plankspindle_testkit.trial.ground_truth import GuaranteeViolatedError
from plankspindle_testkit.trial.trial_claims import TrialClaimRecord
from plankspindle_testkit.trial.trial_claims import TrialClaims
from plankspindle_testkit.trial.trial_request import TrialRequest
from plankspindle_testkit.trial.trial_vm import TrialVm
from plankspindle_testkit.trial.world import SERVICE
from plankspindle_testkit.trial.world import World

FINGERPRINT = Fingerprint(caller="dealer", digest="aa")
OTHER_CALLER = Fingerprint(caller="stranger", digest="aa")
OTHER_CALLER_SHARE = 0.1
"""Share of the repeats that are sent by another caller."""


@define(kw_only=True)
class TrialRequests:
    """Send requests, run them and record their outcomes.

    Parameters
    ----------
    world : World
        State of the trial.
    claims : TrialClaims
        Claims of idempotency keys.
    handle_dispatch : callable
        Passes an event to the dispatcher of a VM's service and performs the effects.
    """

    world: World
    claims: TrialClaims
    handle_dispatch: Callable[[TrialVm, str, dispatch.DispatchEvent], None]
    requests: int = 0
    count_by_outcome: dict[str, int] = field(factory=dict)
    _issued_ids: list[tuple[str, str]] = field(factory=list)
    _durations_by_request: dict[int, tuple[float, float]] = field(factory=dict)

    def submit_one(
        self, vm: str, *, kind: str, timeout_s: float, duration_s: float
    ) -> int:
        """Send one request, whose outcome is queried later.

        Parameters
        ----------
        vm : str
            Entry VM to which it is sent.
        kind : str
            ``lookup``, ``download``, ``id`` or ``key``.
        timeout_s, duration_s : float
            Timeout and duration of the request, in simulated seconds.

        Returns
        -------
        int
            Number of the request.
        """
        self.requests += 1
        number = self.requests
        self._durations_by_request[number] = (timeout_s, duration_s)
        node = self.world.vms_by_name[vm]
        match kind:
            case "id":
                self._submit_id(node, number)
            case "key":
                self._submit_key(node, number)
            case _:
                mark = f"{kind}-{number}"
                self.world.ground_truth.expect(mark, idempotent=True, unrepeated=True)
                self._start_request(node, number, mark, NoRecord())
        return number

    def outcome_of(self, number: int) -> str:
        """Return the outcome that the caller of a request saw."""
        seen = self.world.ground_truth.outcome_by_request.get(number)
        if seen is None:
            return "vm lost"
        return "aborted" if seen.outcome is None else seen.outcome.value

    def submit(self) -> None:
        """Send a random request to a random VM."""
        vm = self.world.vms_by_name[
            self.world.random.choice(sorted(self.world.vms_by_name))
        ]
        if vm.node.configuration is None or not vm.is_running(self.world.now):
            return
        if not vm.node.accepts(self.world.now):
            return
        kind = self.world.random.choice(
            ["lookup", "lookup", "transfer", "id", "id", "key"]
        )
        self.requests += 1
        number = self.requests
        match kind:
            case "lookup" | "transfer":
                mark = f"{kind}-{number}"
                self.world.ground_truth.expect(
                    mark, idempotent=kind == "lookup", unrepeated=True
                )
                self._start_request(vm, number, mark, NoRecord())
            case "id":
                self._submit_id(vm, number)
            case "key":
                self._submit_key(vm, number)

    def _submit_id(self, vm: TrialVm, number: int) -> None:
        """Send a request with a new id, or with a used one, issued by any VM."""
        if self._issued_ids and self.world.random.random() < 0.5:
            text, mark = self.world.random.choice(self._issued_ids[-20:])
            if self.world.random.random() < OTHER_CALLER_SHARE:
                self._repeat_as_other_caller(vm, text)
                return
        else:
            text, mark = vm.node.ids.issue(self.world.now), f"id-{number}"
            self._issued_ids.append((text, mark))
            self.world.ground_truth.expect(mark, idempotent=False, unrepeated=False)
        if vm.node.ids.begin(text, FINGERPRINT, self.world.now) == RunIt():
            record = IdRecord(ids=vm.node.ids, request_id=text)
            self._start_request(vm, number, mark, record)

    def _repeat_as_other_caller(self, vm: TrialVm, text: str) -> None:
        """Let another caller send a used id; its outcome must not be revealed."""
        claim_verdict = vm.node.ids.begin(text, OTHER_CALLER, self.world.now)
        if isinstance(claim_verdict, Replay | InProgress | AnsweredUnrecorded):
            raise GuaranteeViolatedError(
                f"outcome of {text} was revealed to another caller"
            )
        if claim_verdict == RunIt():
            vm.node.ids.release(text)

    def _submit_key(self, vm: TrialVm, number: int) -> None:
        key = f"key-{self.world.random.randrange(max(1, self.requests // 10))}"
        self.world.ground_truth.expect(key, idempotent=False, unrepeated=False)
        row_key = claim_key(service=SERVICE, idempotency_key=key)
        row = ClaimRow(
            fingerprint=FINGERPRINT,
            nonce=f"{self.world.random.getrandbits(64)}",
            state=ClaimState.CLAIMED,
            expires_at=self.world.wall() + 1e6,
        )
        if self.claims.claim(row_key, row) == RunIt():
            record = TrialClaimRecord(
                closings=self.claims.closings, key=row_key, row=row
            )
            self._start_request(vm, number, key, record)

    def _start_request(
        self, vm: TrialVm, number: int, mark: str, record: RequestRecord
    ) -> None:
        idempotent = mark in self.world.ground_truth.idempotent_marks
        timeout_s = self.world.random.choice([0.3, 1.0, 3.0])
        requested = self._durations_by_request.get(number)
        if requested is not None:
            timeout_s = requested[0]
        request = TrialRequest(
            number=number,
            mark=mark,
            vm=vm.place.name,
            service=SERVICE,
            exchange=Exchange(
                policy=m.ExecutionPolicy(
                    idempotent=idempotent,
                    resendable=True,
                    recorded=not isinstance(record, NoRecord),
                ),
                route=m.ToUpstream(),
                budget=vm.node.services.budgets_by_service[SERVICE],
            ),
            ticket=Ticket(
                id=number,
                rank=self.world.random.randrange(3),
                operation="GET /",
                deadline=self.world.now + timeout_s,
                expected_s=0.1,
            ),
            record=record,
        )
        vm.requests_by_number[number] = request
        self._count_move(vm, f"dealer-{number % 7}")
        request.begin()
        self._advance(vm, request)

    def _count_move(self, vm: TrialVm, caller_key: str) -> None:
        """Count a request that a shift would move; the move itself is not simulated."""
        meter = vm.node.shift_meter
        chosen = meter.choose(
            service=SERVICE, caller_key=caller_key, now=self.world.now
        )
        if isinstance(chosen, Move):
            meter.record_move(service=SERVICE, move=chosen)

    def handle(
        self, vm: TrialVm, request: TrialRequest, event: m.ExchangeEvent
    ) -> None:
        """Pass an event to a request and perform what follows from it."""
        if request.upstream is not None and isinstance(event, m.DeadlineExceeded):
            self.world.upstreams_by_name[request.upstream].cancel(
                request.number, request.vm
            )
        request.handle(event, self.world.now)
        self._advance(vm, request)

    def _advance(self, vm: TrialVm, request: TrialRequest) -> None:
        """Perform the effect that a request awaits, as far as possible now."""
        while request.completed_attempts:
            self.handle_dispatch(vm, request.service, request.completed_attempts.pop(0))
        if request.is_complete:
            self._finish(vm, request)
            return
        match request.awaited:
            case m.FindUpstream():
                request.awaited = None
                arrived = dispatch.RequestArrived(request.ticket)
                self.handle_dispatch(vm, request.service, arrived)
            case m.OpenConnection():
                self._open(vm, request)
            case m.SendRequest():
                request.awaited = None
                self._send_request(vm, request)
            case m.WithdrawTicket():
                withdrawn = dispatch.RequestWithdrawn(request.ticket.id)
                self.handle_dispatch(vm, request.service, withdrawn)
            case _:
                pass

    def apply_decision(
        self, vm: TrialVm, decision: dispatch.Assign | dispatch.Reject
    ) -> None:
        """Pass the dispatcher's assignment or rejection to a request."""
        request = vm.requests_by_number.get(decision.ticket.id)
        if request is None:
            return
        match decision:
            case dispatch.Assign(upstream=name, endpoint=endpoint):
                request.upstream = name
                self.handle(vm, request, m.Assigned(upstream=name, endpoint=endpoint))
            case dispatch.Reject(reason=reason, retry_after_s=retry_after_s):
                refusal = m.Refused(reason=reason.value, retry_after_s=retry_after_s)
                self.handle(vm, request, refusal)

    def _open(self, vm: TrialVm, request: TrialRequest) -> None:
        assert request.upstream is not None
        upstream = self.world.upstreams_by_name[request.upstream]
        down = upstream.mode is UpstreamMode.DOWN
        self.handle(vm, request, m.ConnectFailed() if down else m.Connected())

    def _send_request(self, vm: TrialVm, request: TrialRequest) -> None:
        assert request.upstream is not None
        upstream = self.world.upstreams_by_name[request.upstream]
        request.sent_at = self.world.now
        request.record.record_started()
        if self.world.random.random() < 0.02:
            request.record.record_not_run()
            self.handle(vm, request, m.ConnectionBroken(bytes_handed_over=False))
            return
        if upstream.mode is UpstreamMode.SHED:
            request.record.record_not_run()
            self.handle(vm, request, m.HeadReceived(proves_not_run=True))
            return
        duration = self.world.random.uniform(0.02, 0.2)
        requested = self._durations_by_request.get(request.number)
        if requested is not None:
            duration = requested[1]
        if upstream.mode is UpstreamMode.HANG:
            duration = 1e9
        deadline = request.ticket.deadline
        ends_at = min(self.world.now + duration, deadline)
        run = Run(request=request.number, vm=request.vm, ends_at=ends_at)
        self.world.ground_truth.record_run(request.mark, self.world.now)
        upstream.start(run, self.world.now)

    def finish_due_runs(self) -> None:
        """Finish the executions whose end is due."""
        for upstream in self.world.upstreams_by_name.values():
            for run in upstream.pop_finished(self.world.now):
                self.finish_run(upstream, run)

    def finish_run(self, upstream: FakeUpstream, run: Run) -> None:
        """Finish one execution; its answer reaches the VM once that is not paused."""
        vm = self.world.vms_by_name.get(run.vm)
        request = vm.requests_by_number.get(run.request) if vm else None
        if vm is None or request is None or request.upstream != upstream.name:
            return
        if not vm.is_running(self.world.now):
            vm.finished_while_paused.append((upstream, run))
            return
        if upstream.mode is UpstreamMode.LOSE_ANSWERS:
            self.handle(vm, request, m.ConnectionBroken(bytes_handed_over=True))
            return
        request.complete_answer(self.world.now)
        self._advance(vm, request)

    def _finish(self, vm: TrialVm, request: TrialRequest) -> None:
        if vm.requests_by_number.pop(request.number, None) is None:
            return
        outcome = None if request.aborted else request.outcome
        name = outcome.value if outcome is not None else "aborted"
        self.count_by_outcome[name] = self.count_by_outcome.get(name, 0) + 1
        self.world.ground_truth.record_outcome(
            request.number, request.mark, outcome, self.world.now
        )

    @property
    def done(self) -> int:
        """Number of requests with a complete answer."""
        return self.count_by_outcome.get(Outcome.DONE.value, 0)
