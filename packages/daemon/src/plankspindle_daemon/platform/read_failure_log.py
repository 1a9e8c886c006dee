"""What is logged of reads of the platform that fail, and of the first that succeeds."""

from __future__ import annotations

from plankspindle_core.classes import define
from plankspindle_core.logs.key_value_destination import log_event

RETRY_PAUSE_S = 0.2
"""Pause after a read that failed; the circuit breaker bounds the calls themselves."""


@define(kw_only=True)
class ReadFailureLog:
    """Log the first failure in a row, and how long the row was when it ends.

    Parameters
    ----------
    subject : str
        What is read; events are named ``SUBJECT_unread`` and ``SUBJECT_read_again``.

    Attributes
    ----------
    failures : int
        Reads in a row that failed.

    Notes
    -----
    The longest call of a row tells a wait that was lost from calls that were not made:
    a lost wait lasts seconds, a call that the circuit breaker refuses no time.
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
        """Take a read that failed.

        Parameters
        ----------
        detail : str
            Why.
        started_at, now : float
            When it was begun and when it failed, monotonic seconds.
        **fields : int
            What else the first event of a row says.
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
        """Take a read that succeeded at a time, monotonic seconds."""
        if self.failures:
            log_event(
                f"{self.subject}_read_again",
                unread_ms=round((now - self._failing_since) * 1000),
                failed=self.failures,
                longest_ms=round(self._longest_s * 1000),
            )
        self.failures = 0
        self._longest_s = 0.0
