"""Observed status of an upstream at one entry VM."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from plankspindle_daemon.upstreams.health import BackedOff
from plankspindle_daemon.upstreams.health import Ramping
from plankspindle_daemon.upstreams.health import Warm

if TYPE_CHECKING:
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState


class UpstreamStatus(Enum):
    """Observed status of an upstream at this VM."""

    HEALTHY = "well"
    RAMPING = "warming-up"
    BACKED_OFF = "backed-off"
    COLD = "cold"
    DRAINED = "drained"
    LEAVING = "leaving"
    UNCONFIRMED = "unconfirmed"
    MISDIRECTED = "misplaced"


def status_of(upstream: UpstreamState, now: float) -> UpstreamStatus:
    """Return the most severe status that applies to an upstream.

    Parameters
    ----------
    upstream : UpstreamState
        The upstream.
    now : float
        Monotonic seconds.
    """
    if upstream.is_misdirected:
        return UpstreamStatus.MISDIRECTED
    if upstream.leaving:
        return UpstreamStatus.LEAVING
    if upstream.drained_at is not None and now >= upstream.drained_at:
        return UpstreamStatus.DRAINED
    if upstream.is_unconfirmed:
        return UpstreamStatus.UNCONFIRMED
    match upstream.health.state:
        case Warm():
            is_cold = (
                upstream.cold_limiter is not None and now < upstream.cold_limiter.until
            )
            return UpstreamStatus.COLD if is_cold else UpstreamStatus.HEALTHY
        case BackedOff():
            return UpstreamStatus.BACKED_OFF
        case Ramping():
            return UpstreamStatus.RAMPING
