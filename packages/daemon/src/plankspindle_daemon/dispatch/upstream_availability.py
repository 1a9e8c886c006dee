"""When upstreams that limit what they get, or rest, want another request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.dispatch.messages import RequestToken

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_daemon.upstreams.upstream_state import UpstreamState


def earliest_available_at(
    upstreams: Iterable[UpstreamState], now: float
) -> float | None:
    """Give when the first of some upstreams wants a request; None if none ever will.

    Parameters
    ----------
    upstreams : iterable of UpstreamState
        Upstreams that may run a request.
    now : float
        Monotonic seconds.

    Returns
    -------
    float or None
        Monotonic seconds; now unless all that stay are limited or rest.
    """
    first: float | None = None
    for upstream in upstreams:
        if upstream.rejects_new_work(now):
            continue
        opens_at = upstream.available_at(now)
        if opens_at <= now:
            return now
        first = opens_at if first is None else min(first, opens_at)
    return first


def request_token(upstream: UpstreamState, now: float) -> RequestToken | None:
    """Ask for a token of an upstream's limit, unless that is under way or in vain."""
    gate = upstream.fleet_limiter()
    if gate is None or not gate.may_request_token(now):
        return None
    gate.record_token_request(now)
    return RequestToken(upstream=upstream.name, incarnation=upstream.incarnation)
