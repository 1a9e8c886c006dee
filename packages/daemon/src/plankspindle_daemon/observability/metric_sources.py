"""Objects whose counts the metrics and the state dump show."""

from __future__ import annotations

from collections import Counter

from plankspindle_core.classes import define
from plankspindle_core.logs.key_value_destination import KeyValueDestination
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.observability.request_metrics import RequestMetrics
from plankspindle_daemon.platform.bounded_calls import BoundedCalls


@define(kw_only=True)
class MetricSources:
    """Objects of one process whose counts the metrics and the state dump show.

    Parameters
    ----------
    node : Node
        Decision logic of this VM.
    requests : RequestMetrics
        Counts of the request path.
    calls : BoundedCalls
        Calls to the platform.
    ejections_by_service : Counter of str
        How often an upstream of the service became backed off.
    log : KeyValueDestination, optional
        Destination of the log, which counts dropped lines.
    """

    node: Node
    requests: RequestMetrics
    calls: BoundedCalls
    ejections_by_service: Counter[str]
    log: KeyValueDestination | None = None

    @property
    def log_lines_dropped(self) -> int:
        """Number of log lines that were dropped."""
        return 0 if self.log is None else self.log.dropped_by_event.total()
