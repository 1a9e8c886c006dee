"""What an entry VM believes of an upstream, in one word."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from plankspindle_daemon.upstreams.health import BackedOff
from plankspindle_daemon.upstreams.health import Ramping
from plankspindle_daemon.upstreams.health import Warm

if TYPE_CHECKING:
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState


class Standing(Enum):
    """What this VM believes of an upstream."""

    WELL = "well"
    WARMING_UP = "warming-up"
    BACKED_OFF = "backed-off"
    COLD = "cold"
    DRAINED = "drained"
    LEAVING = "leaving"
    UNCONFIRMED = "unconfirmed"
    MISPLACED = "misplaced"


def standing_of(upstream: UpstreamState, now: float) -> Standing:
    """Say what is believed of an upstream, the gravest first.

    Parameters
    ----------
    upstream : UpstreamState
        The upstream.
    now : float
        Monotonic seconds.
    """
    if upstream.is_misplaced:
        return Standing.MISPLACED
    if upstream.leaving:
        return Standing.LEAVING
    if upstream.drained_at is not None and now >= upstream.drained_at:
        return Standing.DRAINED
    if upstream.is_unconfirmed:
        return Standing.UNCONFIRMED
    match upstream.health.state:
        case Warm():
            is_cold = upstream.cold is not None and now < upstream.cold.until
            return Standing.COLD if is_cold else Standing.WELL
        case BackedOff():
            return Standing.BACKED_OFF
        case Ramping():
            return Standing.WARMING_UP
