"""What really happened to requests, held against what callers were told."""

from __future__ import annotations

from collections import Counter

from attrs import define
from attrs import field
from attrs import frozen

from plankspindle_core.outcome import Outcome


class BrokenPromiseError(AssertionError):
    """A trial found a promise of the system broken."""


@frozen(kw_only=True)
class Told:
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
class Truth:
    """Executions and answers by the mark of a request, shared by its repeats."""

    runs_by_mark: Counter[str] = field(factory=Counter)
    idempotent_marks: set[str] = field(factory=set)
    told_by_request: dict[int, Told] = field(factory=dict)
    not_run_at_by_mark: dict[str, float] = field(factory=dict)
    _sole_marks: set[str] = field(factory=set)

    def expect(self, mark: str, *, idempotent: bool, sole: bool) -> None:
        """Announce a request; ``sole`` ones are never repeated by their caller."""
        if idempotent:
            self.idempotent_marks.add(mark)
        if sole:
            self._sole_marks.add(mark)

    def note_run(self, mark: str, now: float) -> None:
        """Record an execution.

        Raises
        ------
        BrokenPromiseError
            If it is one too many, or its caller was told that it was not run.
        """
        self.runs_by_mark[mark] += 1
        if mark not in self.idempotent_marks and self.runs_by_mark[mark] > 1:
            raise BrokenPromiseError(f"{mark} ran twice, at {now:.3f}")
        if mark in self._sole_marks and mark in self.not_run_at_by_mark:
            raise BrokenPromiseError(f"{mark} ran at {now:.3f} after not-run")

    def note_told(
        self, request: int, mark: str, outcome: Outcome | None, now: float
    ) -> None:
        """Record what a caller was told.

        Raises
        ------
        BrokenPromiseError
            If it is not true, or it is a second answer.
        """
        if request in self.told_by_request:
            raise BrokenPromiseError(f"request {request} was answered twice")
        self.told_by_request[request] = Told(outcome=outcome, at=now)
        if outcome is Outcome.NOT_RUN:
            self.not_run_at_by_mark[mark] = now
            if mark in self._sole_marks and self.runs_by_mark[mark]:
                raise BrokenPromiseError(f"{mark} was told not-run but ran")
        if outcome is Outcome.DONE and not self.runs_by_mark[mark]:
            raise BrokenPromiseError(f"{mark} was told done but did not run")
