"""A request to be placed, and the best upstream for it so far."""

from __future__ import annotations

import math

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.upstreams.upstream_state import UpstreamState


@frozen(kw_only=True)
class PlacementChoice:
    """An upstream chosen for a request.

    Parameters
    ----------
    upstream : UpstreamState
        The upstream.
    is_hit : bool
        Whether it is the one that the affinity key prefers.
    spills : bool
        Whether it stands in a region that is not planned for the request.
    """

    upstream: UpstreamState
    is_hit: bool
    spills: bool = False


@frozen
class NeedsToken:
    """A request had better wait for a token of the limit that its upstream names."""

    upstream: UpstreamState


@frozen(kw_only=True)
class PlacementQuery:
    """A request to be placed; what stays the same while upstreams are weighed."""

    ticket: Ticket
    hit_s: float
    miss_s: float
    now: float


@define(kw_only=True)
class BestChoice:
    """The best place so far, and its cost with a tie-break."""

    choice: PlacementChoice | None = None
    cost: tuple[float, float] = (math.inf, 0.0)
