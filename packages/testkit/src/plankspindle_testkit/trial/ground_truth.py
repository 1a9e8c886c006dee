"""Executions of requests, checked against the outcomes that callers saw."""

from __future__ import annotations

from collections import Counter

from attrs import define
from attrs import field
from attrs import frozen

from plankspindle_core.outcome import Outcome


class GuaranteeViolatedError(AssertionError):
    """Raised when a trial violates a guarantee of the system."""


@frozen(kw_only=True)
class CallerOutcome:
    """Outcome of a request as its caller saw it.

    Parameters
    ----------
    outcome : Outcome or None
        None if the connection of the caller was reset.
    at : float
        Simulated time, in seconds.
    """

    outcome: Outcome | None
    at: float


@define(kw_only=True)
class GroundTruth:
    """Executions and outcomes; a mark identifies a request and all its repeats."""

    runs_by_mark: Counter[str] = field(factory=Counter)
    idempotent_marks: set[str] = field(factory=set)
    outcome_by_request: dict[int, CallerOutcome] = field(factory=dict)
    not_run_at_by_mark: dict[str, float] = field(factory=dict)
    _unrepeated_marks: set[str] = field(factory=set)

    def expect(self, mark: str, *, idempotent: bool, unrepeated: bool) -> None:
        """Announce a request; the caller never repeats an ``unrepeated`` one."""
        if idempotent:
            self.idempotent_marks.add(mark)
        if unrepeated:
            self._unrepeated_marks.add(mark)

    def record_run(self, mark: str, now: float) -> None:
        """Record an execution.

        Raises
        ------
        GuaranteeViolatedError
            If the request must not run again, or its caller was told that it had not
            run.
        """
        self.runs_by_mark[mark] += 1
        if mark not in self.idempotent_marks and self.runs_by_mark[mark] > 1:
            raise GuaranteeViolatedError(f"{mark} ran twice, at {now:.3f}")
        if mark in self._unrepeated_marks and mark in self.not_run_at_by_mark:
            raise GuaranteeViolatedError(f"{mark} ran at {now:.3f} after not-run")

    def record_outcome(
        self, request: int, mark: str, outcome: Outcome | None, now: float
    ) -> None:
        """Record the outcome that a caller saw.

        Raises
        ------
        GuaranteeViolatedError
            If the outcome is false, or the request has been answered already.
        """
        if request in self.outcome_by_request:
            raise GuaranteeViolatedError(f"request {request} was answered twice")
        self.outcome_by_request[request] = CallerOutcome(outcome=outcome, at=now)
        if outcome is Outcome.NOT_RUN:
            self.not_run_at_by_mark[mark] = now
            if mark in self._unrepeated_marks and self.runs_by_mark[mark]:
                raise GuaranteeViolatedError(f"{mark} was answered not-run but ran")
        if outcome is Outcome.DONE and not self.runs_by_mark[mark]:
            raise GuaranteeViolatedError(f"{mark} was answered done but did not run")
