"""Outcomes of the requests of a run."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import frozen

if TYPE_CHECKING:
    from plankspindle_testkit.lab.pattern import ModelOperation

WINDOW_S = 1.0
"""Length of the time windows, in seconds."""


class Outcome(Enum):
    """Outcome of a request for its caller."""

    ON_TIME = "in aim"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@frozen(kw_only=True)
class Sample:
    """Load of a run at one time.

    Parameters
    ----------
    at_s : float
        Simulated time in seconds.
    slots, load : int
        Slots of all upstreams, and requests that run or wait at them.
    queued : int
        Requests that wait at entry VMs.
    """

    at_s: float
    slots: int
    load: int
    queued: int


@define(kw_only=True)
class Outcomes:
    """Counts of requests by outcome, in total and over time.

    Attributes
    ----------
    by_outcome : Counter of Outcome
        Counts of all requests.
    by_window : dict of int to Counter of Outcome
        Counts by the window in which requests were first sent.
    earned_worth, total_worth : float
        Worth of the answered requests, and of all requests.
    samples : list of Sample
        Load over time.
    """

    by_outcome: Counter[Outcome] = Factory(Counter)
    by_window: dict[int, Counter[Outcome]] = Factory(dict)
    earned_worth: float = 0.0
    total_worth: float = 0.0
    samples: list[Sample] = Factory(list)

    @property
    def worth(self) -> float:
        """Share of the worth of all requests that was earned, from 0 to 1."""
        return self.earned_worth / self.total_worth if self.total_worth else 1.0

    def record(
        self, operation: ModelOperation, first_at: float, outcome: Outcome
    ) -> None:
        """Record the completion of a request.

        Parameters
        ----------
        operation : ModelOperation
            Model of its operation.
        first_at : float
            Simulated time at which it was first sent, in seconds.
        outcome : Outcome
            Outcome for the caller.
        """
        self.by_outcome[outcome] += 1
        window = self.by_window.setdefault(int(first_at / WINDOW_S), Counter())
        window[outcome] += 1
        self.total_worth += operation.worth
        match outcome:
            case Outcome.ON_TIME:
                self.earned_worth += operation.worth
            case Outcome.LATE:
                self.earned_worth += operation.late_worth
            case _:
                pass
