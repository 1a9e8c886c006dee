"""Moving averages of durations by operation."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define

WEIGHT = 0.1


@define(kw_only=True)
class DurationAverages:
    """Time to the head and to the end of answers, in seconds."""

    head_by_operation: dict[str, float] = Factory(dict)
    total_by_operation: dict[str, float] = Factory(dict)
    overall_total: float | None = None

    def note(self, *, operation: str, head_s: float, total_s: float) -> float:
        """Take one answer.

        Parameters
        ----------
        operation : str
            Name of the operation.
        head_s, total_s : float
            Its durations in seconds.

        Returns
        -------
        float
            Its time to the head, relative to the average before.
        """
        average = self.head_by_operation.get(operation, head_s)
        self.head_by_operation[operation] = _moved(average, head_s)
        before = self.total_by_operation.get(operation, total_s)
        self.total_by_operation[operation] = _moved(before, total_s)
        overall = total_s if self.overall_total is None else self.overall_total
        self.overall_total = _moved(overall, total_s)
        return head_s / average if average > 0 else 1.0

    def expected_total(self, *, operation: str, declared_s: float) -> float:
        """Give the average duration of an operation, or what was declared."""
        return self.total_by_operation.get(operation, declared_s)

    def wait_s(self, *, ahead: int, capacity: int) -> float:
        """Estimate the wait of a request, in seconds.

        Parameters
        ----------
        ahead : int
            Requests that wait before it.
        capacity : int
            Requests that may run at once.
        """
        if capacity == 0 or self.overall_total is None:
            return 0.0
        return (ahead + 1) / capacity * self.overall_total


def _moved(average: float, value: float) -> float:
    return average + WEIGHT * (value - average)
