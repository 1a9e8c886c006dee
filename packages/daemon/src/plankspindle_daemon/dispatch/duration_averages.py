"""Moving averages of durations by operation."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define

SAMPLE_WEIGHT = 0.1


@define(kw_only=True)
class DurationAverages:
    """Average times to the head and to the end of responses, in seconds."""

    head_s_by_operation: dict[str, float] = Factory(dict)
    total_s_by_operation: dict[str, float] = Factory(dict)
    overall_total_s: float | None = None

    def record(self, *, operation: str, head_s: float, total_s: float) -> float:
        """Record the durations of one response.

        Parameters
        ----------
        operation : str
            Name of the operation.
        head_s, total_s : float
            Time to the head and to the end of the response, in seconds.

        Returns
        -------
        float
            Ratio of the time to the head to its previous average.
        """
        average = self.head_s_by_operation.get(operation, head_s)
        self.head_s_by_operation[operation] = _moving_average(average, head_s)
        before = self.total_s_by_operation.get(operation, total_s)
        self.total_s_by_operation[operation] = _moving_average(before, total_s)
        overall = total_s if self.overall_total_s is None else self.overall_total_s
        self.overall_total_s = _moving_average(overall, total_s)
        return head_s / average if average > 0 else 1.0

    def expected_total_s(self, *, operation: str, declared_s: float) -> float:
        """Return the average duration of an operation, or the declared one."""
        return self.total_s_by_operation.get(operation, declared_s)

    def estimated_wait_s(self, *, ahead: int, capacity: int) -> float:
        """Return the estimated queueing time of a request, in seconds.

        Parameters
        ----------
        ahead : int
            Requests ahead of it in the queue.
        capacity : int
            Requests that may run at once.
        """
        if capacity == 0 or self.overall_total_s is None:
            return 0.0
        return (ahead + 1) / capacity * self.overall_total_s


def _moving_average(average: float, value: float) -> float:
    return average + SAMPLE_WEIGHT * (value - average)
