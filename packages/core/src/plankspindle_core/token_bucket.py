"""A token bucket rate limiter without I/O."""

from __future__ import annotations

from plankspindle_core.classes import define


@define(kw_only=True)
class TokenBucket:
    """Limit the rate of an action.

    Parameters
    ----------
    per_s : float
        Tokens added per second.
    burst : float
        Capacity of the bucket, in tokens.
    refused : int
        Number of calls of ``take`` that found no token.
    """

    per_s: float
    burst: float
    refused: int = 0
    _tokens: float | None = None
    _filled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Take one token; return False if there is none.

        Parameters
        ----------
        now : float
            Monotonic seconds; if earlier than at the last call, nothing is refilled.
        """
        if self._tokens is None:
            self._tokens = self.burst
        else:
            refill = max(0.0, now - self._filled_at) * self.per_s
            self._tokens = min(self.burst, self._tokens + refill)
        self._filled_at = now
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        return True
