"""State machine of one request between its caller and an upstream."""

from __future__ import annotations

from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.invariants import check_invariant
from plankspindle_core.outcome import Outcome
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.exchange.messages import AbortCaller
from plankspindle_daemon.exchange.messages import AnswerCaller
from plankspindle_daemon.exchange.messages import AnswerRelayed
from plankspindle_daemon.exchange.messages import Assigned
from plankspindle_daemon.exchange.messages import CallerDisconnected
from plankspindle_daemon.exchange.messages import ClosePeerConnection
from plankspindle_daemon.exchange.messages import Connected
from plankspindle_daemon.exchange.messages import ConnectFailed
from plankspindle_daemon.exchange.messages import ConnectionBroken
from plankspindle_daemon.exchange.messages import DeadlineExceeded
from plankspindle_daemon.exchange.messages import ExchangeEffect
from plankspindle_daemon.exchange.messages import ExchangeEvent
from plankspindle_daemon.exchange.messages import ExecutionPolicy
from plankspindle_daemon.exchange.messages import FindUpstream
from plankspindle_daemon.exchange.messages import HeadReceived
from plankspindle_daemon.exchange.messages import OpenConnection
from plankspindle_daemon.exchange.messages import Refused
from plankspindle_daemon.exchange.messages import RelayAnswer
from plankspindle_daemon.exchange.messages import RelayAssigned
from plankspindle_daemon.exchange.messages import ReleaseUpstream
from plankspindle_daemon.exchange.messages import Route
from plankspindle_daemon.exchange.messages import SendRequest
from plankspindle_daemon.exchange.messages import ToPeer
from plankspindle_daemon.exchange.messages import ToUpstream
from plankspindle_daemon.exchange.messages import UpstreamUnresponsive
from plankspindle_daemon.exchange.messages import WithdrawTicket
from plankspindle_daemon.retries.retry_budget import RetryBudget
from plankspindle_daemon.traces.steps import RetryDecided

MAX_FREE_CONNECT_FAILURES = 3
"""Unreachable upstreams after which each further one uses the retry budget."""
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504


@frozen
class Waiting:
    """No upstream is assigned yet."""


@frozen
class Connecting:
    """A connection is being acquired."""

    upstream: str | None


@frozen
class AwaitingAnswer:
    """The request is being sent, or its answer is awaited."""

    upstream: str | None


@frozen
class Relaying:
    """The answer is being relayed to the caller."""

    upstream: str | None


@frozen
class Completed:
    """The exchange is over; no further steps follow."""


ExchangeState = Waiting | Connecting | AwaitingAnswer | Relaying | Completed


