"""The shares of one shard that other VMs have leased to this one."""

from __future__ import annotations

from collections import deque

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen

MAX_DROPS = 32
"""Drops that are remembered; a pool that was not used since starts empty."""


@frozen(kw_only=True)
class ShareDrop:
    """The leased share fell.

    Parameters
    ----------
    share_integral_s : float
        Share times seconds up to then.
    share : float
        What was left of it.
    """

    share_integral_s: float
    share: float


@frozen(kw_only=True)
class _Lease:
    share: float
    ends_at: float


@define(kw_only=True)
class LeasedShares:
    """Sum of the leased shares, and what it has amounted to over time.

    Attributes
    ----------
    share : float
        The sum now, at most one.
    share_integral_s : float
        Its integral over time, in seconds. Pools work out from it what they gained
        since they were last used, so that nothing is done for those that rest.
    drops : deque of ShareDrop
        When it fell, oldest first. Tokens that came by a share end with it: who has the
        share next gathers its own.
    """

    share: float = 0.0
    share_integral_s: float = 0.0
    drops: deque[ShareDrop] = Factory(lambda: deque(maxlen=MAX_DROPS))
    _lease_by_vm: dict[str, _Lease] = Factory(dict)
    _counted_to: float = 0.0

    def add_lease(
        self, vm: str, *, share: float, idle_s: float, ends_at: float, now: float
    ) -> None:
        """Take a lease, or its renewal.

        Parameters
        ----------
        vm : str
            Whose share it is.
        share : float
            Its part of all shares.
        idle_s : float
            Time for which nobody had it before, which counts like time here.
        ends_at, now : float
            Monotonic seconds.
        """
        self.advance(now)
        known = self._lease_by_vm.get(vm)
        if now < ends_at and (known is None or known.ends_at < ends_at):
            self._lease_by_vm[vm] = _Lease(share=share, ends_at=ends_at)
            self._sum_up()
            self.share_integral_s += share * idle_s

    @property
    def lessor_count(self) -> int:
        """Number of VMs that have leased their share."""
        return len(self._lease_by_vm)

    def advance(self, now: float) -> None:
        """Count the time up to now, and end leases that have run out."""
        while self._lease_by_vm:
            next_end = min(each.ends_at for each in self._lease_by_vm.values())
            if next_end > now:
                break
            self._count_to(next_end)
            self._lease_by_vm = {
                vm: each
                for vm, each in self._lease_by_vm.items()
                if each.ends_at > next_end
            }
            self._sum_up()
        self._count_to(now)

    def _count_to(self, at: float) -> None:
        self.share_integral_s += self.share * max(0.0, at - self._counted_to)
        self._counted_to = max(self._counted_to, at)

    def _sum_up(self) -> None:
        before = self.share
        self.share = min(1.0, sum(each.share for each in self._lease_by_vm.values()))
        if self.share < before:
            self.drops.append(
                ShareDrop(share_integral_s=self.share_integral_s, share=self.share)
            )
