"""Leases of the share of the quotas that this VM owns."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.peer_messages.quota_messages import ShareClaim
from plankspindle_daemon.peer_messages.quota_messages import ShareLease
from plankspindle_daemon.quotas.quota_options import LEASE_S
from plankspindle_daemon.quotas.quota_options import SHARDS

MAX_IDLE_MS = 60_000
"""Upper bound of the idle time in a lease, in ms; every burst fills up in less."""


@frozen(kw_only=True)
class _Lease:
    holder: str
    ends_at: float


@define(kw_only=True)
class ShareLessor:
    """Lease the own share of each shard to one holder at a time.

    Parameters
    ----------
    vm : str
        Name of this VM.
    owns_from : float
        Monotonic time in seconds from which this process has a share: leases of its
        previous incarnation have ended by then.

    Notes
    -----
    The holder counts a lease from when it sent its claim, this VM from when the claim
    arrived, which is later. So no share is ever leased to two holders, however late
    messages are and whichever VMs consider each other alive.
    """

    vm: str
    owns_from: float
    _lease_by_shard: dict[int, _Lease] = Factory(dict)

    def answer(
        self, claim: ShareClaim, *, fleet_size: int, now: float
    ) -> ShareLease | None:
        """Lease the claimed shards that are not leased to another holder."""
        if now < self.owns_from or fleet_size <= 0:
            return None
        leased = tuple(
            each for each in claim.shards if self._may_lease(each, claim, now)
        )
        if not leased:
            return None
        idle_ms = tuple(self._idle_ms(shard, now) for shard in leased)
        for shard in leased:
            lease = _Lease(holder=claim.sender, ends_at=now + LEASE_S)
            self._lease_by_shard[shard] = lease
        return ShareLease(
            sender=self.vm,
            claim_incarnation=claim.incarnation,
            claim_sent_ms=claim.sent_ms,
            shards=leased,
            idle_ms=idle_ms,
            fleet_size=fleet_size,
        )

    def holder_of(self, shard: int, now: float) -> str | None:
        """Return the holder to which the share of a shard is leased now."""
        lease = self._lease_by_shard.get(shard)
        return lease.holder if lease is not None and now < lease.ends_at else None

    def _idle_ms(self, shard: int, now: float) -> int:
        """Return the time for which nobody has held the share of a shard, in ms."""
        lease = self._lease_by_shard.get(shard)
        idle_since = self.owns_from if lease is None else lease.ends_at
        return max(0, min(MAX_IDLE_MS, int(1000 * (now - idle_since))))

    def _may_lease(self, shard: int, claim: ShareClaim, now: float) -> bool:
        if not 0 <= shard < SHARDS:
            return False
        return self.holder_of(shard, now) in (None, claim.sender)
