"""Counts of the request path, and metrics in the Prometheus text form on request."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from plankspindle_daemon.node.node import Node
    from plankspindle_daemon.observability.instruments import Instruments


class RequestMetrics:
    """Counts of the request path.

    Notes
    -----
    The hot path only adds to plain counters; OpenTelemetry reads them through
    observable instruments when it is asked.
    """

    def __init__(self) -> None:
        self.lookups = 0
        self.requests_by_key: Counter[tuple[str, int]] = Counter()
        self.seconds_by_key: Counter[tuple[str, int]] = Counter()

    def note_lookup(self) -> None:
        """Count a look-up."""
        self.lookups += 1

    def note_request(self, *, service: str, rank: int, seconds: float) -> None:
        """Count a request and its duration."""
        self.requests_by_key[service, rank] += 1
        self.seconds_by_key[service, rank] += seconds  # type: ignore[assignment]


class MetricsReader:
    """Expose the counts of a node.

    Parameters
    ----------
    node : Node
        The decisions.
    requests : RequestMetrics
        Counts of the request path.

    Notes
    -----
    The libraries of the metrics take about 5 MB, so they are loaded when the metrics
    are first asked for.
    """

    def __init__(self, *, node: Node, requests: RequestMetrics) -> None:
        self._node = node
        self._requests = requests
        self._instruments: Instruments | None = None

    def close(self) -> None:
        """Unregister the instruments."""
        if self._instruments is not None:
            self._instruments.close()
            self._instruments = None

    def render(self) -> bytes:
        """Read all instruments and give them as Prometheus text."""
        if self._instruments is None:
            self._instruments = self._load()
        return self._instruments.render()

    def _load(self) -> Instruments:
        from plankspindle_daemon.observability.instruments import Instruments

        return Instruments(node=self._node, requests=self._requests)
