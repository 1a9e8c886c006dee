"""Room of the own region and the others, as the plans of services need it."""

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
MAX_COUNTED_UPSTREAMS_PER_S = 2_000
"""Upstreams whose room is counted a second, at 2 us each 0.4 percent of a core."""


@frozen(kw_only=True)
class _SlotCounts:
    """Slots of one service's upstreams, in the own region and in the others."""

    local: int
    remote: int
    usable_local: int


@define(kw_only=True)
class RegionCapacity:
    """Count slots and entry VMs by region.

    Parameters
    ----------
    vm, failure_domain : str
        This VM and where it stands.
    membership : Membership
        Entry VMs that are known.
    distances : DomainDistances
        Regions of failure domains.
    limiter : SpilloverLimiter
        Bound on what leaves the region.
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
        """Count anew: regions may have changed."""
        self._counted_members = None

    def update(self, dispatchers: Iterable[Dispatcher], now: float) -> None:
        """Tell the plans and the bound how much room there is, unless just done.

        Parameters
        ----------
        dispatchers : iterable of Dispatcher
            Keepers of the upstreams of each service.
        now : float
            Monotonic seconds.
        """
        if now < self._next_update_at:
            return
        vm_share = self._current_vm_share()
        most_change = self._max_change(now)
        usable_near = upstreams = 0
        for dispatcher in dispatchers:
            upstreams += len(dispatcher.upstreams_by_name)
            if dispatcher.placement is not None:
                slots = self._count_slots(dispatcher, now)
                dispatcher.placement.plan.update(
                    local_slots=slots.local,
                    remote_slots=slots.remote,
                    vm_share=vm_share,
                    max_change=most_change,
                )
                usable_near += slots.usable_local
        self._next_update_at = now + upstreams / MAX_COUNTED_UPSTREAMS_PER_S
        self.limiter.set_capacity(usable_near, now)

    def _max_change(self, now: float) -> float:
        """Give the most by which plans may change; any change where room was lost.

        A plan that jumped would move whole keys at once, to upstreams that have not
        seen them.
        """
        before, self._updated_at = self._updated_at, now
        if before is None or not self.limiter.is_limiting(now):
            return 1.0
        return MAX_SHARE_CHANGE_PER_S * (now - before)

    def _count_slots(self, dispatcher: Dispatcher, now: float) -> _SlotCounts:
        """Count the slots of upstreams that stay.

        Those that are backed off are among them: a plan moves keys, and they return.
        """
        near = far = usable_near = 0
        is_near = self.distances.is_local
        for upstream in dispatcher.upstreams_by_name.values():
            if not upstream.accepts_keys(now):
                continue
            declared = upstream.upstream
            if is_near(declared.failure_domain):
                near += declared.slots
                if upstream.is_usable(now):
                    usable_near += declared.slots
            else:
                far += declared.slots
        return _SlotCounts(local=near, remote=far, usable_local=usable_near)

    def _current_vm_share(self) -> float:
        """Give the part of the known entry VMs that stand in the own region.

        It is counted anew only when the members or the list have changed, since 4,500
        VMs take milliseconds.
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
        near = sum(map(self.distances.is_local, domain_by_name.values()))
        return near / len(domain_by_name)
