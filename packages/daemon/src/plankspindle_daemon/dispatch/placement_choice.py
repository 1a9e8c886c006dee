"""Types of the search for the best upstream of a request."""

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
        Whether it is expected to have seen the affinity key.
    spills : bool
        Whether it is in a region other than the one planned for the request.
    """

    upstream: UpstreamState
    is_hit: bool
    spills: bool = False


@frozen
class NeedsToken:
    """The request should wait for a token of an upstream's rate limit."""

    upstream: UpstreamState


@frozen(kw_only=True)
class PlacementQuery:
    """A request to be placed, with the values that are the same for all upstreams.

    Parameters
    ----------
    ticket : Ticket
        The request.
    hit_s, miss_s : float
        Expected duration on an upstream that has seen the affinity key, and on one
        that has not, in seconds.
    now : float
        Monotonic time in seconds.
    """

    ticket: Ticket
    hit_s: float
    miss_s: float
    now: float


@define(kw_only=True)
class BestChoice:
    """The best choice found so far, and its cost in seconds with a random tie-break."""

    choice: PlacementChoice | None = None
    cost: tuple[float, float] = (math.inf, 0.0)
