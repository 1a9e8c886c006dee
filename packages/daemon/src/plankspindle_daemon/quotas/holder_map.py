"""Assignment of shards to the entry VMs that grant tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.stable_hash import stable_hash
from plankspindle_daemon.quotas.quota_options import SHARDS

if TYPE_CHECKING:
    from collections.abc import Iterable


@frozen(kw_only=True)
class QuotaVm:
    """An entry VM that may hold shares of quotas.

    Parameters
    ----------
    name : str
        Name of the VM.
    region : str
        Region that it is located in.
    endpoint : Endpoint
        Where it receives messages.
    """

    name: str
    region: str
    endpoint: Endpoint


@define(kw_only=True)
class HolderMap:
    """The holder of each shard in each region, as far as this VM knows.

    Notes
    -----
    Each region has its own holder, so that most tokens come from nearby, and a region
    that is cut off can still use what its VMs own. VMs may disagree about the holder: a
    share is leased to only one holder at a time, and another one grants nothing from
    it.
    """

    _holders_by_region: dict[str, list[QuotaVm]] = Factory(dict)
    _vms: frozenset[QuotaVm] = frozenset()
    _vm_by_name: dict[str, QuotaVm] = Factory(dict)
    _ranks_by_name: dict[str, list[int]] = Factory(dict)

    def update(self, vms: Iterable[QuotaVm]) -> None:
        """Update the VMs that take part."""
        known = frozenset(vms)
        if known == self._vms:
            return
        self._vms = known
        self._vm_by_name = {vm.name: vm for vm in known}
        by_region: dict[str, list[QuotaVm]] = {}
        for vm in known:
            by_region.setdefault(vm.region, []).append(vm)
        self._holders_by_region = {
            region: [
                max(members, key=lambda vm: (self._rank(vm.name, shard), vm.name))  # noqa: B023
                for shard in range(SHARDS)
            ]
            for region, members in by_region.items()
        }

    def holder(self, shard: int, region: str) -> QuotaVm | None:
        """Return the holder of a shard in a region."""
        holders = self._holders_by_region.get(region)
        return None if holders is None else holders[shard]

    def shards_of(self, vm: str, region: str) -> tuple[int, ...]:
        """Return the shards that a VM should hold in its region."""
        holders = self._holders_by_region.get(region, [])
        return tuple(shard for shard, holder in enumerate(holders) if holder.name == vm)

    def regions(self) -> list[str]:
        """Return the regions with holders, sorted."""
        return sorted(self._holders_by_region)

    def find_vm(self, name: str | None) -> QuotaVm | None:
        """Return a VM that takes part; None if it does not."""
        return self._vm_by_name.get(name or "")

    def vms_in(self, region: str) -> list[QuotaVm]:
        """Return the VMs of a region."""
        return [vm for vm in self._vms if vm.region == region]

    def _rank(self, name: str, shard: int) -> int:
        """Return a VM's rank in the rendezvous hash order of a shard."""
        ranks = self._ranks_by_name.get(name)
        if ranks is None:
            ranks = [stable_hash(f"{name}#{number}") for number in range(SHARDS)]
            self._ranks_by_name[name] = ranks
        return ranks[shard]
