"""Share of a service's keys that the canary of a roll-out gets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define

if TYPE_CHECKING:
    from plankspindle_daemon.rollouts.rollout_order import RolloutOrder

MIN_RATE_SPAN_S = 0.5
"""Least time since the order that the rate of requests is taken over, in seconds."""
SLACK_SHARE = 0.1
DOUBT_SLACK_SHARE = 0.8
"""Parts of the slack of the bound on the exposure that the canary may use.

A bad version that no answer shows gets the requests of the move as well, and most of
the slack is for these. Where answers cast doubt on a version, more of them decide.
"""
MOVE_COST_S = 1.9
"""Time for whose requests a move and what follows until the deadline stand, in s.

While the share grows, a part of the requests goes to the target, then all of them.
"""
MAX_CANARY_SHARE = 0.5
"""Largest share of the keys, however few requests are expected."""


def canary_share_of(
    base_share: float,
    *,
    exposure_slack: float,
    per_s: float,
    canary_s: float,
    is_in_doubt: bool = False,
) -> float:
    """Return the share of the keys that the canary gets.

    Parameters
    ----------
    base_share : float
        Share of the requests that the canary gets at any traffic, 0 to 1; half of what
        a bad version may get.
    exposure_slack : float
        Requests that a bad version may get beyond that.
    per_s : float
        Requests of the service per second.
    canary_s : float
        Duration of the canary, in seconds.
    is_in_doubt : bool
        Whether answers cast doubt on the version.

    Notes
    -----
    A share of little traffic is too few answers to judge a version by; the slack, which
    does not depend on the traffic, then carries most of the canary. With so little
    traffic that the slack covers the move as well, a bad version that no answer shows
    stays within its bound, and the canary uses only what the move leaves.
    """
    requests = per_s * canary_s
    if exposure_slack <= 0.0:
        return base_share
    if requests <= 0.0:
        return MAX_CANARY_SHARE
    left = exposure_slack + 2 * base_share * requests - MOVE_COST_S * per_s
    slack_share = DOUBT_SLACK_SHARE if is_in_doubt else SLACK_SHARE
    most = base_share * requests + slack_share * exposure_slack
    is_covered = left > base_share * requests and not is_in_doubt
    exposed = min(left, most) if is_covered else most
    return max(base_share, min(MAX_CANARY_SHARE, exposed / requests))


@define(kw_only=True)
class CanaryBudget:
    """Requests that the canary may get, and its share of the keys.

    Parameters
    ----------
    base_share : float
        Share of the requests that the canary gets at any traffic, 0 to 1.
    exposure_slack : float
        Requests that a bad version may get beyond its share.

    Attributes
    ----------
    share : float
        Share of the keys, 0 to 1.

    Notes
    -----
    The share stays the same throughout a canary without doubt, so that keys keep to one
    version. It falls to the base if more requests came than it was made for.
    """

    base_share: float
    exposure_slack: float = 0.0
    share: float = field(init=False)
    _doubt_share: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.share = self.base_share

    def begin(self, order: RolloutOrder, *, requests: int, now: float) -> None:
        """Choose the share for a canary, unless another VM has chosen it.

        Parameters
        ----------
        order : RolloutOrder
            The order, which tells the duration of the canary.
        requests : int
            Requests of the service since the order.
        now : float
            Monotonic seconds.
        """
        per_s = requests / max(MIN_RATE_SPAN_S, now - order.ordered_at)
        canary_s = max(0.0, order.move_begins_at(now) - now)
        calm, self._doubt_share = (
            canary_share_of(
                self.base_share,
                exposure_slack=self.exposure_slack,
                per_s=per_s,
                canary_s=canary_s,
                is_in_doubt=is_in_doubt,
            )
            for is_in_doubt in (False, True)
        )
        if self.share == self.base_share:
            self.share = calm

    def check(self, *, requests: int, exposed: int, is_in_doubt: bool) -> None:
        """Raise the share if answers cast doubt, or return to the base if it was used.

        Parameters
        ----------
        requests, exposed : int
            Requests of the service since the order, and those that the target got.
        is_in_doubt : bool
            Whether answers cast doubt on the version.
        """
        slack = DOUBT_SLACK_SHARE * self.exposure_slack
        if exposed > self.base_share * requests + slack:
            self.share = self.base_share
        elif is_in_doubt:
            self.share = max(self.share, self._doubt_share)
