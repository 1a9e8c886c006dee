"""Handing out of tokens for upstreams that name a limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.quotas.quota_holder import NO_SHARE_RETRY_S
from plankspindle_daemon.quotas.quota_holder import QuotaHolder
from plankspindle_daemon.quotas.quota_holder import TokensTaken
from plankspindle_daemon.quotas.token_pool import TokenPool

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.quota_messages import TokenGrant
    from plankspindle_daemon.peer_messages.quota_messages import TokenRequest
    from plankspindle_daemon.quotas.leased_shares import LeasedShares

MIN_LIMIT_PER_S = 0.25
"""Least limit that is gone by, in requests a second.

An upstream that takes nothing says so only in answers: a request now and then finds out
when it takes some again.
"""
SETTLE_S = 1.0
"""Time for which no token is given after a limit is first heard of, in seconds.

Until then the upstream got more than its limit, which counts in the same windows.
"""
SLACK_REQUESTS = 2.0
"""Tokens that may gather beside those of one second, shared by the fleet.

They let each region keep one where a limit is low. With requests under way, an upstream
gets less than 1.5 times its limit and five requests more in any four seconds.
"""
UNUSED_POOL_TTL_S = 60.0
"""Time for which a pool is kept that nobody takes from, in seconds."""


@frozen(kw_only=True)
class FleetLimit:
    """A limit that an upstream named.

    Parameters
    ----------
    rate_per_s : float
        Requests a second from all entry VMs together.
    announced_at : float
        When an answer named it, monotonic seconds.
    """

    rate_per_s: float
    announced_at: float

    @property
    def burst(self) -> float:
        """Requests that may come at once: those of one second."""
        return self.rate_per_s


@define(kw_only=True)
class _HeldLimit:
    limit: FleetLimit
    opens_at: float
    used_at: float
    pool: TokenPool | None = None


@define(kw_only=True)
class LimitHolder:
    """Give tokens of limits from the shares that are leased to this VM.

    Parameters
    ----------
    holder : QuotaHolder
        Holder of the leased shares.

    Notes
    -----
    A holder learns of a limit from who asks it for a token, so that it need not have
    heard of it itself. What was named last counts.
    """

    holder: QuotaHolder
    _held_by_life: dict[str, _HeldLimit] = Factory(dict)

    def __len__(self) -> int:
        """Count the limits of which tokens are given here."""
        return len(self._held_by_life)

    def record_limit(self, incarnation_id: str, limit: FleetLimit, now: float) -> None:
        """Take a limit that was named."""
        held = self._held_by_life.get(incarnation_id)
        if held is None:
            opens_at = now + SETTLE_S
            held = _HeldLimit(limit=limit, opens_at=opens_at, used_at=now)
            self._held_by_life[incarnation_id] = held
        elif limit.announced_at > held.limit.announced_at:
            held.limit = limit
            if held.pool is not None:
                held.pool.rate_limit = _bounded(limit)

    def remove(self, incarnation_id: str) -> None:
        """Forget a limit that is not named any more."""
        self._held_by_life.pop(incarnation_id, None)

    def take_tokens(self, incarnation_id: str, wanted: int, now: float) -> TokensTaken:
        """Take tokens for requests of this VM or another."""
        held = self._held_by_life.get(incarnation_id)
        shares = self.holder.shares_of(incarnation_id, now)
        if held is None or shares.share <= 0.0:
            return TokensTaken(count=0, retry_after_s=NO_SHARE_RETRY_S, has_share=False)
        held.used_at = now
        if now < held.opens_at:
            wait_s = held.opens_at - now
            return TokensTaken(count=0, retry_after_s=wait_s, has_share=True)
        pool = held.pool = held.pool or self._new_pool(
            incarnation_id, held.limit, shares
        )
        given = pool.take_tokens(wanted, shares)
        return TokensTaken(
            count=given, retry_after_s=pool.retry_after_s(), has_share=True
        )

    def _new_pool(
        self, life: str, limit: FleetLimit, shares: LeasedShares
    ) -> TokenPool:
        return TokenPool.empty(
            subject=life,
            holder=self.holder.vm,
            rate_limit=_bounded(limit),
            slack_requests=SLACK_REQUESTS,
            shares=shares,
        )

    def answer(self, request: TokenRequest, now: float) -> TokenGrant:
        """Give tokens to another VM, as far as there are any."""
        heard_at = now - request.heard_ago_ms / 1000
        limit = FleetLimit(rate_per_s=request.limit_per_s, announced_at=heard_at)
        self.record_limit(request.workspace, limit, now)
        taken = self.take_tokens(request.workspace, request.count, now)
        return taken.as_grant(request, sender=self.holder.vm, is_of_limit=True)

    def remove_unused(self, now: float) -> None:
        """Forget the limits of which nobody takes tokens any more."""
        self._held_by_life = {
            life: held
            for life, held in self._held_by_life.items()
            if now - held.used_at < UNUSED_POOL_TTL_S
        }


def _bounded(limit: FleetLimit) -> FleetLimit:
    rate_per_s = max(MIN_LIMIT_PER_S, limit.rate_per_s)
    return FleetLimit(rate_per_s=rate_per_s, announced_at=limit.announced_at)
