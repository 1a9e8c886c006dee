"""A budget of calls to the platform, so that no node can use it up."""

from __future__ import annotations

from attrs import define

READS_PER_S = 20.0
WRITES_PER_S = 40.0
BURST_S = 2.0


@define(kw_only=True)
class CallBudget:
    """Token bucket of calls.

    Parameters
    ----------
    per_s : float
        Calls allowed each second on average.
    refused : int
        Calls that were not made.
    """

    per_s: float
    refused: int = 0
    _tokens: float | None = None
    _filled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Use one call; False if it must not be made.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        most = self.per_s * BURST_S
        if self._tokens is None:
            self._tokens = most
        else:
            refill = (now - self._filled_at) * self.per_s
            self._tokens = min(most, self._tokens + refill)
        self._filled_at = now
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        return True
