"""The instruments of a process: counters, gauges and histograms."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY
from prometheus_client import generate_latest

from plankspindle_daemon.observability.histogram_collector import HistogramCollector

MAX_NAMED = 20
"""Workspaces that metrics name, so that their number stays bounded."""

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from plankspindle_daemon.observability.measures import Measures

    Observe = Callable[[], Iterable[Observation]]


class Instruments:
    """Observable instruments, registered as long as this object is open.

    Parameters
    ----------
    measures : Measures
        What is counted.
    """

    def __init__(self, *, measures: Measures) -> None:
        self._measures = measures
        self._provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
        self._histograms = HistogramCollector(measures=measures)
        REGISTRY.register(self._histograms)
        self._count("lookups", self._lookups)
        self._count("rejections", self._rejections)
        self._count("retries", self._retries)
        self._count("ejections", self._ejections)
        self._count("log_lines_dropped", self._lines_dropped)
        self._count("platform_calls", self._platform_calls)
        self._count("platform_calls_refused", self._platform_calls_refused)
        self._count("upstream_crashes_reported", self._crashes_reported)
        self._count("requests_held_back", self._held_back)
        self._count("quota_requests", self._quota_requests)
        self._count("upstream_statements_unreadable", self._unreadable)
        self._gauge("upstreams_limited", self._limited)
        self._gauge("quarantined_requests", self._quarantined)
        self._gauge("platform_available", self._platform_available)
        self._gauge("queued", self._queued)
        self._gauge("in_flight", self._in_flight)
        self._gauge("configuration_version", self._version)
        self._gauge("keys_leaving_region", self._keys_leaving_region)

    def close(self) -> None:
        """Unregister the instruments."""
        REGISTRY.unregister(self._histograms)
        self._provider.shutdown()

    def render(self) -> bytes:
        """Read all instruments and give them as Prometheus text."""
        return generate_latest(REGISTRY)

    def _count(self, name: str, observe: Observe) -> None:
        meter = self._provider.get_meter("plankspindle")
        meter.create_observable_counter(
            f"plankspindle_{name}", callbacks=[_callback(observe)]
        )

    def _gauge(self, name: str, observe: Observe) -> None:
        meter = self._provider.get_meter("plankspindle")
        meter.create_observable_gauge(
            f"plankspindle_{name}", callbacks=[_callback(observe)]
        )

    def _lookups(self) -> Iterable[Observation]:
        return [Observation(self._measures.requests.lookups)]

    def _rejections(self) -> Iterable[Observation]:
        return [
            Observation(count, {"service": service, "reason": reason.value})
            for service, each in self._measures.node.dispatchers_by_service.items()
            for reason, count in each.rejections.count_by_reason.items()
        ]

    def _retries(self) -> Iterable[Observation]:
        counts = self._measures.requests.retries_by_key
        return [
            Observation(
                count, {"service": service, "decision": decision, "because": because}
            )
            for (service, decision, because), count in counts.items()
        ]

    def _keys_leaving_region(self) -> Iterable[Observation]:
        return [
            Observation(each.placement.plan.remote_share, {"service": service})
            for service, each in self._measures.node.dispatchers_by_service.items()
            if each.placement is not None
        ]

    def _ejections(self) -> Iterable[Observation]:
        return [
            Observation(count, {"service": service})
            for service, count in self._measures.ejections_by_service.items()
        ]

    def _crashes_reported(self) -> Iterable[Observation]:
        return [Observation(self._measures.node.quarantine.crashes_reported)]

    def _held_back(self) -> Iterable[Observation]:
        return [Observation(self._measures.node.quarantine.requests_refused)]

    def _quota_requests(self) -> Iterable[Observation]:
        """Give counts of the workspaces with most refusals; the rest go together."""
        borrower = self._measures.node.quotas.token_requester
        for decision, counts in (
            ("admitted", borrower.admitted_by_workspace),
            ("refused", borrower.refused_by_workspace),
        ):
            named = [
                name for name, _ in borrower.refused_by_workspace.most_common(MAX_NAMED)
            ]
            for name in named:
                labels = {"workspace": name, "decision": decision}
                yield Observation(counts[name], labels)
            rest = counts.total() - sum(counts[name] for name in named)
            yield Observation(rest, {"workspace": "others", "decision": decision})

    def _unreadable(self) -> Iterable[Observation]:
        return [
            Observation(each.statements_unreadable, {"service": service})
            for service, each in self._measures.node.dispatchers_by_service.items()
        ]

    def _limited(self) -> Iterable[Observation]:
        return [
            Observation(
                sum(
                    upstream.last_statement.limit_per_s is not None
                    for upstream in each.upstreams_by_name.values()
                ),
                {"service": service},
            )
            for service, each in self._measures.node.dispatchers_by_service.items()
        ]

    def _quarantined(self) -> Iterable[Observation]:
        listed = self._measures.node.quarantine.quarantine_list
        return [Observation(len(listed.entries_by_identity))]

    def _lines_dropped(self) -> Iterable[Observation]:
        return [Observation(self._measures.lines_dropped)]

    def _platform_calls(self) -> Iterable[Observation]:
        return [
            Observation(count, {"kind": kind.value})
            for kind, count in self._measures.calls.made_by_kind.items()
        ]

    def _platform_calls_refused(self) -> Iterable[Observation]:
        calls = self._measures.calls
        return [
            Observation(calls.refused_by_breaker, {"by": "breaker"}),
            Observation(calls.refused_by_budget, {"by": "budget"}),
        ]

    def _platform_available(self) -> Iterable[Observation]:
        return [Observation(int(self._measures.calls.available))]

    def _queued(self) -> Iterable[Observation]:
        return [
            Observation(len(each.queue), {"service": service})
            for service, each in self._measures.node.dispatchers_by_service.items()
        ]

    def _in_flight(self) -> Iterable[Observation]:
        return [
            Observation(
                upstream.ledger.in_flight, {"service": service, "upstream": name}
            )
            for service, each in self._measures.node.dispatchers_by_service.items()
            for name, upstream in each.upstreams_by_name.items()
        ]

    def _version(self) -> Iterable[Observation]:
        return [Observation(self._measures.node.version)]


def _callback(observe: Observe) -> Callable[[CallbackOptions], Iterable[Observation]]:
    return lambda _: observe()
