"""Log completed requests: every step of failed and late ones, a summary of others."""

from __future__ import annotations

from enum import Enum
from itertools import count
from typing import Any
from typing import get_args

import attrs
from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.token_bucket import TokenBucket
from plankspindle_daemon.traces.request_trace import Completion
from plankspindle_daemon.traces.request_trace import RequestTrace
from plankspindle_daemon.traces.steps import Step

MAX_ID_CHARACTERS = 64
FAILED_PER_S = 50.0
"""Failed requests a second that are logged; a VM of one core serves about 70."""
FAILED_BURST = 400.0
"""Failed requests that are logged in a burst."""
REFUSED_PER_S = 5.0
"""Refused requests a second that are logged.

Refusals have a low limit of their own, as anybody can cause them at any rate.
"""
LATE_PER_S = 5.0
"""Late requests, and those whose caller disconnected, that are logged a second."""
SERVED_PER_S = 1.0
"""Served requests a second that are logged with a summary; the rest is counted."""
_SUCCESSFUL = frozenset({Completion.SERVED})
_FIELD_NAMES_BY_STEP: dict[type, list[str]] = {
    step_class: [each.name for each in attrs.fields(step_class)]
    for step_class in get_args(Step)
}


@define(kw_only=True)
class RequestTraceLog:
    """Log completed requests within limits on the lines a second.

    Parameters
    ----------
    vm : str
        Name of this VM.

    Attributes
    ----------
    skipped_failed, skipped_served : int
        Requests not logged since the last logged one of their kind: failed, refused
        or late ones, and ones served in time.

    Notes
    -----
    Steps take about 1 kB of memory while a request runs, and are rendered only if it
    fails or is late. Each kind of outcome has its own rate limit, so that a flood of
    refused requests does not hide a lost answer.
    """

    vm: str
    skipped_failed: int = 0
    skipped_served: int = 0
    _sequence: count[int] = field(factory=lambda: count(1))
    _failed_bucket: TokenBucket = field(
        factory=lambda: TokenBucket(per_s=FAILED_PER_S, burst=FAILED_BURST)
    )
    _refused_bucket: TokenBucket = field(
        factory=lambda: TokenBucket(per_s=REFUSED_PER_S, burst=10 * REFUSED_PER_S)
    )
    _late_bucket: TokenBucket = field(
        factory=lambda: TokenBucket(per_s=LATE_PER_S, burst=10 * LATE_PER_S)
    )
    _served_bucket: TokenBucket = field(
        factory=lambda: TokenBucket(per_s=SERVED_PER_S, burst=10 * SERVED_PER_S)
    )

    def start_trace(
        self, request_id: bytes | None, *, now: float, wall: float
    ) -> RequestTrace:
        """Start the trace of a request.

        Parameters
        ----------
        request_id : bytes, optional
            Id chosen by the caller. If there is none, this VM generates one.
        now : float
            Monotonic seconds.
        wall : float
            Seconds since the Unix epoch.
        """
        if request_id:
            trace_id = request_id.decode("latin-1")[:MAX_ID_CHARACTERS]
        else:
            trace_id = f"{self.vm}/{int(wall * 1000):x}-{next(self._sequence)}"
        return RequestTrace(
            request_id=trace_id,
            id_is_from_caller=bool(request_id),
            started_at=now,
            started_at_unix=wall,
        )

    def log_completed(self, trace: RequestTrace, now: float) -> None:
        """Log a completed request, if the rate limit of its outcome allows it.

        Parameters
        ----------
        trace : RequestTrace
            Its trace.
        now : float
            Monotonic seconds.
        """
        is_late = trace.is_late(now)
        if trace.completion in _SUCCESSFUL and not is_late:
            if self._served_bucket.take(now):
                skipped, self.skipped_served = self.skipped_served, 0
                self._log_summary("request_served", trace, now, not_logged=skipped)
            else:
                self.skipped_served += 1
            return
        if not self._bucket_for(trace).take(now):
            self.skipped_failed += 1
            return
        for number, (at, step) in enumerate(trace.steps, start=1):
            log_event(
                step.EVENT,
                at=trace.to_unix_time(at),
                request=trace.request_id,
                step=number,
                **_fields_of(step),
            )
        event = "request_late" if trace.completion in _SUCCESSFUL else "request_failed"
        not_logged, self.skipped_failed = self.skipped_failed, 0
        self._log_summary(event, trace, now, not_logged=not_logged)

    def _bucket_for(self, trace: RequestTrace) -> TokenBucket:
        match trace.completion:
            case Completion.SERVED | Completion.CALLER_DISCONNECTED:
                return self._late_bucket
            case Completion.REFUSED:
                return self._refused_bucket
            case _:
                return self._failed_bucket

    def _log_summary(
        self, event: str, trace: RequestTrace, now: float, *, not_logged: int
    ) -> None:
        retry_after_s = trace.retry_after_s
        log_event(
            event,
            at=trace.to_unix_time(now),
            request=trace.request_id,
            step=len(trace.steps) + 1,
            service=trace.service,
            rank=trace.rank,
            ending=trace.completion.value,
            status=trace.status,
            reason=trace.reason,
            took_ms=round((now - trace.started_at) * 1000),
            attempts=trace.attempts,
            upstream=trace.upstream,
            retry_after_ms=None if not retry_after_s else round(retry_after_s * 1000),
            not_logged=not_logged or None,
        )


def _fields_of(step: Step) -> dict[str, Any]:
    field_names = _FIELD_NAMES_BY_STEP[type(step)]
    return {name: _log_value(getattr(step, name)) for name in field_names}


def _log_value(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    return round(value, 3) if isinstance(value, float) else value
