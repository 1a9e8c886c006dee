"""What happened to one request so far."""

from __future__ import annotations

from enum import Enum

from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.traces.steps import Step

MAX_STEPS = 64
"""Steps that are kept of one request; beyond them it goes round in circles."""


class Completion(Enum):
    """How a request ended for its caller."""

    SERVED = "served"
    REFUSED = "refused"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ABORTED = "broken-off"
    CALLER_DISCONNECTED = "caller-gone"


@define(kw_only=True)
class RequestTrace:
    """Steps of one request, with the time of each.

    Parameters
    ----------
    request_id : str
        Id of the request in logs.
    id_is_from_caller : bool
        Whether the caller chose that id, so that it need not be told.
    started_at : float
        Monotonic seconds.
    started_at_unix : float
        The same moment, seconds since the Unix epoch.

    Attributes
    ----------
    completion : Completion
        How it ended; a request whose end nobody noted was given up by its caller.
    status : int or None
        Status of the answer.
    reason : str or None
        Why it ended badly, in one token.
    target_s : float or None
        Time within which an answer is wanted, in seconds.
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
        """Keep a step.

        Parameters
        ----------
        step : Step
            What happened.
        now : float
            Monotonic seconds.
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
        """Keep how the request ended for its caller."""
        self.completion = completion
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s

    def to_unix_time(self, at: float) -> float:
        """Give a monotonic time of the request as seconds since the Unix epoch.

        Notes
        -----
        The clock of the day is read once a request, so that a jump of it does not put
        the steps out of order.
        """
        return self.started_at_unix + (at - self.started_at)

    def is_late(self, now: float) -> bool:
        """Tell whether more time has passed than is wanted."""
        return self.target_s is not None and now - self.started_at > self.target_s
