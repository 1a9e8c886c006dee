"""Probes that read the load reports of upstreams with divided slots."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_daemon.dispatch.messages import SendProbe

if TYPE_CHECKING:
    from collections.abc import Mapping

    from plankspindle_daemon.dispatch.messages import ProbeCompleted
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

MIN_PROBE_GAP_S = 0.05


@define(kw_only=True)
class ProbeSchedule:
    """Probe each upstream once a period, and earlier to end a back-off.

    Parameters
    ----------
    random : Random
        Source of jitter.
    probe_period_s : float
        Period at which load reports are read, in seconds.
    """

    random: Random
    probe_period_s: float
    _next_by_name: dict[str, float] = Factory(dict)
    _last_by_name: dict[str, float] = Factory(dict)

    def all(self, by_name: Mapping[str, UpstreamState], now: float) -> list[SendProbe]:
        """Return a probe of every upstream, due now."""
        self._next_by_name.clear()
        return self.due(by_name, now)

    def due(self, by_name: Mapping[str, UpstreamState], now: float) -> list[SendProbe]:
        """Return the probes that are due."""
        probes: list[SendProbe] = []
        for name, upstream in by_name.items():
            is_due = self._next_by_name.get(name, 0.0) <= now
            if is_due or self._may_end_back_off(name, upstream, now):
                jittered = self.probe_period_s * self.random.uniform(0.8, 1.2)
                self._next_by_name[name] = now + jittered
                self._last_by_name[name] = now
                probes.append(
                    SendProbe(upstream=name, endpoint=upstream.upstream.endpoint)
                )
        return probes

    def _may_end_back_off(self, name: str, upstream: UpstreamState, now: float) -> bool:
        last = self._last_by_name.get(name, 0.0)
        return upstream.health.is_probe_due(now) and now - last >= MIN_PROBE_GAP_S


def apply_probe(
    probed: ProbeCompleted, by_name: Mapping[str, UpstreamState], now: float
) -> None:
    """Apply the result of a probe, if its upstream is still listed."""
    upstream = by_name.get(probed.upstream)
    if upstream is None:
        return
    if probed.report is None:
        upstream.record_probe_failure(reached=probed.reached, now=now)
    else:
        upstream.record_probe_report(probed.report, now=now, wall_time=probed.wall)