@define(kw_only=True)
class Exchange:
    """Decide the next step of one request after each event.

    Parameters
    ----------
    policy : ExecutionPolicy
        Whether and how often the request may be run.
    route : Route
        Destination of the first attempt.
    budget : RetryBudget
        Retry budget of the service.
    counts_as_fresh : bool
        Whether the request adds to the budget; not if it did so at another entry VM.

    Attributes
    ----------
    retry_decisions : list of RetryDecided
        Retries that were allowed or denied, for the request trace.
    relay : str or None
        Entry VM that the request is relayed to.
    excluded_relays : frozenset of str
        Entry VMs that did not serve it.

    Notes
    -----
    ``may_have_run`` is set when a byte of the request is handed to a socket and cleared
    only by an explicit statement of the other side that it did not run this attempt.
    While it is set, the caller never gets the outcome ``not-run``, and a non-idempotent
    request is never sent again.
    """

    policy: ExecutionPolicy
    route: Route
    budget: RetryBudget
    counts_as_fresh: bool = True
    state: ExchangeState = Waiting()
    may_have_run: bool = False
    attempts: int = 0
    excluded: frozenset[str] = frozenset()
    retry_decisions: list[RetryDecided] = field(factory=list)
    relay: str | None = None
    excluded_relays: frozenset[str] = frozenset()
    _may_have_run_before: bool = False
    _attempts_before: int = 0
    _was_sent: bool = False

    def begin(self) -> list[ExchangeEffect]:
        """Return the first step."""
        if self.counts_as_fresh:
            self.budget.record_fresh()
        match self.route:
            case ToUpstream():
                return [FindUpstream(self.excluded)]
            case ToPeer(endpoint=endpoint):
                self.state = Connecting(None)
                return [OpenConnection(endpoint=endpoint, fresh=True)]

    def handle(self, event: ExchangeEvent) -> list[ExchangeEffect]:
        """Handle one event and return the next steps, in order.

        Parameters
        ----------
        event : ExchangeEvent
            What happened.

        Returns
        -------
        list of ExchangeEffect
            Steps to perform; only the last one can lead to a further event.
        """
        match event:
            case Assigned() | RelayAssigned():
                return self._connect(event)
            case Refused():
                return self._refuse(event)
            case Connected():
                return self._send()
            case ConnectFailed() | UpstreamUnresponsive():
                return self._handle_no_answer(event)
            case HeadReceived():
                return self._handle_head(event)
            case ConnectionBroken(bytes_handed_over=handed_over):
                return self._handle_break(handed_over)
            case AnswerRelayed():
                return self._release(AttemptOutcome.ANSWERED, Completed())
            case CallerDisconnected():
                return self._handle_disconnect()
            case DeadlineExceeded():
                return self._handle_deadline()

    def _connect(self, assigned: Assigned | RelayAssigned) -> list[ExchangeEffect]:
        upstream = None
        if isinstance(assigned, RelayAssigned):
            self.relay = assigned.vm
        else:
            upstream = assigned.upstream
        self.state = Connecting(upstream)
        fresh = not self.policy.idempotent
        return [OpenConnection(endpoint=assigned.endpoint, fresh=fresh)]

    def _send(self) -> list[ExchangeEffect]:
        check_invariant(
            "non-idempotent-sent-once",
            self.policy.idempotent or not self.may_have_run,
        )
        self._attempts_before = self.attempts
        self._may_have_run_before = self.may_have_run
        # All attempts that are left go with a relay.
        is_relay = self.relay is not None
        self.attempts = self.policy.max_attempts if is_relay else self.attempts + 1
        self._was_sent = True
        self.may_have_run = True
        self.state = AwaitingAnswer(self._upstream())
        return [SendRequest()]

    def _handle_head(self, head: HeadReceived) -> list[ExchangeEffect]:
        if not head.proves_not_run:
            self.state = Relaying(self._upstream())
            return [RelayAnswer()]
        self._record_not_run()
        if head.refused is not None:
            effects = self._release(AttemptOutcome.CANCELLED, Waiting())
            return [*effects, *self._refuse(head.refused)]
        if head.is_misdirected:
            return self._handle_failure("upstream-gone", AttemptOutcome.MISDIRECTED)
        return self._handle_failure("upstream-shed", AttemptOutcome.SHED)

    def _record_not_run(self) -> None:
        """Undo the last sending, which provably had no effect."""
        self.may_have_run = self._may_have_run_before
        if self.relay is not None:
            self.attempts = self._attempts_before

    def _refuse(self, refused: Refused) -> list[ExchangeEffect]:
        return self._give_up(
            refused.reason,
            retry_after_s=refused.retry_after_s,
            status=refused.status,
        )

    def _handle_no_answer(
        self, event: ConnectFailed | UpstreamUnresponsive
    ) -> list[ExchangeEffect]:
        if isinstance(event, UpstreamUnresponsive):
            return self._handle_failure("upstream-silent", AttemptOutcome.TIMED_OUT)
        return self._handle_failure("upstream-unreachable", AttemptOutcome.UNREACHABLE)

    def _handle_break(self, handed_over: bool) -> list[ExchangeEffect]:
        if isinstance(self.state, Relaying):
            return [
                *self._release(AttemptOutcome.FAILED, Completed()),
                AbortCaller(),
            ]
        if not handed_over:
            self._record_not_run()
        return self._handle_failure("upstream-lost", AttemptOutcome.FAILED)

    def _handle_failure(
        self, reason: str, outcome: AttemptOutcome
    ) -> list[ExchangeEffect]:
        upstream = self._upstream()
        effects = self._release(outcome, Waiting())
        if upstream is not None:
            self.excluded |= {upstream}
        if self.relay is not None:
            self.excluded_relays |= {self.relay}
        if not self._decide_retry(reason):
            return [*effects, *self._give_up(reason)]
        self.relay = None
        self.route = ToUpstream()
        return [*effects, FindUpstream(self.excluded)]

    def _decide_retry(self, reason: str) -> bool:
        denial = self._retry_denial()
        if denial is None and not self._use_budget():
            denial = "retry budget is used up"
        decision = RetryDecided(
            taken=denial is None,
            because=denial or reason,
            budget_left=self.budget.remaining,
        )
        self.retry_decisions.append(decision)
        return decision.taken

    def can_retry(self) -> bool:
        """Return whether another attempt would be made if this one failed now."""
        return self._retry_denial() is None and self.budget.can_retry()

    def _use_budget(self) -> bool:
        """Use the retry budget, if needed; return whether a retry is within it.

        A retry is free if nothing was sent yet and at most
        ``MAX_FREE_CONNECT_FAILURES`` upstreams failed.
        """
        was_sent = self.attempts > 0
        has_few_failures = len(self.excluded) <= MAX_FREE_CONNECT_FAILURES
        return self.budget.acquire() if was_sent or not has_few_failures else True

    def _retry_denial(self) -> str | None:
        """Return why no other attempt may be made; None if one may."""
        if self.attempts >= self.policy.max_attempts:
            return "all attempts are used"
        if isinstance(self.route, ToPeer) and not self.route.may_run_locally:
            return "only the other entry VM may run it"
        if self.may_have_run and not self.policy.idempotent:
            return "it may have run and must not run twice"
        if self._was_sent and not self.policy.resendable:
            return "its body is not at hand any more"
        return None

    def _handle_disconnect(self) -> list[ExchangeEffect]:
        if isinstance(self.state, Waiting):
            self.state = Completed()
            return [WithdrawTicket()]
        return self._release(AttemptOutcome.CANCELLED, Completed())

    def _handle_deadline(self) -> list[ExchangeEffect]:
        match self.state:
            case Waiting():
                return [WithdrawTicket(), *self._give_up("too-late", late=True)]
            case Relaying():
                return [
                    *self._release(AttemptOutcome.CANCELLED, Completed()),
                    AbortCaller(),
                ]
            case Completed():
                return []
            case Connecting() | AwaitingAnswer():
                sent = isinstance(self.state, AwaitingAnswer)
                outcome = AttemptOutcome.TIMED_OUT if sent else AttemptOutcome.CANCELLED
                effects = self._release(outcome, Completed())
                return [*effects, *self._give_up("too-late", late=True)]

    def _give_up(
        self,
        reason: str,
        *,
        late: bool = False,
        retry_after_s: float | None = None,
        status: int = _UNAVAILABLE,
    ) -> list[ExchangeEffect]:
        self.state = Completed()
        if self.may_have_run or self.policy.may_have_run_elsewhere:
            status = _GATEWAY_TIMEOUT if late else _BAD_GATEWAY
            unknown = AnswerCaller(
                status=status, outcome=Outcome.UNKNOWN, reason=reason
            )
            return [unknown]
        not_run = AnswerCaller(
            status=status,
            outcome=Outcome.NOT_RUN,
            reason=reason,
            retry_after_s=retry_after_s,
        )
        return [not_run]

    def _release(
        self, outcome: AttemptOutcome, state: ExchangeState
    ) -> list[ExchangeEffect]:
        upstream = self._upstream()
        has_no_upstream = isinstance(self.state, Completed | Waiting)
        self.state = state
        if has_no_upstream:
            return []
        if upstream is None and self.relay is None:
            return [ClosePeerConnection()]
        return [ReleaseUpstream(outcome)]

    def _upstream(self) -> str | None:
        match self.state:
            case Connecting(upstream=name) | AwaitingAnswer(upstream=name):
                return name
            case Relaying(upstream=name):
                return name
            case Waiting() | Completed():
                return None
