"""A budget that keeps retries a small share of fresh requests."""

from __future__ import annotations

from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.invariants import check_invariant

DEFAULT_BURST = 10.0
"""Retries that may be made before any fresh request was counted."""
ROUNDING_TOLERANCE = 0.001
"""What sums of fractions may be off, in retries."""


@define(kw_only=True)
class RetryBudget:
    """Token bucket filled by fresh requests and emptied by retries.

    Parameters
    ----------
    percent : int
        Retries allowed for each hundred fresh requests.
    burst : float
        Retries that may be made at once.
    """

    percent: int
    burst: float = DEFAULT_BURST
    fresh: int = 0
    retried: int = 0
    _tokens: float = field(init=False, default=DEFAULT_BURST)
    _allowed: float = field(init=False, default=DEFAULT_BURST)

    def record_fresh(self) -> None:
        """Count a fresh request."""
        self.fresh += 1
        self._allowed += self.percent / 100
        self._tokens = min(self.burst, self._tokens + self.percent / 100)

    @property
    def remaining(self) -> float:
        """Retries that may be made now."""
        return self._tokens

    def can_retry(self) -> bool:
        """Tell whether a retry may be made."""
        return self._tokens >= 1.0

    def acquire(self) -> bool:
        """Use the budget for one retry.

        Returns
        -------
        bool
            False if there is none left; the request must not be retried.
        """
        if not self.can_retry():
            return False
        self._tokens -= 1.0
        self.retried += 1
        # Each fresh request counts with the percent that was in force when it came.
        within = self.retried <= self._allowed + ROUNDING_TOLERANCE
        check_invariant("retries-within-budget", within)
        return True
