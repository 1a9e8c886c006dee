"""Trace of one request: its steps so far, and its outcome once it is completed."""

from __future__ import annotations

from enum import Enum

from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.traces.steps import Step

MAX_STEPS = 64
"""Bound on the steps kept of one request, for a request that loops."""


class Completion(Enum):
    """Outcome of a request, as its caller saw it."""

    SERVED = "served"
    REFUSED = "refused"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ABORTED = "broken-off"
    CALLER_DISCONNECTED = "caller-gone"


@define(kw_only=True)
class RequestTrace:
    """Timestamped steps of one request, and its outcome.

    Parameters
    ----------
    request_id : str
        Id of the request in logs.
    id_is_from_caller : bool
        Whether the caller chose that id, so that the answer need not carry it.
    started_at : float
        Start of the request, monotonic seconds.
    started_at_unix : float
        Start of the request, seconds since the Unix epoch.

    Attributes
    ----------
    completion : Completion
        Outcome. The default stands for a caller that disconnected, as then no other
        outcome is recorded.
    status : int or None
        HTTP status of the answer.
    reason : str or None
        Why the request failed, as one token.
    target_s : float or None
        Target duration of the request, in seconds; a longer one is logged as late.
    """

    request_id: str
    id_is_from_caller: bool
    started_at: float
    started_at_unix: float
    service: str | None = None
    rank: int | None = None
    target_s: float | None = None
    completion: Completion = Completion.CALLER_DISCONNECTED
    status: int | None = None
    reason: str | None = None
    retry_after_s: float | None = None
    attempts: int = 0
    upstream: str | None = None
    steps: list[tuple[float, Step]] = field(factory=list)

    def record(self, step: Step, now: float) -> None:
        """Append a step, unless the trace has ``MAX_STEPS`` already.

        Parameters
        ----------
        step : Step
            The step.
        now : float
            Time of the step, monotonic seconds.
        """
        if len(self.steps) < MAX_STEPS:
            self.steps.append((now, step))

    def complete(
        self,
        completion: Completion,
        *,
        status: int | None = None,
        reason: str | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        """Record the outcome of the request."""
        self.completion = completion
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s

    def to_unix_time(self, at: float) -> float:
        """Convert a monotonic time of the request to seconds since the Unix epoch.

        Notes
        -----
        The system clock is read once a request, so that a jump of that clock does not
        put the steps out of order.
        """
        return self.started_at_unix + (at - self.started_at)

    def is_late(self, now: float) -> bool:
        """Return whether the request has taken longer than its target duration."""
        return self.target_s is not None and now - self.started_at > self.target_s
