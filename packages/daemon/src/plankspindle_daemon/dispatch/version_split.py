"""Shares of a service's requests by the software version of its upstreams."""

from __future__ import annotations

import math

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class VersionSplit:
    """Which software versions of a service get its requests now.

    Parameters
    ----------
    baseline : str
        Software version in force.
    target : str, optional
        Software version that a roll-out moves to; None if there is no roll-out.
    order : int
        Number of the order. It salts the hashes that choose keys and upstreams.
    target_share : float
        Share of the affinity keys, or of requests without one, whose requests go to the
        target version, from 0 to 1.
    upstream_share : float
        Share of the target version's upstreams of each region that get requests, from 0
        to 1. At least one of each region does.
    max_exposure_share : float, optional
        Limit on the requests sent to the target version, as a share of all requests
        that this VM has sent to the service since the order; None for no limit.
    baseline_ends_at : float
        Monotonic time in seconds by which requests at the baseline version must have
        ended. One that is expected to run longer goes to the target version.
    is_complete : bool
        Whether the baseline version gets no requests any more.
    is_baseline_known : bool
        Whether the baseline is known to be in force, and not only the likeliest one.

    Notes
    -----
    Upstreams of other software versions get no requests, unless no upstream of the
    baseline or target version is left; and not at once if the baseline is known, as its
    upstreams are back soon after they lapsed or were replaced.
    """

    baseline: str
    target: str | None = None
    order: int = 0
    target_share: float = 0.0
    upstream_share: float = 1.0
    max_exposure_share: float | None = None
    baseline_ends_at: float = math.inf
    is_complete: bool = False
    is_baseline_known: bool = False
