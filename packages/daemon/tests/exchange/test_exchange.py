"""State-machine test of one exchange against upstreams that know the truth."""

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
    """Drive an exchange through every fault at every step."""

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
        moved=st.booleans(),
        max_attempts=st.integers(1, 4),
    )
    def begin(
        self, idempotent: bool, resendable: bool, moved: bool, max_attempts: int
    ) -> None:
        route = (
            m.ToPeer(endpoint=ENDPOINT, may_run_locally=True)
            if moved
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
        self._take(self.exchange.begin())

    def _take(self, effects: list[m.ExchangeEffect]) -> None:
        self.effects = effects
        assert self.exchange.attempts <= self.exchange.policy.max_attempts
        for effect in effects:
            if isinstance(effect, m.ReleaseUpstream):
                self.slots_returned += 1
            if isinstance(effect, m.AnswerCaller | m.AbortCaller):
                self.answers.append(effect)
            if isinstance(effect, m.AnswerCaller) and effect.outcome is Outcome.NOT_RUN:
                assert self.runs == 0

    def _awaits(self, kind: type[m.ExchangeEffect]) -> bool:
        return bool(self.effects) and isinstance(self.effects[-1], kind)

    def _handle(self, event: m.ExchangeEvent) -> None:
        self._take(self.exchange.handle(event))

    @precondition(lambda self: self._awaits(m.FindUpstream))
    @rule()
    def upstream_found(self) -> None:
        self.slots_taken += 1
        name = f"u{self.slots_taken}"
        assert name not in self.exchange.excluded
        self._handle(m.Assigned(upstream=name, endpoint=ENDPOINT))

    @precondition(lambda self: self._awaits(m.FindUpstream))
    @rule()
    def upstream_refused(self) -> None:
        self._handle(m.Refused(reason="queue-full", retry_after_s=1.0))

    @precondition(lambda self: self._awaits(m.OpenConnection))
    @rule(succeeds=st.booleans())
    def connection_opened(self, succeeds: bool) -> None:
        wanted = self.effects[-1]
        assert isinstance(wanted, m.OpenConnection)
        assert wanted.fresh or self.idempotent
        self._handle(m.Connected() if succeeds else m.ConnectFailed())

    @precondition(lambda self: self._awaits(m.SendRequest))
    @rule(ran=st.booleans(), handed_over=st.booleans())
    def upstream_lost(self, ran: bool, handed_over: bool) -> None:
        self.runs += int(ran and handed_over)
        assert self.idempotent or self.runs <= 1
        self._handle(m.ConnectionBroken(bytes_handed_over=handed_over))

    @precondition(
        lambda self: (
            self._awaits(m.SendRequest)
            and self.idempotent
            and self.exchange.can_retry()
        )
    )
    @rule(ran=st.booleans())
    def upstream_falls_silent(self, ran: bool) -> None:
        self.runs += int(ran)
        self._handle(m.UpstreamUnresponsive())
        assert self._awaits(m.FindUpstream)

    @precondition(lambda self: self._awaits(m.SendRequest))
    @rule()
    def upstream_sheds(self) -> None:
        self._handle(m.HeadReceived(proves_not_run=True))

    @precondition(lambda self: self._awaits(m.SendRequest))
    @rule()
    def upstream_answers(self) -> None:
        self.runs += 1
        assert self.idempotent or self.runs <= 1
        self._handle(m.HeadReceived())

    @precondition(lambda self: self._awaits(m.RelayAnswer))
    @rule(whole=st.booleans())
    def answer_relayed(self, whole: bool) -> None:
        self._handle(
            m.AnswerRelayed() if whole else m.ConnectionBroken(bytes_handed_over=True)
        )
        assert whole or isinstance(self.effects[-1], m.AbortCaller)

    @rule(ran=st.booleans())
    def deadline_passes(self, ran: bool) -> None:
        self.runs += int(ran and self._awaits(m.SendRequest))
        self._handle(m.DeadlineExceeded())
        assert isinstance(self.exchange.state, Completed)

    @precondition(lambda self: bool(self.effects))
    @rule()
    def caller_goes(self) -> None:
        self._handle(m.CallerDisconnected())
        assert not any(
            isinstance(effect, m.ReleaseUpstream)
            and effect.verdict is AttemptOutcome.ANSWERED
            for effect in self.effects
        )

    def teardown(self) -> None:
        assert len(self.answers) <= 1
        if not isinstance(self.exchange.state, Completed):
            self._handle(m.DeadlineExceeded())
        assert self.slots_taken == self.slots_returned


TestExchange = ExchangeMachine.TestCase


def test_a_request_that_may_repeat_is_tried_at_another_upstream() -> None:
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


def test_a_transfer_whose_connection_broke_is_unknown_and_not_tried_again() -> None:
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


def test_a_foreign_id_is_never_answered_not_run() -> None:
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


def build_repeatable(budget: RetryBudget, **terms: int) -> Exchange:
    exchange = Exchange(
        policy=m.ExecutionPolicy(
            idempotent=True, resendable=True, recorded=False, **terms
        ),
        route=m.ToUpstream(),
        budget=budget,
    )
    exchange.begin()
    return exchange


def test_upstreams_that_were_never_reached_use_no_budget() -> None:
    budget = RetryBudget(percent=0, burst=0.0)
    budget.note_fresh()
    exchange = build_repeatable(budget)
    for number in range(3):
        exchange.handle(m.Assigned(upstream=f"u{number}", endpoint=ENDPOINT))
        assert isinstance(exchange.handle(m.ConnectFailed())[-1], m.FindUpstream)
    assert budget.retried == 0
    exchange.handle(m.Assigned(upstream="u3", endpoint=ENDPOINT))
    answer = exchange.handle(m.ConnectFailed())[-1]
    assert isinstance(answer, m.AnswerCaller)
    assert answer.outcome is Outcome.NOT_RUN


def test_a_request_is_sent_to_no_more_upstreams_than_declared() -> None:
    exchange = build_repeatable(RetryBudget(percent=100), max_attempts=2)
    for number in range(2):
        exchange.handle(m.Assigned(upstream=f"u{number}", endpoint=ENDPOINT))
        exchange.handle(m.Connected())
        last = exchange.handle(m.ConnectionBroken(bytes_handed_over=True))[-1]
    assert isinstance(last, m.AnswerCaller)
    assert last.outcome is Outcome.UNKNOWN


def test_a_silent_upstream_is_kept_when_no_retry_may_be_made() -> None:
    budget = RetryBudget(percent=0, burst=0.0)
    exchange = build_repeatable(budget)
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


def test_a_retry_that_is_taken_is_told_with_what_led_to_it() -> None:
    (decided,) = fail_first_attempt().retry_decisions
    assert (decided.taken, decided.because) == (True, "upstream-lost")


def test_a_retry_that_is_withheld_is_told_with_what_withheld_it() -> None:
    def why(**terms: Any) -> str:
        (decided,) = fail_first_attempt(**terms).retry_decisions
        assert not decided.taken
        return decided.because

    assert why(max_attempts=1) == "all attempts are used"
    assert why(idempotent=False) == "it may have run and must not run twice"
    assert why(resendable=False) == "its body is not at hand any more"


def test_a_budget_that_is_used_up_is_told() -> None:
    exchange = fail_first_attempt()
    while exchange.budget.take():
        pass
    exchange.handle(m.Assigned(upstream="v", endpoint=ENDPOINT))
    exchange.handle(m.Connected())
    exchange.handle(m.ConnectionBroken(bytes_handed_over=True))
    decided = exchange.retry_decisions[-1]
    assert (decided.taken, decided.because) == (False, "retry budget is used up")
    assert decided.budget_left < 1.0


def test_an_upstream_that_another_stands_in_for_is_given_up_as_gone() -> None:
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
