"""Selects the entry VMs that a caller should use."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING
from zlib import crc32

from attrs import Factory
from attrs import evolve
from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.lookup_ttl import LOOKUP_TTL_S
from plankspindle_daemon.steering.block_table import BlockTable
from plankspindle_daemon.steering.hash_ring import HashRing

if TYPE_CHECKING:
    from collections.abc import Iterable


VMS_PER_DOMAIN = 2
MAX_VMS_PER_ANSWER = 6
SUFFICIENT_VMS_IN_DOMAIN = 2
"""Usable entry VMs in a failure domain that suffice for its callers.

If there are at least this many, no VMs of other failure domains are named.
"""
MIN_SERVING_SHARE = 0.5
"""Share of the usable VMs of a region that must reach upstreams to be named alone."""
CALLER_BUCKETS = 256
"""Number of groups of callers that get the same VMs in the same order."""


class SelectionReason(Enum):
    """Why an entry VM is named."""

    HOME = "home"
    NEXT_NEAREST = "next-nearest"
    LAST_RESORT = "last-resort"


@frozen(kw_only=True)
class EntryVm:
    """An entry VM that callers may use.

    Parameters
    ----------
    name : str
        Name of the VM.
    failure_domain : str
        Failure domain that it is located in.
    endpoint : Endpoint
        Its caller listener.
    usable : bool
        Whether it is ready, not leaving and not overloaded, as far as known.
    is_cut_off : bool
        Whether it reaches no upstream, and has requests served by other entry VMs.
    """

    name: str
    failure_domain: str
    endpoint: Endpoint
    usable: bool = True
    is_cut_off: bool = False


@frozen(kw_only=True)
class SelectedVm:
    """An entry VM in the answer to a lookup, and why it is named."""

    vm: EntryVm
    reason: SelectionReason


@frozen(kw_only=True)
class LookupAnswer:
    """Entry VMs in the order in which a caller should try them.

    Parameters
    ----------
    site : str, optional
        Site of the caller's block; None if no block contains its address.
    ttl_s : int
        Time for which the answer may be cached, in seconds.
    vms : tuple of SelectedVm
        Never empty while any entry VM is known.
    """

    site: str | None
    ttl_s: int
    vms: tuple[SelectedVm, ...]


@define(kw_only=True)
class Steering:
    """Lookups on one version of the configuration and one set of entry VMs.

    Parameters
    ----------
    configuration : Configuration
        The version.
    home_domain : str
        Failure domain that is assumed for callers whose block is unknown.
    """

    configuration: Configuration
    home_domain: str
    table: BlockTable = field()
    _vms_by_name: dict[str, EntryVm] = Factory(dict)
    _nearest_by_domain: dict[str, tuple[EntryVm, ...]] = Factory(dict)
    _names_by_domain: dict[str, list[str]] = Factory(dict)
    _rings_by_domain: dict[str, HashRing] = Factory(dict)
    _domains_by_query: dict[tuple[str, str], list[str]] = Factory(dict)
    _selected_by_query: dict[tuple[str, str, int], tuple[SelectedVm, ...]] = Factory(
        dict
    )

    @table.default
    def _make_table(self) -> BlockTable:
        return BlockTable(site_by_prefix=self.configuration.site_by_prefix)

    def update_vms(self, vms: Iterable[EntryVm]) -> None:
        """Replace the set of entry VMs, and invalidate cached answers if it changed."""
        by_name = self._without_cut_off({each.name: each for each in vms})
        if by_name == self._vms_by_name:
            return
        self._vms_by_name = by_name
        self._selected_by_query.clear()
        self._nearest_by_domain.clear()
        self._rings_by_domain.clear()
        self._names_by_domain = {}
        for vm in by_name.values():
            if vm.usable:
                self._names_by_domain.setdefault(vm.failure_domain, []).append(vm.name)

    def _without_cut_off(self, by_name: dict[str, EntryVm]) -> dict[str, EntryVm]:
        """Mark VMs that are cut off as not usable in regions where enough others are.

        Where only few serve, those that are cut off stay named: callers would all go to
        the few, which bound the requests that are relayed to them but not callers.
        """
        if not any(vm.is_cut_off for vm in by_name.values()):
            return by_name
        usable, serving = Counter[str](), Counter[str]()
        for vm in by_name.values():
            region = self._region_of(vm)
            usable[region] += vm.usable
            serving[region] += vm.usable and not vm.is_cut_off
        return {
            name: evolve(vm, usable=False)
            if vm.is_cut_off and _is_majority(serving, usable, self._region_of(vm))
            else vm
            for name, vm in by_name.items()
        }

    def _region_of(self, vm: EntryVm) -> str:
        return self.configuration.region_of(vm.failure_domain) or vm.failure_domain

    def _ring_of(self, domain: str) -> HashRing | None:
        """Return the ring of a failure domain, or None if no VM of it is usable.

        A ring of 22 VMs takes 0.5 ms to build, and a VM that starts learns of all
        others one by one, so a ring is built only when a caller needs it.
        """
        ring = self._rings_by_domain.get(domain)
        if ring is None and domain in self._names_by_domain:
            ring = HashRing(names=self._names_by_domain[domain])
            self._rings_by_domain[domain] = ring
        return ring

    def look_up(self, *, service: str, address: str) -> LookupAnswer:
        """Return the entry VMs for a service and a caller's address.

        Parameters
        ----------
        service : str
            Name of a declared service.
        address : str
            IP address of the caller.

        Returns
        -------
        LookupAnswer
            The VMs of the home domain first, then those of the next nearest domains
            that run the service; if there are none, any known VM.

        Raises
        ------
        ValueError
            If ``address`` is not an IP address.
        """
        site = self.table.site_of(address)
        home = self.home_domain
        if site is not None:
            home = self.configuration.sites_by_name[site].failure_domain
        bucket = crc32(address.encode()) % CALLER_BUCKETS
        selected = self._select_cached(service, home, bucket)
        return LookupAnswer(site=site, ttl_s=LOOKUP_TTL_S, vms=selected)

    def nearest_vms(self, domain: str) -> tuple[EntryVm, ...]:
        """Return the usable entry VMs for callers in a failure domain.

        Parameters
        ----------
        domain : str
            Failure domain of the callers; the home domain is assumed for an unknown
            one.

        Returns
        -------
        tuple of EntryVm
            The VMs of the domain, with others of its region if they are few; those of
            the nearest region that has any if its own has none; the last resort if no
            VM is usable. Never empty while any entry VM is known.
        """
        known = domain in self.configuration.failure_domains_by_name
        home = domain if known else self.home_domain
        selected = self._nearest_by_domain.get(home)
        if selected is None:
            selected = self._nearest_by_domain[home] = self._find_nearest(home)
        return selected

    def _find_nearest(self, home: str) -> tuple[EntryVm, ...]:
        usable = [vm for vm in self._vms_by_name.values() if vm.usable]
        if not usable:
            return tuple(selected.vm for selected in self._last_resort(home))
        own = [vm for vm in usable if vm.failure_domain == home]
        if len(own) >= SUFFICIENT_VMS_IN_DOMAIN:
            return tuple(own)
        distances = {vm.name: self._distance_ms(home, vm) for vm in usable}
        nearest_ms = min(distances.values())
        limit_ms = max(
            nearest_ms, self.configuration.distances.between_failure_domains_ms
        )
        return tuple(vm for vm in usable if distances[vm.name] <= limit_ms)

    def _distance_ms(self, home: str, vm: EntryVm) -> float:
        return self.configuration.distance_ms(home, vm.failure_domain)

    def _select_cached(
        self, service: str, home: str, bucket: int
    ) -> tuple[SelectedVm, ...]:
        query = (service, home, bucket)
        selected = self._selected_by_query.get(query)
        if selected is None:
            selected = tuple(self._select(service, home, str(bucket)))
            self._selected_by_query[query] = selected
        return selected

    def _select(self, service: str, home: str, key: str) -> list[SelectedVm]:
        selected: list[SelectedVm] = []
        for domain in self._domains_for(service, home):
            ring = self._ring_of(domain)
            if ring is None:
                continue
            reason = (
                SelectionReason.HOME if domain == home else SelectionReason.NEXT_NEAREST
            )
            for name in ring.first(key, VMS_PER_DOMAIN):
                selected.append(SelectedVm(vm=self._vms_by_name[name], reason=reason))
            if len(selected) >= MAX_VMS_PER_ANSWER:
                return selected[:MAX_VMS_PER_ANSWER]
        return selected or self._last_resort(home)

    def _last_resort(self, home: str) -> list[SelectedVm]:
        ordered = sorted(
            self._vms_by_name.values(),
            key=lambda vm: (
                not vm.usable,
                self.configuration.distance_ms(home, vm.failure_domain),
                vm.name,
            ),
        )
        return [
            SelectedVm(vm=vm, reason=SelectionReason.LAST_RESORT)
            for vm in ordered[:MAX_VMS_PER_ANSWER]
        ]

    def _domains_for(self, service: str, home: str) -> list[str]:
        query = (service, home)
        found = self._domains_by_query.get(query)
        if found is None:
            found = self._sort_domains(service, home)
            self._domains_by_query[query] = found
        return found

    def _sort_domains(self, service: str, home: str) -> list[str]:
        domains = {
            upstream.failure_domain
            for upstream in self.configuration.upstreams_by_name.values()
            if upstream.service == service
        }
        return sorted(
            domains,
            key=lambda each: (self.configuration.distance_ms(home, each), each),
        )


def _is_majority(serving: Counter[str], usable: Counter[str], region: str) -> bool:
    """Return whether enough VMs of a region serve without those that are cut off."""
    return serving[region] >= MIN_SERVING_SHARE * usable[region]
