"""Verdicts on a request with an id or key: run it, replay it, or reject it."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_daemon.idempotency.recorded_answer import RecordedAnswer


@frozen
class RunIt:
    """This request is the only one with its id or key that may run."""


@frozen
class Replay:
    """The request ran before; the same caller gets the recorded answer."""

    answer: RecordedAnswer


@frozen
class AnsweredUnrecorded:
    """The request ran before, but its answer was too long to record."""


@frozen
class InProgress:
    """The request is running, or its outcome was lost; repeats are answered unknown."""


@frozen
class Mismatch:
    """The id or key belongs to another caller or another request."""


@frozen
class Foreign:
    """The id was issued by another process.

    Parameters
    ----------
    vm : str
        Name of the VM that issued it.
    incarnation : int
        Incarnation of the process that issued it.
    """

    vm: str
    incarnation: int


@frozen
class Invalid:
    """The id was never issued, or has expired."""


@frozen
class NoMemory:
    """No further used id can be retained at the moment, so the request may not run."""


@frozen
class StoreUnavailable:
    """The platform cannot confirm the claim, so the request was not run."""


@frozen
class StoreRestoring:
    """The store has returned from a copy and may lack claims, so nothing was run.

    Parameters
    ----------
    left_s : float
        Time until claims are restored, in seconds.
    """

    left_s: float


IdVerdict = (
    RunIt
    | Replay
    | AnsweredUnrecorded
    | InProgress
    | Mismatch
    | Foreign
    | Invalid
    | NoMemory
)
ClaimVerdict = (
    RunIt
    | Replay
    | AnsweredUnrecorded
    | InProgress
    | Mismatch
    | StoreUnavailable
    | StoreRestoring
)
