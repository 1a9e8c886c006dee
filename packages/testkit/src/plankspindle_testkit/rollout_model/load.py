"""Loads and faults of a modelled roll-out."""

from __future__ import annotations

import math

from plankspindle_core.classes import frozen

SECONDS = 12.0
"""Time from the order to its deadline, in seconds."""
SHARE_BY_OPERATION = {"read": 0.5, "record": 0.25, "release": 0.15, "archive": 0.1}
DOMAINS = 6
USUAL_FAILURE_SHARE = 0.004
"""Share of answers that fail at either version."""
LOG_SPREAD = 0.35
"""Standard deviation of the logarithm of an answer's duration."""
QUARTILE = 0.6745
"""Third quartile of the standard normal distribution."""
SLOW_FACTOR = 2.0
"""Factor on the third quartile from which an answer counts as slow."""


@frozen(kw_only=True)
class ModelFault:
    """What is wrong with the target version, or with both.

    Parameters
    ----------
    name : str
        Description, for the table.
    failing : float
        Share of the target's answers that fail, from 0 to 1.
    slowness : float
        Factor on the duration of the target's answers.
    from_s : float
        Seconds after the order from which that holds.
    min_load : float
        Load of the target's upstreams from which that holds; 1 is their load once the
        target has all requests.
    operation : str, optional
        The only operation that it holds for.
    grey_upstreams : int
        If not 0, the only upstreams of the target that it holds for.
    hits_baseline : bool
        Whether it holds for the baseline, too.
    domain : int, optional
        The only failure domain that it holds for.
    """

    name: str
    failing: float = 0.0
    slowness: float = 1.0
    from_s: float = 0.0
    min_load: float = 0.0
    operation: str | None = None
    grey_upstreams: int = 0
    hits_baseline: bool = False
    domain: int | None = None

    @property
    def is_bad(self) -> bool:
        """Whether the target version is to be rolled back."""
        has_fault = self.failing > 0 or self.slowness > 1
        return has_fault and not self.grey_upstreams and not self.hits_baseline

    def applies(self, operation: str, domain: int, now: float, load: float) -> bool:
        """Return whether it holds for an operation at a time, domain and load."""
        return (
            now >= self.from_s
            and load >= self.min_load
            and self.operation in (None, operation)
            and self.domain in (None, domain)
        )

    def bad_share(self) -> float:
        """Return the share of answers that count as bad while it holds."""
        slow = slow_share(self.slowness)
        return 1 - (1 - USUAL_FAILURE_SHARE) * (1 - self.failing) * (1 - slow)


def slow_share(slowness: float) -> float:
    """Return the share of log-normal durations that count as slow."""
    limit = LOG_SPREAD * QUARTILE + math.log(SLOW_FACTOR) - math.log(slowness)
    return 0.5 * math.erfc(limit / LOG_SPREAD / math.sqrt(2))


USUAL_BAD_SHARE = 1 - (1 - USUAL_FAILURE_SHARE) * (1 - slow_share(1.0))
