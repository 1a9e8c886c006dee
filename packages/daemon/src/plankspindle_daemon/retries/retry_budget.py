"""Budget that limits retries to a share of fresh requests."""

from __future__ import annotations

from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.invariants import check_invariant

DEFAULT_BURST = 10.0
"""Retries that are allowed before any fresh request was counted."""
ROUNDING_TOLERANCE = 0.001
"""Tolerance for rounding errors in sums of fractions, in retries."""


@define(kw_only=True)
class RetryBudget:
    """Token bucket that fresh requests fill and retries drain.

    Parameters
    ----------
    percent : int
        Retries allowed per hundred fresh requests.
    burst : float
        Maximum number of tokens, in retries.
    """

    percent: int
    burst: float = DEFAULT_BURST
    fresh: int = 0
    retried: int = 0
    _tokens: float = field(init=False, default=DEFAULT_BURST)
    _allowed: float = field(init=False, default=DEFAULT_BURST)

    def record_fresh(self) -> None:
        """Count a fresh request and add its tokens."""
        self.fresh += 1
        self._allowed += self.percent / 100
        self._tokens = min(self.burst, self._tokens + self.percent / 100)

    @property
    def remaining(self) -> float:
        """Number of retries that are allowed now."""
        return self._tokens

    def can_retry(self) -> bool:
        """Return whether a retry is allowed."""
        return self._tokens >= 1.0

    def acquire(self) -> bool:
        """Acquire the budget for one retry.

        Returns
        -------
        bool
            False if the budget is exhausted; the request must not be retried.
        """
        if not self.can_retry():
            return False
        self._tokens -= 1.0
        self.retried += 1
        # Each fresh request counts with the percentage in force at its arrival.
        is_within_budget = self.retried <= self._allowed + ROUNDING_TOLERANCE
        check_invariant("retries-within-budget", is_within_budget)
        return True
