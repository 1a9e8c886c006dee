"""Token bucket that holds a share of a quota or limit over all entry VMs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Protocol

from plankspindle_core.classes import define
from plankspindle_core.stable_hash import stable_hash

if TYPE_CHECKING:
    from plankspindle_daemon.quotas.leased_shares import LeasedShares

MAX_RETRY_AFTER_S = 5.0
_HASH_RANGE = 2.0**64


class RateLimit(Protocol):
    """Rate and burst of a workspace's quota, or of an upstream's limit."""

    @property
    def rate_per_s(self) -> float:
        """Requests per second, from all entry VMs together."""

    @property
    def burst(self) -> float:
        """Requests that may arrive at once beyond that rate."""


@define(kw_only=True)
class TokenPool:
    """Tokens of one workspace, or of one incarnation of an upstream, at one holder.

    Parameters
    ----------
    subject : str
        Name of the workspace, or of the upstream's incarnation.
    holder : str
        Name of this VM.
    rate_limit : RateLimit
        Its quota or limit.
    slack_requests : float
        Requests that the fleet admits beyond the burst.

    Notes
    -----
    The pool is empty when its holder gets its first shares, since the previous holder
    may have granted its whole burst.
    """

    subject: str
    holder: str
    rate_limit: RateLimit
    slack_requests: float
    _tokens: float = 0.0
    _refused: float = 0.0
    _share_integral_s: float = 0.0
    _share: float = 0.0

    @classmethod
    def empty(
        cls,
        *,
        subject: str,
        holder: str,
        rate_limit: RateLimit,
        slack_requests: float,
        shares: LeasedShares,
    ) -> TokenPool:
        """Create a pool that gains tokens only from now on."""
        return cls(
            subject=subject,
            holder=holder,
            rate_limit=rate_limit,
            slack_requests=slack_requests,
            share_integral_s=shares.share_integral_s,
            share=shares.share,
        )

    def take_tokens(self, requested: int, shares: LeasedShares) -> int:
        """Take as many of the requested tokens as are available."""
        self._advance(shares)
        taken = min(requested, int(self._tokens))
        self._tokens -= taken
        self._refused += (requested - taken) * self._share
        return taken

    def retry_after_s(self) -> float:
        """Return the time after which a refused request may retry, in seconds.

        Requests that were refused before come first, so that not all return at once. A
        refused request was refused by all holders, so each holder counts its share of
        them.
        """
        per_s = self.rate_limit.rate_per_s * self._share
        if per_s <= 0.0 or self._capacity(self._share) < 1.0:
            return MAX_RETRY_AFTER_S
        needed = max(0.0, self._refused - self._tokens)
        return min(MAX_RETRY_AFTER_S, needed / per_s)

    def restart(self) -> None:
        """Begin anew without tokens and without requests that wait for one."""
        self._tokens = self._refused = 0.0

    def _advance(self, shares: LeasedShares) -> None:
        if shares.drops and self._share_integral_s < shares.drops[0].share_integral_s:
            self._tokens, self._share_integral_s = 0.0, shares.drops[0].share_integral_s
        for drop in shares.drops:
            if drop.share_integral_s >= self._share_integral_s:
                self._gain(drop.share_integral_s, drop.share)
        self._gain(shares.share_integral_s, shares.share)

    def _gain(self, share_integral_s: float, share: float) -> None:
        gained = self.rate_limit.rate_per_s * (
            share_integral_s - self._share_integral_s
        )
        self._tokens = min(self._capacity(share), self._tokens + gained)
        self._refused = max(0.0, self._refused - gained)
        self._share_integral_s, self._share = share_integral_s, share

    def _capacity(self, share: float) -> float:
        burst = (max(1.0, self.rate_limit.burst) + self.slack_requests) * share
        if burst >= 1.0 or burst <= 0.0:
            return burst
        # Rounded by hash, so that rounding preserves the sum of all holders' bursts.
        fraction = stable_hash(f"{self.subject} {self.holder}") / _HASH_RANGE
        return math.floor(burst + fraction)
