"""Granting of tokens for upstreams that announce a limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.quotas.quota_holder import NO_SHARE_RETRY_S
from plankspindle_daemon.quotas.quota_holder import QuotaHolder
from plankspindle_daemon.quotas.quota_holder import TokensTaken
from plankspindle_daemon.quotas.token_pool import TokenPool
from plankspindle_daemon.upstreams.fleet_limiter import TRIAL_RATE_PER_S

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.quota_messages import TokenGrant
    from plankspindle_daemon.peer_messages.quota_messages import TokenRequest
    from plankspindle_daemon.quotas.leased_shares import LeasedShares

MIN_LIMIT_PER_S = TRIAL_RATE_PER_S
"""Lowest limit that is applied, in requests per second.

An upstream announces its limit only in answers. With a limit of zero no request would
be sent that could find out when the upstream accepts requests again.
"""
SETTLE_S = 1.0
"""Time for which no token is granted after a limit is first received, in seconds.

Before that the upstream got more than its limit, which counts in the same windows.
"""
SLACK_REQUESTS = 2.0
LOW_LIMIT_SLACK_REQUESTS = 1.0
"""Tokens that may accumulate beyond those of one second, shared by the fleet.

They let regions keep a token each when a limit is low. Including requests in transit,
an upstream gets less than 1.5 times its limit plus five requests in any four seconds;
the lower slack leaves room there for the lowest limit that is applied.
"""
LOW_LIMIT_PER_S = 0.1
"""Limit below which the lower slack applies, in requests per second."""
MAX_TOKEN_WAIT_S = 1.0
"""Longest time after which a refused VM asks again, in seconds.

Where many VMs want few tokens, a queue of all of them would leave tokens unused that
show whether the limit goes on.
"""
UNUSED_POOL_TTL_S = 60.0
"""Time for which an unused pool is kept, in seconds."""


@frozen(kw_only=True)
class FleetLimit:
    """Limit over all entry VMs that an upstream announced.

    Parameters
    ----------
    rate_per_s : float
        Requests per second from all entry VMs together.
    announced_at : float
        When an answer announced it, or the latest request was sent whose answer raised
        it by announcing none, monotonic seconds.
    """

    rate_per_s: float
    announced_at: float

    @property
    def burst(self) -> float:
        """Requests that may arrive at once: those of one second."""
        return self.rate_per_s


@define(kw_only=True)
class _LimitEntry:
    limit: FleetLimit
    grants_from: float
    last_used_at: float
    pool: TokenPool | None = None


@define(kw_only=True)
class LimitHolder:
    """Grant tokens of limits from the shares that are leased to this VM.

    Parameters
    ----------
    holder : QuotaHolder
        Holder of the leased shares.

    Notes
    -----
    Each token request carries the limit, so that a holder need not have received it
    from the upstream itself. The latest announcement applies.
    """

    holder: QuotaHolder
    _entry_by_incarnation: dict[str, _LimitEntry] = Factory(dict)

    def __len__(self) -> int:
        """Return the number of limits whose tokens are granted here."""
        return len(self._entry_by_incarnation)

    def record_limit(self, incarnation_id: str, limit: FleetLimit, now: float) -> None:
        """Record a limit that was announced."""
        entry = self._entry_by_incarnation.get(incarnation_id)
        if entry is None:
            grants_from = now + SETTLE_S
            entry = _LimitEntry(limit=limit, grants_from=grants_from, last_used_at=now)
            self._entry_by_incarnation[incarnation_id] = entry
        elif limit.announced_at > entry.limit.announced_at:
            is_raised = limit.rate_per_s > entry.limit.rate_per_s
            entry.limit = limit
            if entry.pool is not None:
                entry.pool.rate_limit = _with_minimum_rate(limit)
                entry.pool.slack_requests = _slack_requests(limit)
                if is_raised:
                    entry.pool.restart()

    def remove(self, incarnation_id: str) -> None:
        """Remove a limit that is no longer announced."""
        self._entry_by_incarnation.pop(incarnation_id, None)

    def take_tokens(
        self, incarnation_id: str, requested: int, now: float
    ) -> TokensTaken:
        """Take tokens for requests of this VM or another."""
        entry = self._entry_by_incarnation.get(incarnation_id)
        shares = self.holder.shares_of(incarnation_id, now)
        if entry is None or shares.share <= 0.0:
            return TokensTaken(count=0, retry_after_s=NO_SHARE_RETRY_S, has_share=False)
        entry.last_used_at = now
        if now < entry.grants_from:
            wait_s = entry.grants_from - now
            return TokensTaken(count=0, retry_after_s=wait_s, has_share=True)
        pool = entry.pool = entry.pool or self._new_pool(
            incarnation_id, entry.limit, shares
        )
        granted = pool.take_tokens(requested, shares)
        wait_s = min(pool.retry_after_s(), MAX_TOKEN_WAIT_S)
        return TokensTaken(count=granted, retry_after_s=wait_s, has_share=True)

    def _new_pool(
        self, incarnation_id: str, limit: FleetLimit, shares: LeasedShares
    ) -> TokenPool:
        return TokenPool.empty(
            subject=incarnation_id,
            holder=self.holder.vm,
            rate_limit=_with_minimum_rate(limit),
            slack_requests=_slack_requests(limit),
            shares=shares,
        )

    def answer(self, request: TokenRequest, now: float) -> TokenGrant:
        """Grant tokens to another VM, as far as available."""
        announced_at = now - request.heard_ago_ms / 1000
        limit = FleetLimit(rate_per_s=request.limit_per_s, announced_at=announced_at)
        self.record_limit(request.workspace, limit, now)
        taken = self.take_tokens(request.workspace, request.count, now)
        return taken.as_grant(request, sender=self.holder.vm, is_of_limit=True)

    def remove_unused(self, now: float) -> None:
        """Remove the limits whose tokens are no longer requested."""
        self._entry_by_incarnation = {
            incarnation_id: entry
            for incarnation_id, entry in self._entry_by_incarnation.items()
            if now - entry.last_used_at < UNUSED_POOL_TTL_S
        }


def _with_minimum_rate(limit: FleetLimit) -> FleetLimit:
    rate_per_s = max(MIN_LIMIT_PER_S, limit.rate_per_s)
    return FleetLimit(rate_per_s=rate_per_s, announced_at=limit.announced_at)


def _slack_requests(limit: FleetLimit) -> float:
    is_low = limit.rate_per_s < LOW_LIMIT_PER_S
    return LOW_LIMIT_SLACK_REQUESTS if is_low else SLACK_REQUESTS
