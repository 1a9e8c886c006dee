"""Tests of the exchange state machine, against a count of the real runs."""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.outcome import Outcome
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.exchange import messages as m
from plankspindle_daemon.exchange.exchange import Completed
from plankspindle_daemon.exchange.exchange import Exchange
from plankspindle_daemon.retries.retry_budget import RetryBudget

ENDPOINT = Endpoint("127.0.0.1", 9001)


class ExchangeMachine(RuleBasedStateMachine):
    """Run an exchange through every fault at every step."""

    def __init__(self) -> None:
        super().__init__()
        self.runs = 0
        self.answers: list[m.AnswerCaller | m.AbortCaller | m.RelayAnswer] = []
        self.slots_taken = 0
        self.slots_returned = 0
        self.effects: list[m.ExchangeEffect] = []

    @initialize(
        idempotent=st.booleans(),
        resendable=st.booleans(),
        is_forwarded=st.booleans(),
        max_attempts=st.integers(1, 4),
    )
    def begin(
        self, idempotent: bool, resendable: bool, is_forwarded: bool, max_attempts: int
    ) -> None:
        route = (
            m.ToPeer(endpoint=ENDPOINT, may_run_locally=True)
            if is_forwarded
            else m.ToUpstream()
        )
        self.idempotent = idempotent
        self.exchange = Exchange(
            policy=m.ExecutionPolicy(
                idempotent=idempotent,
                resendable=resendable,
                recorded=False,
                max_attempts=max_attempts,
            ),
            route=route,
            budget=RetryBudget(percent=100),
        )
        self._apply(self.exchange.begin())

    def _apply(self, effects: list[m.ExchangeEffect]) -> None:
        self.effects = effects
        assert self.exchange.attempts <= self.exchange.policy.max_attempts
        for effect in effects:
            if isinstance(effect, m.ReleaseUpstream):
                self.slots_returned += 1
            if isinstance(effect, m.AnswerCaller | m.AbortCaller):
                self.answers.append(effect)
            if isinstance(effect, m.AnswerCaller) and effect.outcome is Outcome.NOT_RUN:
                assert self.runs == 0

    def _is_waiting_for(self, kind: type[m.ExchangeEffect]) -> bool:
        return bool(self.effects) and isinstance(self.effects[-1], kind)

    def _handle(self, event: m.ExchangeEvent) -> None:
        self._apply(self.exchange.handle(event))

    @precondition(lambda self: self._is_waiting_for(m.FindUpstream))
    @rule()
    def upstream_found(self) -> None:
        self.slots_taken += 1
        name = f"u{self.slots_taken}"
        assert name not in self.exchange.excluded
        self._handle(m.Assigned(upstream=name, endpoint=ENDPOINT))

    @precondition(lambda self: self._is_waiting_for(m.FindUpstream))
    @rule()
    def upstream_refused(self) -> None:
        self._handle(m.Refused(reason="queue-full", retry_after_s=1.0))

    @precondition(lambda self: self._is_waiting_for(m.FindUpstream))
    @rule()
    def relay_found(self) -> None:
        self.slots_taken += 1
        name = f"vm{self.slots_taken}"
        assert name not in self.exchange.excluded_relays
        self._handle(m.RelayAssigned(vm=name, endpoint=ENDPOINT))

    @precondition(
        lambda self: (
            self._is_waiting_for(m.SendRequest) and self.exchange.relay is not None
        )
    )
    @rule()
    def relay_refuses(self) -> None:
        refused = m.Refused(reason="busy", retry_after_s=0.1)
        self._handle(m.HeadReceived(proves_not_run=True, refused=refused))
        assert isinstance(self.exchange.state, Completed)

    @precondition(lambda self: self._is_waiting_for(m.OpenConnection))
    @rule(succeeds=st.booleans())
    def connection_opened(self, succeeds: bool) -> None:
        effect = self.effects[-1]
        assert isinstance(effect, m.OpenConnection)
        assert effect.fresh or self.idempotent
        self._handle(m.Connected() if succeeds else m.ConnectFailed())

    @precondition(lambda self: self._is_waiting_for(m.SendRequest))
    @rule(ran=st.booleans(), handed_over=st.booleans())
    def upstream_lost(self, ran: bool, handed_over: bool) -> None:
        self.runs += int(ran and handed_over)
        assert self.idempotent or self.runs <= 1
        self._handle(m.ConnectionBroken(bytes_handed_over=handed_over))

    @precondition(
        lambda self: (
            self._is_waiting_for(m.SendRequest)
            and self.idempotent
            and self.exchange.can_retry()
        )
    )
    @rule(ran=st.booleans())
    def upstream_is_unresponsive(self, ran: bool) -> None:
        self.runs += int(ran)
        self._handle(m.UpstreamUnresponsive())
        assert self._is_waiting_for(m.FindUpstream)

    @precondition(lambda self: self._is_waiting_for(m.SendRequest))
    @rule()
    def upstream_sheds(self) -> None:
        self._handle(m.HeadReceived(proves_not_run=True))

    @precondition(lambda self: self._is_waiting_for(m.SendRequest))
    @rule()
    def upstream_answers(self) -> None:
        self.runs += 1
        assert self.idempotent or self.runs <= 1
        self._handle(m.HeadReceived())

    @precondition(lambda self: self._is_waiting_for(m.RelayAnswer))
    @rule(is_complete=st.booleans())
    def answer_relayed(self, is_complete: bool) -> None:
        self._handle(
            m.AnswerRelayed()
            if is_complete
            else m.ConnectionBroken(bytes_handed_over=True)
        )
        assert is_complete or isinstance(self.effects[-1], m.AbortCaller)

    @rule(ran=st.booleans())
    def deadline_passes(self, ran: bool) -> None:
        self.runs += int(ran and self._is_waiting_for(m.SendRequest))
        self._handle(m.DeadlineExceeded())
        assert isinstance(self.exchange.state, Completed)

    @precondition(lambda self: bool(self.effects))
    @rule()
    def caller_disconnects(self) -> None:
        self._handle(m.CallerDisconnected())
        assert not any(
            isinstance(effect, m.ReleaseUpstream)
            and effect.outcome is AttemptOutcome.ANSWERED
            for effect in self.effects
        )

    def teardown(self) -> None:
        assert len(self.answers) <= 1
        if not isinstance(self.exchange.state, Completed):
            self._handle(m.DeadlineExceeded())
        assert self.slots_taken == self.slots_returned


