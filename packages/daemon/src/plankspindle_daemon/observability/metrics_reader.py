"""Metrics in the Prometheus text form, loaded when they are first asked for."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from plankspindle_daemon.observability.instruments import Instruments
    from plankspindle_daemon.observability.metric_sources import MetricSources


class MetricsReader:
    """Expose what a process counts.

    Parameters
    ----------
    measures : MetricSources
        What is counted.

    Notes
    -----
    The libraries of the metrics take about 5 MB, so they are loaded when the metrics
    are first asked for.
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
        """Read all instruments and give them as Prometheus text."""
        if self._instruments is None:
            self._instruments = self._load()
        return self._instruments.render()

    def _load(self) -> Instruments:
        from plankspindle_daemon.observability.instruments import Instruments

        return Instruments(sources=self._sources)
