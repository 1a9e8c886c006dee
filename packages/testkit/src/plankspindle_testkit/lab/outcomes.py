"""What became of the requests of a run."""

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
"""Length of the windows over time, in seconds."""


class Outcome(Enum):
    """How a request ended for its caller."""

    ON_TIME = "in aim"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@frozen(kw_only=True)
class Sample:
    """The state of a run at a moment.

    Parameters
    ----------
    at_s : float
        When, in seconds.
    slots, load : int
        Slots of all upstreams, and requests that run or wait there.
    queued : int
        Requests that wait at entry VMs.
    """

    at_s: float
    slots: int
    load: int
    queued: int


@define(kw_only=True)
class Outcomes:
    """Requests by how they ended, in all and over time.

    Attributes
    ----------
    by_outcome : Counter of RequestResult
        All requests.
    by_window : dict of int to Counter of RequestResult
        Requests by the window in which they were first sent.
    earned_worth, total_worth : float
        Worth of what was answered, and of all that was asked.
    samples : list of Sample
        The state over time.
    """

    by_outcome: Counter[Outcome] = Factory(Counter)
    by_window: dict[int, Counter[Outcome]] = Factory(dict)
    earned_worth: float = 0.0
    total_worth: float = 0.0
    samples: list[Sample] = Factory(list)

    @property
    def worth(self) -> float:
        """Part of the worth of all requests that was earned."""
        return self.earned_worth / self.total_worth if self.total_worth else 1.0

    def record(
        self, operation: ModelOperation, first_at: float, outcome: Outcome
    ) -> None:
        """Take the end of a request.

        Parameters
        ----------
        operation : ModelOperation
            Its kind.
        first_at : float
            When it was first sent, in seconds.
        outcome : RequestResult
            How it ended.
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