TestExchange = ExchangeMachine.TestCase


def test_idempotent_request_is_retried_at_another_upstream() -> None:
    exchange = Exchange(
        policy=m.ExecutionPolicy(idempotent=True, resendable=True, recorded=False),
        route=m.ToUpstream(),
        budget=RetryBudget(percent=10),
    )
    exchange.begin()
    exchange.handle(m.Assigned(upstream="u1", endpoint=ENDPOINT))
    exchange.handle(m.Connected())
    effects = exchange.handle(m.ConnectionBroken(bytes_handed_over=True))
    assert effects == [
        m.ReleaseUpstream(AttemptOutcome.FAILED),
        m.FindUpstream(frozenset({"u1"})),
    ]


def test_non_idempotent_request_is_answered_unknown_after_a_lost_connection() -> None:
    exchange = Exchange(
        policy=m.ExecutionPolicy(idempotent=False, resendable=True, recorded=True),
        route=m.ToUpstream(),
        budget=RetryBudget(percent=10),
    )
    exchange.begin()
    exchange.handle(m.Assigned(upstream="u1", endpoint=ENDPOINT))
    exchange.handle(m.Connected())
    effects = exchange.handle(m.ConnectionBroken(bytes_handed_over=True))
    answer = effects[-1]
    assert isinstance(answer, m.AnswerCaller)
    assert answer.outcome is Outcome.UNKNOWN


