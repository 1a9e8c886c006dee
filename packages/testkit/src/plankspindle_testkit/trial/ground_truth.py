"""What really happened to requests, held against what callers were told."""

from __future__ import annotations

from collections import Counter

from attrs import define
from attrs import field
from attrs import frozen

from plankspindle_core.outcome import Outcome


class GuaranteeViolatedError(AssertionError):
    """A trial found a promise of the system broken."""


@frozen(kw_only=True)
class CallerOutcome:
    """What a caller was told.

    Parameters
    ----------
    outcome : Outcome or None
        None if its connection was reset.
    at : float
        Seconds.
    """

    outcome: Outcome | None
    at: float


@define(kw_only=True)
class GroundTruth:
    """Executions and answers by the mark of a request, shared by its repeats."""

    runs_by_mark: Counter[str] = field(factory=Counter)
    idempotent_marks: set[str] = field(factory=set)
    outcome_by_request: dict[int, CallerOutcome] = field(factory=dict)
    not_run_at_by_mark: dict[str, float] = field(factory=dict)
    _unrepeated_marks: set[str] = field(factory=set)

    def expect(self, mark: str, *, idempotent: bool, unrepeated: bool) -> None:
        """Expect a request; ``unrepeated`` ones are never repeated by their caller."""
        if idempotent:
            self.idempotent_marks.add(mark)
        if unrepeated:
            self._unrepeated_marks.add(mark)

    def record_run(self, mark: str, now: float) -> None:
        """Record an execution.

        Raises
        ------
        GuaranteeViolatedError
            If it is one too many, or its caller was told that it was not run.
        """
        self.runs_by_mark[mark] += 1
        if mark not in self.idempotent_marks and self.runs_by_mark[mark] > 1:
            raise GuaranteeViolatedError(f"{mark} ran twice, at {now:.3f}")
        if mark in self._unrepeated_marks and mark in self.not_run_at_by_mark:
            raise GuaranteeViolatedError(f"{mark} ran at {now:.3f} after not-run")

    def record_outcome(
        self, request: int, mark: str, outcome: Outcome | None, now: float
    ) -> None:
        """Record what a caller was told.

        Raises
        ------
        GuaranteeViolatedError
            If it is not true, or it is a second answer.
        """
        if request in self.outcome_by_request:
            raise GuaranteeViolatedError(f"request {request} was answered twice")
        self.outcome_by_request[request] = CallerOutcome(outcome=outcome, at=now)
        if outcome is Outcome.NOT_RUN:
            self.not_run_at_by_mark[mark] = now
            if mark in self._unrepeated_marks and self.runs_by_mark[mark]:
                raise GuaranteeViolatedError(f"{mark} was told not-run but ran")
        if outcome is Outcome.DONE and not self.runs_by_mark[mark]:
            raise GuaranteeViolatedError(f"{mark} was told done but did not run")
