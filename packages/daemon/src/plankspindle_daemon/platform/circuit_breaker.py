"""A circuit breaker without I/O."""

from __future__ import annotations

FAILURES_TO_OPEN = 3
INITIAL_OPEN_S = 0.5
MAX_OPEN_S = 8.0


class CircuitBreaker:
    """Stop calls to a service that keeps failing, trying one now and then.

    Parameters
    ----------
    failures_to_open : int
        Failures in a row after which calls are no longer made.
    max_open_s : float
        Longest time between trials, in seconds.
    """

    def __init__(
        self,
        *,
        failures_to_open: int = FAILURES_TO_OPEN,
        max_open_s: float = MAX_OPEN_S,
    ) -> None:
        self._failures_to_open = failures_to_open
        self._max_open_s = max_open_s
        self._failures = 0
        self._next_probe_at = 0.0

    @property
    def closed(self) -> bool:
        """Whether calls are made freely."""
        return self._failures < self._failures_to_open

    def allows(self, now: float) -> bool:
        """Tell whether a call may be made; while open, one trial each period.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        if self.closed:
            return True
        if now < self._next_probe_at:
            return False
        self._next_probe_at = now + self._open_period_s()
        return True

    def record(self, *, failed: bool, now: float) -> None:
        """Record how a call ended."""
        if not failed:
            self._failures = 0
            return
        self._failures += 1
        if not self.closed:
            self._next_probe_at = now + self._open_period_s()

    def _open_period_s(self) -> float:
        doublings = self._failures - self._failures_to_open
        return min(self._max_open_s, INITIAL_OPEN_S * 2.0 ** min(doublings, 10))
