"""When upstreams that limit what they get, or rest, want another request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.dispatch.messages import WantToken

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_daemon.upstreams.upstream_state import UpstreamState


def opening_of(upstreams: Iterable[UpstreamState], now: float) -> float | None:
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
        if upstream.takes_nothing_new(now):
            continue
        opens_at = upstream.opens_at(now)
        if opens_at <= now:
            return now
        first = opens_at if first is None else min(first, opens_at)
    return first


def want_token(upstream: UpstreamState, now: float) -> WantToken | None:
    """Ask for a token of an upstream's limit, unless that is under way or in vain."""
    gate = upstream.limit_gate()
    if gate is None or not gate.may_ask(now):
        return None
    gate.note_asked(now)
    return WantToken(upstream=upstream.name, incarnation=upstream.incarnation)
