"""One request of a trial: its exchange, idempotency record and upstream."""

from __future__ import annotations

from attrs import define
from attrs import field

from plankspindle_core.outcome import Outcome
from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.dispatch import messages as dispatch
from plankspindle_daemon.exchange import messages as m
from plankspindle_daemon.exchange.exchange import Exchange
from plankspindle_daemon.idempotency.recorded_answer import RecordedAnswer
from plankspindle_daemon.idempotency.request_records import RequestRecord

ANSWER = RecordedAnswer(status=200, headers=[], body=b"done")


@define(kw_only=True, eq=False)
class TrialRequest:
    """One request on one entry VM.

    Parameters
    ----------
    number : int
        Number of the request in the trial, also of its ticket.
    mark : str
        Identifies the logical request; the same for all its repeats.
    vm, service : str
        Entry VM that runs it, and requested service.
    exchange : Exchange
        Decision logic of the request.
    ticket : Ticket
        The request as the dispatcher sees it.
    record : RequestRecord
        Idempotency record to be updated with the outcome.
    """

    number: int
    mark: str
    vm: str
    service: str
    exchange: Exchange
    ticket: Ticket
    record: RequestRecord
    upstream: str | None = None
    sent_at: float | None = None
    outcome: Outcome | None = None
    aborted: bool = False
    is_complete: bool = False
    awaited: m.ExchangeEffect | None = None
    completed_attempts: list[dispatch.AttemptCompleted] = field(factory=list)

    def begin(self) -> None:
        """Start the exchange and apply its effects."""
        self._apply(self.exchange.begin(), now=None)

    def handle(self, event: m.ExchangeEvent, now: float) -> None:
        """Pass an event to the exchange and apply its effects."""
        if not self.is_complete:
            self._apply(self.exchange.handle(event), now=now)

    def _apply(self, effects: list[m.ExchangeEffect], now: float | None) -> None:
        self.awaited = None
        for effect in effects:
            match effect:
                case m.ReleaseUpstream(outcome=attempt_outcome):
                    self._complete_attempt(attempt_outcome, now)
                case m.AnswerCaller(outcome=outcome):
                    self.outcome = outcome
                    self.is_complete = True
                    if outcome is Outcome.NOT_RUN:
                        self.record.release()
                case m.AbortCaller():
                    self.aborted = True
                    self.is_complete = True
                case m.FindUpstream(excluded=excluded):
                    self.ticket = self.ticket.excluding(excluded)
                    self.awaited = effect
                case _:
                    self.awaited = effect

    def _complete_attempt(
        self, attempt_outcome: dispatch.AttemptOutcome, now: float | None
    ) -> None:
        assert self.upstream is not None
        answered = attempt_outcome is dispatch.AttemptOutcome.ANSWERED
        duration_s = now - self.sent_at if answered and now and self.sent_at else None
        self.completed_attempts.append(
            dispatch.AttemptCompleted(
                ticket=self.ticket,
                upstream=self.upstream,
                outcome=attempt_outcome,
                head_s=duration_s,
                total_s=duration_s,
            )
        )
        self.upstream = None

    def complete_answer(self, now: float) -> None:
        """Handle the complete answer of the upstream."""
        self.handle(m.HeadReceived(), now)
        self.record.finish(ANSWER)
        self.handle(m.AnswerRelayed(), now)
        self.outcome = Outcome.DONE
        self.is_complete = True
