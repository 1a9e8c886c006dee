"""A circuit breaker with exponentially growing open periods, without I/O."""

from __future__ import annotations

FAILURES_TO_OPEN = 3
INITIAL_OPEN_S = 0.5
MAX_OPEN_S = 8.0


class CircuitBreaker:
    """Block calls to a service that keeps failing, except for periodic probes.

    Parameters
    ----------
    failures_to_open : int
        Consecutive failures after which the breaker opens.
    max_open_s : float
        Longest time between two probes while it is open, in seconds.
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
        """Whether all calls are allowed."""
        return self._failures < self._failures_to_open

    def allows(self, now: float) -> bool:
        """Return whether a call may be made; while open, one probe per open period.

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
        """Record the outcome of a call."""
        if not failed:
            self._failures = 0
            return
        self._failures += 1
        if not self.closed:
            self._next_probe_at = now + self._open_period_s()

    def _open_period_s(self) -> float:
        doublings = self._failures - self._failures_to_open
        return min(self._max_open_s, INITIAL_OPEN_S * 2.0 ** min(doublings, 10))
