"""Exports the histograms of a process to the Prometheus library."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client.core import HistogramMetricFamily
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from collections.abc import Iterable

    from prometheus_client import Metric

    from plankspindle_core.histogram import Histogram
    from plankspindle_daemon.observability.metric_sources import MetricSources


class HistogramCollector(Collector):
    """Collect the histograms of a process when its metrics are read.

    Parameters
    ----------
    sources : MetricSources
        Counts of the process.
    """

    def __init__(self, *, sources: MetricSources) -> None:
        self._sources = sources

    def collect(self) -> Iterable[Metric]:
        """Yield all histograms."""
        requests = self._sources.requests
        yield _make_family(
            "plankspindle_request_duration_seconds",
            "Duration of requests.",
            ("service", "rank", "ending"),
            requests.request_durations_by_key.items(),
        )
        yield _make_family(
            "plankspindle_queue_duration_seconds",
            "Time for which requests waited for an upstream.",
            ("service",),
            [
                ((name,), each)
                for name, each in requests.queue_durations_by_service.items()
            ],
        )
        yield _make_family(
            "plankspindle_attempt_duration_seconds",
            "Duration of attempts at upstreams.",
            ("service", "verdict"),
            requests.attempt_durations_by_key.items(),
        )
        yield _make_family(
            "plankspindle_platform_call_duration_seconds",
            "Duration of calls to the platform.",
            ("kind", "outcome"),
            self._sources.calls.durations_by_kind_and_outcome.items(),
        )


def _make_family(
    name: str,
    text: str,
    labels: tuple[str, ...],
    histograms: Iterable[tuple[tuple[object, ...], Histogram]],
) -> HistogramMetricFamily:
    family = HistogramMetricFamily(name, text, labels=labels)
    for key, histogram in histograms:
        values = [str(each) for each in key]
        family.add_metric(values, histogram.cumulative(), histogram.total)
    return family