def test_request_with_an_id_of_another_process_is_never_answered_not_run() -> None:
    exchange = Exchange(
        policy=m.ExecutionPolicy(
            idempotent=False,
            resendable=True,
            recorded=True,
            may_have_run_elsewhere=True,
        ),
        route=m.ToPeer(endpoint=ENDPOINT, may_run_locally=False),
        budget=RetryBudget(percent=10),
    )
    exchange.begin()
    answer = exchange.handle(m.ConnectFailed())[-1]
    assert isinstance(answer, m.AnswerCaller)
    assert answer.outcome is Outcome.UNKNOWN


def build_idempotent(budget: RetryBudget, **terms: int) -> Exchange:
    exchange = Exchange(
        policy=m.ExecutionPolicy(
            idempotent=True, resendable=True, recorded=False, **terms
        ),
        route=m.ToUpstream(),
        budget=budget,
    )
    exchange.begin()
    return exchange


def test_first_unreachable_upstreams_use_no_retry_budget() -> None:
    budget = RetryBudget(percent=0, burst=0.0)
    budget.record_fresh()
    exchange = build_idempotent(budget)
    for number in range(3):
        exchange.handle(m.Assigned(upstream=f"u{number}", endpoint=ENDPOINT))
        assert isinstance(exchange.handle(m.ConnectFailed())[-1], m.FindUpstream)
    assert budget.retried == 0
    exchange.handle(m.Assigned(upstream="u3", endpoint=ENDPOINT))
    answer = exchange.handle(m.ConnectFailed())[-1]
    assert isinstance(answer, m.AnswerCaller)
    assert answer.outcome is Outcome.NOT_RUN


def test_attempts_are_limited_to_the_declared_maximum() -> None:
    exchange = build_idempotent(RetryBudget(percent=100), max_attempts=2)
    for number in range(2):
        exchange.handle(m.Assigned(upstream=f"u{number}", endpoint=ENDPOINT))
        exchange.handle(m.Connected())
        last = exchange.handle(m.ConnectionBroken(bytes_handed_over=True))[-1]
    assert isinstance(last, m.AnswerCaller)
    assert last.outcome is Outcome.UNKNOWN


def test_no_retry_is_possible_when_the_budget_is_exhausted() -> None:
    budget = RetryBudget(percent=0, burst=0.0)
    exchange = build_idempotent(budget)
    exchange.handle(m.Assigned(upstream="u1", endpoint=ENDPOINT))
    exchange.handle(m.Connected())
    assert not exchange.can_retry()


def fail_first_attempt(
    *, idempotent: bool = True, max_attempts: int = 3, resendable: bool = True
) -> Exchange:
    exchange = Exchange(
        policy=m.ExecutionPolicy(
            idempotent=idempotent,
            resendable=resendable,
            recorded=False,
            max_attempts=max_attempts,
        ),
        route=m.ToUpstream(),
        budget=RetryBudget(percent=100),
    )
    exchange.begin()
    exchange.handle(m.Assigned(upstream="u", endpoint=ENDPOINT))
    exchange.handle(m.Connected())
    exchange.handle(m.ConnectionBroken(bytes_handed_over=True))
    return exchange


def test_allowed_retry_is_recorded_with_its_cause() -> None:
    (decision,) = fail_first_attempt().retry_decisions
    assert (decision.taken, decision.because) == (True, "upstream-lost")


def test_denied_retry_is_recorded_with_the_reason() -> None:
    def denial_reason(**terms: Any) -> str:
        (decision,) = fail_first_attempt(**terms).retry_decisions
        assert not decision.taken
        return decision.because

    assert denial_reason(max_attempts=1) == "all attempts are used"
    assert denial_reason(idempotent=False) == "it may have run and must not run twice"
    assert denial_reason(resendable=False) == "its body is not at hand any more"


def test_retry_denied_by_an_exhausted_budget_is_recorded() -> None:
    exchange = fail_first_attempt()
    while exchange.budget.acquire():
        pass
    exchange.handle(m.Assigned(upstream="v", endpoint=ENDPOINT))
    exchange.handle(m.Connected())
    exchange.handle(m.ConnectionBroken(bytes_handed_over=True))
    decision = exchange.retry_decisions[-1]
    assert (decision.taken, decision.because) == (False, "retry budget is used up")
    assert decision.budget_left < 1.0


