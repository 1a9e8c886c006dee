"""The OpenTelemetry instruments of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY
from prometheus_client import generate_latest

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterable

    from plankspindle_daemon.node.node import Node
    from plankspindle_daemon.observability.metrics import RequestMetrics


class Instruments:
    """Observable instruments, registered as long as this object is open.

    Parameters
    ----------
    node : Node
        The decisions.
    requests : RequestMetrics
        Counts of the request path.
    """

    def __init__(self, *, node: Node, requests: RequestMetrics) -> None:
        self._node = node
        self._requests = requests
        self._provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
        meter = self._provider.get_meter("plankspindle")
        meter.create_observable_counter(
            "plankspindle_lookups", callbacks=[self._observe_lookups]
        )
        meter.create_observable_counter(
            "plankspindle_requests", callbacks=[self._observe_requests]
        )
        meter.create_observable_counter(
            "plankspindle_request_seconds", callbacks=[self._observe_seconds]
        )
        meter.create_observable_gauge(
            "plankspindle_queued", callbacks=[self._observe_queued]
        )
        meter.create_observable_gauge(
            "plankspindle_in_flight", callbacks=[self._observe_in_flight]
        )
        meter.create_observable_gauge(
            "plankspindle_configuration_version", callbacks=[self._observe_version]
        )

    def close(self) -> None:
        """Unregister the instruments."""
        self._provider.shutdown()

    def render(self) -> bytes:
        """Read all instruments and give them as Prometheus text."""
        return generate_latest(REGISTRY)

    def _observe_lookups(self, _: CallbackOptions) -> Iterable[Observation]:
        return [Observation(self._requests.lookups)]

    def _observe_requests(self, _: CallbackOptions) -> Iterable[Observation]:
        return _by_service_and_rank(self._requests.requests_by_key)

    def _observe_seconds(self, _: CallbackOptions) -> Iterable[Observation]:
        return _by_service_and_rank(self._requests.seconds_by_key)

    def _observe_queued(self, _: CallbackOptions) -> Iterable[Observation]:
        return [
            Observation(len(each.queue), {"service": service})
            for service, each in self._node.dispatchers_by_service.items()
        ]

    def _observe_in_flight(self, _: CallbackOptions) -> Iterable[Observation]:
        return [
            Observation(
                upstream.ledger.in_flight, {"service": service, "upstream": name}
            )
            for service, each in self._node.dispatchers_by_service.items()
            for name, upstream in each.upstreams_by_name.items()
        ]

    def _observe_version(self, _: CallbackOptions) -> Iterable[Observation]:
        return [Observation(self._node.version)]


def _by_service_and_rank(
    counts: Counter[tuple[str, int]],
) -> Iterable[Observation]:
    return [
        Observation(value, {"service": service, "rank": rank})
        for (service, rank), value in counts.items()
    ]
