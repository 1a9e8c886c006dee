"""Expected time to the response of a request at one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from plankspindle_daemon.admission.ticket import Ticket
    from plankspindle_daemon.dispatch.domain_distances import DomainDistances
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

LOAD_COST_SHARE = 0.25
"""Cost of a full upstream over an idle one, as a share of the expected duration."""
BULKY_CROSS_DOMAIN_COST_S = 0.25
BULKY_CROSS_REGION_COST_S = 0.5
"""Cost of a large response that leaves its failure domain or its region, in seconds."""
MIN_SILENCE_FACTOR = 2.0
"""Expected durations without an answer after which an upstream costs more."""


def response_cost_s(
    upstream: UpstreamState,
    ticket: Ticket,
    work_s: float,
    distances: DomainDistances,
    now: float,
) -> float:
    """Return the expected time to a response of an upstream that answers, in seconds.

    Parameters
    ----------
    upstream : UpstreamState
        The upstream.
    ticket : Ticket
        The request.
    work_s : float
        Expected duration of the request on an idle upstream, in seconds.
    distances : DomainDistances
        Round-trip times to failure domains.
    now : float
        Monotonic time in seconds.
    """
    slots = upstream.upstream.slots
    load = upstream.load(now)
    waiting = max(0.0, load + 1 - slots) / slots
    work = upstream.current_latency(now) + waiting + LOAD_COST_SHARE * load / slots
    return work_s * work + _distance_s(upstream, ticket, distances)


def silence_cost_s(upstream: UpstreamState, work_s: float, now: float) -> float:
    """Return what an upstream that seems unresponsive costs more, in seconds.

    Parameters
    ----------
    upstream : UpstreamState
        The upstream.
    work_s : float
        Expected duration of the request on an idle upstream, in seconds.
    now : float
        Monotonic time in seconds.
    """
    silent_s = upstream.unresponsive_s(now)
    return silent_s if silent_s > MIN_SILENCE_FACTOR * work_s else 0.0


def _distance_s(
    upstream: UpstreamState, ticket: Ticket, distances: DomainDistances
) -> float:
    domain = upstream.upstream.failure_domain
    distance = distances.rtt_s(domain)
    if not ticket.bulky or domain == distances.home_domain:
        return distance
    local = distances.is_local(domain)
    return distance + (
        BULKY_CROSS_DOMAIN_COST_S if local else BULKY_CROSS_REGION_COST_S
    )
