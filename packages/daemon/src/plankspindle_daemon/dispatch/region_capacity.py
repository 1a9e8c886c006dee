"""Capacity of the local region and of the others, for region plans and spill-over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.dispatch.domain_distances import DomainDistances
from plankspindle_daemon.dispatch.spillover_limiter import MAX_SHARE_CHANGE_PER_S
from plankspindle_daemon.dispatch.spillover_limiter import SpilloverLimiter
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_daemon.dispatch.dispatcher import Dispatcher
    from plankspindle_daemon.dispatch.version_pools import UpstreamPool

MAX_COUNTED_UPSTREAMS_PER_S = 2_000
"""Upstreams whose slots are counted per second; at 2 us each, 0.4 percent of a core."""


@frozen(kw_only=True)
class _SlotCounts:
    """Slots of one service's upstreams, in the local region and in the others."""

    local: int
    remote: int
    usable_local: int


@define(kw_only=True)
class RegionCapacity:
    """Count slots and entry VMs by region.

    Parameters
    ----------
    vm, failure_domain : str
        This VM and its failure domain.
    membership : Membership
        Known entry VMs.
    distances : DomainDistances
        Regions of failure domains.
    limiter : SpilloverLimiter
        Limit on spill-over to other regions.
    """

    vm: str
    failure_domain: str
    membership: Membership
    distances: DomainDistances
    limiter: SpilloverLimiter
    _counted_members: tuple[tuple[str, ...], dict[str, ListedVm]] | None = None
    _local_vm_share: float = 1.0
    _next_update_at: float = 0.0
    _updated_at: float | None = None

    def invalidate(self) -> None:
        """Count the entry VMs again, as domains may have changed their region."""
        self._counted_members = None

    def update(self, dispatchers: Iterable[Dispatcher], now: float) -> None:
        """Update the region plans and the spill-over limit, unless just done.

        Parameters
        ----------
        dispatchers : iterable of Dispatcher
            Dispatchers of all services.
        now : float
            Monotonic time in seconds.
        """
        if now < self._next_update_at:
            return
        vm_share = self._current_vm_share()
        max_change = self._max_change(now)
        usable_local = upstreams = 0
        for dispatcher in dispatchers:
            for pool, is_in_use in dispatcher.pools(now):
                upstreams += len(pool.upstreams_by_name)
                if pool.placement is None:
                    continue
                slots = self._count_slots(pool, now)
                pool.placement.plan.update(
                    local_slots=slots.local,
                    remote_slots=slots.remote,
                    vm_share=vm_share,
                    max_change=1.0 if pool.has_new_plan else max_change,
                )
                pool.has_new_plan = False
                usable_local += slots.usable_local if is_in_use else 0
        self._next_update_at = now + upstreams / MAX_COUNTED_UPSTREAMS_PER_S
        self.limiter.set_capacity(usable_local, now)

    def _max_change(self, now: float) -> float:
        """Return the maximum change of a plan's remote share in this update.

        It is 1, so that any change is possible, at start-up and after a loss of local
        capacity. Otherwise a change in one step would move many keys at once to
        upstreams that have not seen them.
        """
        before, self._updated_at = self._updated_at, now
        if before is None or not self.limiter.is_limiting(now):
            return 1.0
        return MAX_SHARE_CHANGE_PER_S * (now - before)

    def _count_slots(self, pool: UpstreamPool, now: float) -> _SlotCounts:
        """Count the slots of the upstreams of a pool that are to stay.

        Upstreams that are backed off are included: they return, and a plan without
        them would move their keys.
        """
        local = remote = usable_local = 0
        is_local = self.distances.is_local
        for upstream in pool.upstreams_by_name.values():
            if not upstream.accepts_keys(now):
                continue
            declared = upstream.upstream
            if is_local(declared.failure_domain):
                local += declared.slots
                if upstream.is_usable(now):
                    usable_local += declared.slots
            else:
                remote += declared.slots
        return _SlotCounts(local=local, remote=remote, usable_local=usable_local)

    def _current_vm_share(self) -> float:
        """Return the share of the known entry VMs that are in the local region.

        It is computed again only when the members or the platform's list have changed,
        since counting 4,500 VMs takes milliseconds.
        """
        known = (self.membership.member_names(), self.membership.listed_by_name)
        if self._counted_members is None or any(
            now is not then
            for now, then in zip(known, self._counted_members, strict=True)
        ):
            self._counted_members = known
            self._local_vm_share = self._count_vm_share()
        return self._local_vm_share

    def _count_vm_share(self) -> float:
        domain_by_name = {
            name: listed.failure_domain
            for name, listed in self.membership.listed_by_name.items()
            if listed.kind is VmKind.ENTRY
        }
        for name, member in self.membership.members_by_name.items():
            domain_by_name[name] = member.failure_domain or self.failure_domain
        domain_by_name[self.vm] = self.failure_domain
        local = sum(map(self.distances.is_local, domain_by_name.values()))
        return local / len(domain_by_name)
