"""Granting of tokens by the VM to which others have leased their shares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory
from attrs import evolve

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.stable_hash import stable_hash
from plankspindle_daemon.peer_messages.quota_messages import ShareClaim
from plankspindle_daemon.peer_messages.quota_messages import ShareLease
from plankspindle_daemon.peer_messages.quota_messages import TokenGrant
from plankspindle_daemon.peer_messages.quota_messages import TokenRequest
from plankspindle_daemon.quotas.leased_shares import LeasedShares
from plankspindle_daemon.quotas.quota_options import LEASE_S
from plankspindle_daemon.quotas.quota_options import SHARDS
from plankspindle_daemon.quotas.quota_options import QuotaOptions
from plankspindle_daemon.quotas.token_pool import TokenPool

if TYPE_CHECKING:
    from collections.abc import Mapping

    from plankspindle_core.configuration.workspace import Workspace

NO_SHARE_RETRY_S = 0.25
"""Time after which to retry at a VM that holds no share, in seconds."""


def shard_of(workspace: str) -> int:
    """Return the shard of a workspace, the same at every VM."""
    return stable_hash(workspace) % SHARDS


@frozen(kw_only=True)
class TokensTaken:
    """Tokens that a holder granted.

    Parameters
    ----------
    count : int
        Number of tokens, at most as many as requested.
    retry_after_s : float
        Time until a token is available for a request that got none, in seconds.
    has_share : bool
        Whether any share of the quota is leased to the holder.
    """

    count: int
    retry_after_s: float
    has_share: bool

    def as_grant(
        self, request: TokenRequest, *, sender: str, is_of_limit: bool = False
    ) -> TokenGrant:
        """Return the grant message for the VM that requested the tokens."""
        all_granted = self.count == request.count
        return TokenGrant(
            sender=sender,
            request_id=request.request_id,
            workspace=request.workspace,
            count=self.count,
            retry_after_ms=0 if all_granted else 1 + int(1000 * self.retry_after_s),
            has_share=self.has_share,
            is_of_limit=is_of_limit,
        )


@define(kw_only=True)
class QuotaHolder:
    """Collect leases of shares, and grant the tokens that accrue from them.

    Parameters
    ----------
    vm : str
        Name of this VM.
    incarnation : int
        Incarnation of this process.
    options : QuotaOptions
        Options of the quotas.

    Attributes
    ----------
    granted_by_workspace, denied_by_workspace : dict of str to int
        Tokens granted and denied here.
    """

    vm: str
    incarnation: int
    options: QuotaOptions
    granted_by_workspace: dict[str, int] = Factory(dict)
    denied_by_workspace: dict[str, int] = Factory(dict)
    _shares_by_shard: dict[int, LeasedShares] = Factory(
        lambda: {shard: LeasedShares() for shard in range(SHARDS)}
    )
    _pools_by_workspace: dict[str, TokenPool] = Factory(dict)

    def update_quotas(self, workspaces_by_name: Mapping[str, Workspace]) -> None:
        """Apply the quotas of another version; existing pools keep their state."""
        pools = self._pools_by_workspace
        self._pools_by_workspace = {}
        for name, quota in workspaces_by_name.items():
            if not quota.is_limited:
                continue
            known = pools.get(name)
            self._pools_by_workspace[name] = (
                TokenPool(
                    subject=name,
                    holder=self.vm,
                    rate_limit=quota,
                    slack_requests=self.options.slack_requests,
                )
                if known is None
                else evolve(known, rate_limit=quota)
            )
        for counted in (self.granted_by_workspace, self.denied_by_workspace):
            for name in set(counted) - set(self._pools_by_workspace):
                del counted[name]

    def claim(
        self, shards: tuple[int, ...], *, fleet_size: int, now: float
    ) -> ShareClaim:
        """Return a claim to the shares of other VMs."""
        return ShareClaim(
            sender=self.vm,
            incarnation=self.incarnation,
            sent_ms=int(now * 1000),
            shards=shards,
            fleet_size=fleet_size,
        )

    def add_lease(self, lease: ShareLease, now: float) -> None:
        """Add the share of a VM that answered a claim."""
        if lease.claim_incarnation != self.incarnation or lease.fleet_size <= 0:
            return
        ends_at = lease.claim_sent_ms / 1000 + LEASE_S
        for shard, idle_ms in zip(lease.shards, lease.idle_ms, strict=False):
            shares = self._shares_by_shard.get(shard)
            if shares is not None:
                shares.add_lease(
                    lease.sender,
                    share=1.0 / lease.fleet_size,
                    idle_s=idle_ms / 1000,
                    ends_at=ends_at,
                    now=now,
                )

    def share_of(self, shard: int, now: float) -> float:
        """Return the share of a shard's quotas that is leased here, from 0 to 1."""
        shares = self._shares_by_shard[shard]
        shares.advance(now)
        return shares.share

    def shares_of(self, subject: str, now: float) -> LeasedShares:
        """Return the shares leased here for a workspace or an incarnation."""
        shares = self._shares_by_shard[shard_of(subject)]
        shares.advance(now)
        return shares

    def has_all_leases(self, shards: tuple[int, ...], *, vms: int, now: float) -> bool:
        """Return whether at least ``vms`` VMs have leased their share of each shard."""
        for shard in shards:
            self._shares_by_shard[shard].advance(now)
        return all(self._shares_by_shard[each].lessor_count >= vms for each in shards)

    def answer(self, request: TokenRequest, now: float) -> TokenGrant:
        """Grant tokens to another VM, as far as available."""
        taken = self.take_tokens(request.workspace, request.count, now)
        return taken.as_grant(request, sender=self.vm)

    def take_tokens(self, workspace: str, requested: int, now: float) -> TokensTaken:
        """Take tokens for requests of this VM or another."""
        pool = self._pools_by_workspace.get(workspace)
        shares = self.shares_of(workspace, now)
        if pool is None or shares.share <= 0.0:
            return TokensTaken(count=0, retry_after_s=NO_SHARE_RETRY_S, has_share=False)
        granted = pool.take_tokens(requested, shares)
        _count(self.granted_by_workspace, workspace, granted)
        _count(self.denied_by_workspace, workspace, requested - granted)
        return TokensTaken(
            count=granted, retry_after_s=pool.retry_after_s(), has_share=True
        )


def _count(by_workspace: dict[str, int], workspace: str, number: int) -> None:
    if number:
        by_workspace[workspace] = by_workspace.get(workspace, 0) + number
