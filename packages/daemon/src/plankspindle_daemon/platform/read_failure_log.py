"""Logging of failed reads of the platform and of the recovery."""

from __future__ import annotations

from plankspindle_core.classes import define
from plankspindle_core.logs.key_value_destination import log_event

RETRY_PAUSE_S = 0.2
"""Pause after a failed read, in seconds; the circuit breaker limits the calls."""


@define(kw_only=True)
class ReadFailureLog:
    """Log the first of several consecutive failed reads, and the recovery after them.

    Parameters
    ----------
    subject : str
        What is read; events are named ``SUBJECT_unread`` and ``SUBJECT_read_again``.

    Attributes
    ----------
    failures : int
        Number of consecutive failed reads.

    Notes
    -----
    The duration of the longest call distinguishes a long poll that timed out, which
    takes seconds, from calls that the circuit breaker refused, which take no time.
    """

    subject: str
    failures: int = 0
    _failing_since: float = 0.0
    _longest_s: float = 0.0

    @property
    def is_failing(self) -> bool:
        """Whether the last read failed."""
        return self.failures > 0

    def record_failure(
        self, detail: str, *, started_at: float, now: float, **fields: int
    ) -> None:
        """Record a failed read.

        Parameters
        ----------
        detail : str
            Description of the failure.
        started_at, now : float
            Start and end of the read, monotonic seconds.
        **fields : int
            Further fields of the event that is logged for the first failure.
        """
        took_s = now - started_at
        self._longest_s = max(self._longest_s, took_s)
        self.failures += 1
        if self.failures > 1:
            return
        self._failing_since = started_at
        log_event(
            f"{self.subject}_unread",
            detail=detail,
            took_ms=round(took_s * 1000),
            **fields,
        )

    def record_success(self, now: float) -> None:
        """Record a successful read at a time, monotonic seconds."""
        if self.failures:
            log_event(
                f"{self.subject}_read_again",
                unread_ms=round((now - self._failing_since) * 1000),
                failed=self.failures,
                longest_ms=round(self._longest_s * 1000),
            )
        self.failures = 0
        self._longest_s = 0.0
