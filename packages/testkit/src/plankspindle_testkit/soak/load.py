"""How many requests a soak has in flight, and how long they take."""

from __future__ import annotations

from enum import Enum
from random import Random

from attrs import frozen

from plankspindle_testkit.soak.layout import TIMEOUT_MS

LEAST_TIMEOUT_MS = 600
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
    kept_a_vm : int
        Connections to each VM that are kept and used, one request at a time on each.
    slots : int
        Requests that each upstream runs at once.
    slow_part : float
        Part of their requests that end near their timeouts.
    most_timeout_ms : int
        Longest time that slow requests are given, in milliseconds.
    rest_s : float
        Longest rest between two requests on a connection, in seconds.
    most_callers : int
        Most callers besides, each with a connection a request.
    pace : float
        Factor on the periods at which VMs read the platform and probe upstreams.
    weight : float
        How often it is drawn.
    """

    kept_a_vm: int
    slots: int
    slow_part: float
    most_timeout_ms: int = TIMEOUT_MS
    rest_s: float = 0.2
    most_callers: int = 8
    pace: float = 1.0
    weight: float = 0.0


LOAD_BY_KIND = {
    LoadKind.LIGHT: Load(kept_a_vm=4, slots=8, slow_part=0.05, weight=0.5),
    LoadKind.FULL: Load(kept_a_vm=32, slots=32, slow_part=0.9, weight=0.25),
    LoadKind.IMPATIENT: Load(
        kept_a_vm=16, slots=32, slow_part=0.2, most_timeout_ms=800, weight=0.25
    ),
    LoadKind.WIDE: Load(kept_a_vm=3, slots=64, slow_part=0.1, rest_s=2.0, pace=4.0),
}
"""Impatient: most requests are short, so that a VM's patience with an upstream ends
right before the timeouts of the slow ones. Wide: for so many VMs that the soak's one
process, which passes some 500 requests a second, would be what is loaded.
"""


def draw_load(seed: int) -> LoadKind:
    """Draw a load from a seed."""
    weights = [each.weight for each in LOAD_BY_KIND.values()]
    (kind,) = Random(f"load {seed}").choices(list(LOAD_BY_KIND), weights)
    return kind
