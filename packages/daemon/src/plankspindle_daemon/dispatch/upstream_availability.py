"""When upstreams with rate limits or retry-after periods accept requests again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.dispatch.messages import RequestToken

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_daemon.upstreams.upstream_state import UpstreamState


def earliest_available_at(
    upstreams: Iterable[UpstreamState], now: float
) -> float | None:
    """Return when the first of the upstreams accepts a request; None if none ever will.

    Parameters
    ----------
    upstreams : iterable of UpstreamState
        Upstreams that may run the request.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    float or None
        Monotonic time in seconds; ``now`` unless limits or retry-after periods
        block all upstreams that accept new work.
    """
    first: float | None = None
    for upstream in upstreams:
        if upstream.rejects_new_work(now):
            continue
        available_at = upstream.available_at(now)
        if available_at <= now:
            return now
        first = available_at if first is None else min(first, available_at)
    return first


def request_token(upstream: UpstreamState, now: float) -> RequestToken | None:
    """Request a token of a rate limit, unless one is pending or none is available."""
    limiter = upstream.fleet_limiter()
    if limiter is None or not limiter.may_request_token(now):
        return None
    limiter.record_token_request(now)
    return RequestToken(upstream=upstream.name, incarnation=upstream.incarnation)
