"""Violations of the bounds on roll-outs."""

from __future__ import annotations

from enum import Enum

from plankspindle_core.classes import frozen


class RolloutRule(Enum):
    """Rule that a violation breaks."""

    EXPOSURE = "bad version got too much"
    ROLL_BACK = "bad version used after its roll-back was due"
    UNNAMED = "version used before an order named it"
    ENDED = "version used after its roll-back or withdrawal"
    RUNNING_AT_COMPLETE = "old version still ran requests at completion"
    SENT_AFTER_COMPLETE = "old version used after completion"
    DRAINED = "upstream used after its planned end"
    TWO_ENDS = "both ends of a roll-out published"


@frozen(kw_only=True)
class RolloutViolation:
    """A violated rule.

    Parameters
    ----------
    rule : RolloutRule
        The rule.
    service : str
        The service.
    at : float
        When it was violated first, in seconds.
    times : int
        Number of requests or states that violate it.
    detail : str
        What was observed.
    """

    rule: RolloutRule
    service: str
    at: float
    times: int
    detail: str
