"""Load of a soak: number, duration and timeouts of requests."""

from __future__ import annotations

from enum import Enum
from random import Random

from attrs import frozen

from plankspindle_testkit.soak.layout import TIMEOUT_MS

MIN_SLOW_TIMEOUT_MS = 600
"""Minimum timeout of a slow request, in milliseconds; the attempt timeout of VMs is at
least as long.
"""


class LoadKind(Enum):
    """Kinds of load."""

    LIGHT = "light"
    FULL = "full"
    IMPATIENT = "impatient"
    WIDE = "wide"


@frozen(kw_only=True)
class Load:
    """Parameters of the callers.

    Parameters
    ----------
    connections_per_vm : int
        Persistent connections to each VM, with one request at a time on each.
    slots : int
        Concurrent requests of each upstream.
    slow_share : float
        Share of the requests on them that take about as long as their timeouts.
    max_slow_timeout_ms : int
        Maximum timeout of slow requests, in milliseconds.
    max_think_time_s : float
        Maximum pause between two requests on a connection, in seconds.
    max_callers : int
        Maximum number of additional callers that open a connection for each request.
    period_factor : float
        Factor on the periods at which VMs read the platform and probe upstreams.
    draw_weight : float
        Weight of this load when loads are drawn.
    """

    connections_per_vm: int
    slots: int
    slow_share: float
    max_slow_timeout_ms: int = TIMEOUT_MS
    max_think_time_s: float = 0.2
    max_callers: int = 8
    period_factor: float = 1.0
    draw_weight: float = 0.0


LOAD_BY_KIND = {
    LoadKind.LIGHT: Load(
        connections_per_vm=4, slots=8, slow_share=0.05, draw_weight=0.5
    ),
    LoadKind.FULL: Load(
        connections_per_vm=32, slots=32, slow_share=0.9, draw_weight=0.25
    ),
    LoadKind.IMPATIENT: Load(
        connections_per_vm=16,
        slots=32,
        slow_share=0.2,
        max_slow_timeout_ms=800,
        draw_weight=0.25,
    ),
    LoadKind.WIDE: Load(
        connections_per_vm=3,
        slots=64,
        slow_share=0.1,
        max_think_time_s=2.0,
        period_factor=4.0,
    ),
}
"""Impatient: most requests are short, so that the attempt timeout of a VM ends right
before the timeouts of the slow requests. Wide: for so many VMs that otherwise the
process of the soak, which forwards some 500 requests per second, would be the
bottleneck.
"""


def draw_load(seed: int) -> LoadKind:
    """Return the load of a seed."""
    weights = [each.draw_weight for each in LOAD_BY_KIND.values()]
    (kind,) = Random(f"load {seed}").choices(list(LOAD_BY_KIND), weights)
    return kind
