"""Metrics in the Prometheus text format, whose libraries are imported on first use."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from plankspindle_daemon.observability.instruments import Instruments
    from plankspindle_daemon.observability.metric_sources import MetricSources


class MetricsReader:
    """Render the metrics of a process.

    Parameters
    ----------
    sources : MetricSources
        Counts of the process.

    Notes
    -----
    The metrics libraries take about 5 MB of memory, so they are imported when the
    metrics are first read.
    """

    def __init__(self, *, sources: MetricSources) -> None:
        self._sources = sources
        self._instruments: Instruments | None = None

    def close(self) -> None:
        """Unregister the instruments."""
        if self._instruments is not None:
            self._instruments.close()
            self._instruments = None

    def render(self) -> bytes:
        """Read all instruments and return them in the Prometheus text format."""
        if self._instruments is None:
            self._instruments = self._load()
        return self._instruments.render()

    def _load(self) -> Instruments:
        from plankspindle_daemon.observability.instruments import Instruments

        return Instruments(sources=self._sources)
