"""Counts of a service's requests and upstreams by software version, at one VM."""

from __future__ import annotations

from plankspindle_core.classes import frozen
from plankspindle_daemon.peer_messages.rollout_messages import UpstreamOutcomes
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes

MAX_BAD_UPSTREAMS = 16
"""Upstreams of the target whose bad answers are told apart."""


@frozen(kw_only=True)
class VersionCounts:
    """Requests and judged answers of this VM since an order.

    Parameters
    ----------
    requests, exposed : int
        Requests sent to any upstream of the service, and those of them sent to the
        target version.
    outcomes : tuple of VersionOutcomes
        Judged answers by operation and failure domain.
    bad_upstreams : tuple of UpstreamOutcomes
        The target's upstreams with the most bad answers.
    baseline_in_flight : int
        Requests that run at upstreams of other versions than the target, or may still
        do so after they were given up.
    """

    requests: int = 0
    exposed: int = 0
    outcomes: tuple[VersionOutcomes, ...] = ()
    bad_upstreams: tuple[UpstreamOutcomes, ...] = ()
    baseline_in_flight: int = 0


@frozen(kw_only=True)
class ListedVersion:
    """Upstreams of one software version of a service.

    Parameters
    ----------
    listed : int
        Upstreams that are listed and stay.
    warm : int
        Those of them that are not cold.
    """

    listed: int = 0
    warm: int = 0
