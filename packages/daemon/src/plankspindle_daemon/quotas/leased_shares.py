"""Shares of one shard that VMs have leased to this one."""

from __future__ import annotations

from collections import deque

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen

MAX_DROPS = 32
"""Drops that are stored; a pool that was last used before the oldest starts empty."""


@frozen(kw_only=True)
class ShareDrop:
    """A decrease of the leased share.

    Parameters
    ----------
    share_integral_s : float
        Integral of the share over time up to then, in seconds.
    share : float
        Share after the decrease.
    """

    share_integral_s: float
    share: float


@frozen(kw_only=True)
class _Lease:
    share: float
    ends_at: float


@define(kw_only=True)
class LeasedShares:
    """Sum of the leased shares, and its integral over time.

    Attributes
    ----------
    share : float
        Current sum, at most one.
    share_integral_s : float
        Its integral over time, in seconds. From it, pools compute the tokens gained
        since their last use, so that idle pools cost no work.
    drops : deque of ShareDrop
        Decreases, oldest first. Tokens gained from a share expire with it: its next
        holder gains its own.
    """

    share: float = 0.0
    share_integral_s: float = 0.0
    drops: deque[ShareDrop] = Factory(lambda: deque(maxlen=MAX_DROPS))
    _lease_by_vm: dict[str, _Lease] = Factory(dict)
    _advanced_to: float = 0.0

    def add_lease(
        self, vm: str, *, share: float, idle_s: float, ends_at: float, now: float
    ) -> None:
        """Add or renew a lease.

        Parameters
        ----------
        vm : str
            VM that owns the share.
        share : float
            Its part of all shares.
        idle_s : float
            Time for which nobody held the share before, in seconds; it counts as time
            that the share was held here.
        ends_at, now : float
            Monotonic seconds.
        """
        self.advance(now)
        known = self._lease_by_vm.get(vm)
        if now < ends_at and (known is None or known.ends_at < ends_at):
            self._lease_by_vm[vm] = _Lease(share=share, ends_at=ends_at)
            self._update_share()
            self.share_integral_s += share * idle_s

    @property
    def lessor_count(self) -> int:
        """Number of VMs that have leased their share."""
        return len(self._lease_by_vm)

    def advance(self, now: float) -> None:
        """Advance the integral to now, and end expired leases."""
        while self._lease_by_vm:
            next_end = min(each.ends_at for each in self._lease_by_vm.values())
            if next_end > now:
                break
            self._integrate_to(next_end)
            self._lease_by_vm = {
                vm: each
                for vm, each in self._lease_by_vm.items()
                if each.ends_at > next_end
            }
            self._update_share()
        self._integrate_to(now)

    def _integrate_to(self, at: float) -> None:
        self.share_integral_s += self.share * max(0.0, at - self._advanced_to)
        self._advanced_to = max(self._advanced_to, at)

    def _update_share(self) -> None:
        before = self.share
        self.share = min(1.0, sum(each.share for each in self._lease_by_vm.values()))
        if self.share < before:
            self.drops.append(
                ShareDrop(share_integral_s=self.share_integral_s, share=self.share)
            )
