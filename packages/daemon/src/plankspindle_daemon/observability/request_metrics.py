"""Counters and histograms of the request path."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.histogram import Histogram
from plankspindle_daemon.traces.steps import AttemptEnded
from plankspindle_daemon.traces.steps import Placed
from plankspindle_daemon.traces.steps import Queued
from plankspindle_daemon.traces.steps import Rejected
from plankspindle_daemon.traces.steps import RetryDecided

if TYPE_CHECKING:
    from collections.abc import Hashable
    from typing import TypeVar

    from plankspindle_daemon.traces.request_trace import RequestTrace

    Key = TypeVar("Key", bound=Hashable)

REQUEST_BOUNDS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
QUEUE_BOUNDS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
TAKEN = "taken"
WITHHELD = "withheld"
NO_SERVICE = "none"
"""Label value for requests that were refused before their service was known."""


@define(kw_only=True)
class RequestMetrics:
    """Counters and histograms of the request path, filled from request traces.

    Attributes
    ----------
    lookups : int
        Answered lookups.
    request_durations_by_key : dict of (service, rank, ending) to Histogram
        Durations of requests, in seconds.
    queue_durations_by_service : dict of str to Histogram
        Times that requests waited for an upstream, in seconds.
    attempt_durations_by_key : dict of (service, verdict) to Histogram
        Durations of attempts, in seconds.
    retries_by_key : Counter of (service, decision, because)
        Retries that were allowed or denied; ``because`` is the reason.
    """

    lookups: int = 0
    request_durations_by_key: dict[tuple[str, int, str], Histogram] = field(
        factory=dict
    )
    queue_durations_by_service: dict[str, Histogram] = field(factory=dict)
    attempt_durations_by_key: dict[tuple[str, str], Histogram] = field(factory=dict)
    retries_by_key: Counter[tuple[str, str, str]] = field(factory=Counter)

    def record_lookup(self) -> None:
        """Count a lookup."""
        self.lookups += 1

    def record_request(self, trace: RequestTrace, now: float) -> None:
        """Count a completed request, with its attempts, retries and queueing times.

        Parameters
        ----------
        trace : RequestTrace
            Trace of the request.
        now : float
            Monotonic seconds.
        """
        service = trace.service or NO_SERVICE
        rank = -1 if trace.rank is None else trace.rank
        key = (service, rank, trace.completion.value)
        _histogram_for(self.request_durations_by_key, key, REQUEST_BOUNDS_S).record(
            now - trace.started_at
        )
        queued_at = None
        for at, step in trace.steps:
            match step:
                case Queued():
                    queued_at = at
                case Placed() | Rejected():
                    waited_s = 0.0 if queued_at is None else at - queued_at
                    queue = _histogram_for(
                        self.queue_durations_by_service, service, QUEUE_BOUNDS_S
                    )
                    queue.record(waited_s)
                    queued_at = None
                case AttemptEnded(verdict=verdict, took_ms=took_ms):
                    attempts = _histogram_for(
                        self.attempt_durations_by_key,
                        (service, verdict),
                        REQUEST_BOUNDS_S,
                    )
                    attempts.record(took_ms / 1000)
                case RetryDecided(taken=taken, because=because):
                    decision = TAKEN if taken else WITHHELD
                    self.retries_by_key[service, decision, because] += 1
                case _:
                    pass


def _histogram_for(
    histograms: dict[Key, Histogram], key: Key, bounds: tuple[float, ...]
) -> Histogram:
    histogram = histograms.get(key)
    if histogram is None:
        histogram = histograms[key] = Histogram(bounds=bounds)
    return histogram