def test_misdirected_request_is_retried_at_another_upstream() -> None:
    exchange = Exchange(
        policy=m.ExecutionPolicy(idempotent=False, resendable=True, recorded=False),
        route=m.ToUpstream(),
        budget=RetryBudget(percent=100),
    )
    exchange.begin()
    exchange.handle(m.Assigned(upstream="u", endpoint=ENDPOINT))
    exchange.handle(m.Connected())
    effects = exchange.handle(m.HeadReceived(proves_not_run=True, is_misdirected=True))
    assert effects[0] == m.ReleaseUpstream(AttemptOutcome.MISDIRECTED)
    assert isinstance(effects[-1], m.FindUpstream)
    assert not exchange.may_have_run


def test_relay_that_is_declined_uses_neither_attempts_nor_retry_budget() -> None:
    budget = RetryBudget(percent=0, burst=0.0)
    exchange = build_idempotent(budget, max_attempts=2)
    for number in range(3):
        exchange.handle(m.RelayAssigned(vm=f"vm{number}", endpoint=ENDPOINT))
        exchange.handle(m.Connected())
        last = exchange.handle(m.HeadReceived(proves_not_run=True))[-1]
        assert isinstance(last, m.FindUpstream)
    assert exchange.attempts == 0
    assert exchange.excluded_relays == {"vm0", "vm1", "vm2"}
    assert not exchange.may_have_run


def test_lost_relay_leaves_no_attempt() -> None:
    """The other VM may have used all attempts that went with the relay."""
    exchange = build_idempotent(RetryBudget(percent=100), max_attempts=3)
    exchange.handle(m.RelayAssigned(vm="vm", endpoint=ENDPOINT))
    exchange.handle(m.Connected())
    answer = exchange.handle(m.ConnectionBroken(bytes_handed_over=True))[-1]
    assert isinstance(answer, m.AnswerCaller)
    assert answer.outcome is Outcome.UNKNOWN


def test_refusal_by_a_relay_is_passed_on_with_its_time_to_come_back() -> None:
    exchange = build_idempotent(RetryBudget(percent=100))
    exchange.handle(m.RelayAssigned(vm="vm", endpoint=ENDPOINT))
    exchange.handle(m.Connected())
    refused = m.Refused(reason="over-quota", retry_after_s=0.7, status=429)
    head = m.HeadReceived(proves_not_run=True, refused=refused)
    assert exchange.handle(head)[-1] == m.AnswerCaller(
        status=429, outcome=Outcome.NOT_RUN, reason="over-quota", retry_after_s=0.7
    )


def test_body_that_was_sent_on_as_it_came_is_not_sent_again_after_a_relay() -> None:
    exchange = Exchange(
        policy=m.ExecutionPolicy(idempotent=True, resendable=False, recorded=False),
        route=m.ToUpstream(),
        budget=RetryBudget(percent=100),
    )
    exchange.begin()
    exchange.handle(m.RelayAssigned(vm="vm", endpoint=ENDPOINT))
    exchange.handle(m.Connected())
    answer = exchange.handle(m.HeadReceived(proves_not_run=True))[-1]
    assert isinstance(answer, m.AnswerCaller)
    assert answer.outcome is Outcome.NOT_RUN


def test_connection_to_a_relay_is_kept_after_its_answer() -> None:
    exchange = build_idempotent(RetryBudget(percent=100))
    exchange.handle(m.RelayAssigned(vm="vm", endpoint=ENDPOINT))
    exchange.handle(m.Connected())
    exchange.handle(m.HeadReceived())
    effects = exchange.handle(m.AnswerRelayed())
    assert effects == [m.ReleaseUpstream(AttemptOutcome.ANSWERED)]


def test_relayed_request_adds_nothing_to_the_budget_where_it_is_served() -> None:
    budget = RetryBudget(percent=100, burst=0.0)
    exchange = Exchange(
        policy=m.ExecutionPolicy(idempotent=True, resendable=True, recorded=False),
        route=m.ToUpstream(),
        budget=budget,
        counts_as_fresh=False,
    )
    exchange.begin()
    assert budget.fresh == 0
