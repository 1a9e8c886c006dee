"""How many requests a soak has in flight, and how long they take."""

from __future__ import annotations

from enum import Enum
from random import Random

from attrs import frozen

from plankspindle_testkit.soak.layout import TIMEOUT_MS

MIN_SLOW_TIMEOUT_MS = 600
"""Shortest time that a slow request is given; VMs are patient with an upstream for as
long at least, in milliseconds.
"""


class LoadKind(Enum):
    """Names of loads."""

    LIGHT = "light"
    FULL = "full"
    IMPATIENT = "impatient"
    WIDE = "wide"


@frozen(kw_only=True)
class Load:
    """What the callers do.

    Parameters
    ----------
    connections_per_vm : int
        Connections to each VM that are kept and used, one request at a time on each.
    slots : int
        Requests that each upstream runs at once.
    slow_share : float
        Part of their requests that end near their timeouts.
    max_slow_timeout_ms : int
        Longest time that slow requests are given, in milliseconds.
    max_think_time_s : float
        Longest rest between two requests on a connection, in seconds.
    max_callers : int
        Most callers besides, each with a connection a request.
    period_factor : float
        Factor on the periods at which VMs read the platform and probe upstreams.
    draw_weight : float
        How often it is drawn.
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
"""Impatient: most requests are short, so that a VM's patience with an upstream ends
right before the timeouts of the slow ones. Wide: for so many VMs that the soak's one
process, which passes some 500 requests a second, would be what is loaded.
"""


def draw_load(seed: int) -> LoadKind:
    """Draw a load from a seed."""
    weights = [each.draw_weight for each in LOAD_BY_KIND.values()]
    (kind,) = Random(f"load {seed}").choices(list(LOAD_BY_KIND), weights)
    return kind
