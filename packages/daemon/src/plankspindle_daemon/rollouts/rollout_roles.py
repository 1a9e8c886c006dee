"""Which entry VMs collect reports of a service, and which one coordinates."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.stable_hash import stable_hash
from plankspindle_daemon.quarantine.aggregator_selector import AggregatorSelector
from plankspindle_daemon.quarantine.aggregator_selector import CandidateVm

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint

REFRESH_PERIOD_S = 0.5
"""Period of ranking the VMs anew, in seconds."""
FAILURE_MEMORY_S = 30.0
"""Time for which silent VMs count as known, in seconds.

They may be on the other side of a partition.
"""
AVOIDANCE_S = 10.0
"""Time for which a VM that does not answer is passed over, in seconds."""
COORDINATOR_PATIENCE_S = 1.6
"""Time without a directive after which a collector passes over the coordinator, in s.

Less than a lease, so that the next one can renew it in time.
"""
COLLECTOR_PATIENCE_S = 2.6
"""Time without a directive after which a VM passes over its collector, in seconds."""


@define(kw_only=True)
class RolloutRoles:
    """Rank VMs by rendezvous hashing of the service, so that all choose the same.

    Parameters
    ----------
    service : str
        The service.
    selector : AggregatorSelector
        Knows this VM, and the others that are not known to have failed.

    Notes
    -----
    The collector of each failure domain is its VM with the lowest hash, and the
    coordinator the collector with the lowest one. VMs may disagree for a while.
    """

    service: str
    selector: AggregatorSelector
    _vm_by_name: dict[str, CandidateVm] = Factory(dict)
    _collector_by_domain: dict[str, CandidateVm] = Factory(dict)
    _coordinator: CandidateVm | None = None
    _rank_by_name: dict[str, int] = Factory(dict)
    _avoided_until_by_name: dict[str, float] = Factory(dict)
    _refreshed_at: float = -math.inf
    _patient_since: float = -math.inf
    _directed_at_by_name: dict[str, float] = Factory(dict)

    @property
    def vm(self) -> str:
        """Name of this VM."""
        return self.selector.vm

    def refresh(self, now: float) -> None:
        """Rank the VMs anew if that is due."""
        if now - self._refreshed_at < REFRESH_PERIOD_S:
            return
        self._refreshed_at = now
        self._vm_by_name = {each.name: each for each in self.selector.candidates(now)}
        eligible = [
            each
            for each in self._vm_by_name.values()
            if self._avoided_until_by_name.get(each.name, -math.inf) <= now
        ]
        ranked = sorted(eligible, key=self._rank)
        self._coordinator = ranked[0]
        self._collector_by_domain = {}
        for each in ranked:
            self._collector_by_domain.setdefault(each.failure_domain, each)

    def _rank(self, vm: CandidateVm) -> tuple[int, str]:
        rank = self._rank_by_name.get(vm.name)
        if rank is None:
            rank = stable_hash(f"{self.service} {vm.name}")
            self._rank_by_name[vm.name] = rank
        return rank, vm.name

    def begin_order(self, now: float) -> None:
        """Wait for directives on a new order from now on, in monotonic seconds."""
        self._patient_since = now
        self._directed_at_by_name = {}

    def note_directive(self, sender: str, now: float) -> None:
        """Note that a VM directs, in monotonic seconds."""
        self._directed_at_by_name[sender] = now

    def avoid_silent(self, directed_at: float, now: float) -> None:
        """Pass over the VM whose directives should have come.

        Parameters
        ----------
        directed_at : float
            When the last directive of any VM came, in monotonic seconds.
        now : float
            Monotonic seconds.

        Notes
        -----
        A failed VM of another failure domain may be unknown for half a minute.
        """
        collector, coordinator = self.collector(), self._coordinator
        if collector is None or coordinator is None:
            return
        if collector.name != self.vm:
            last_at, patience_s = directed_at, COLLECTOR_PATIENCE_S
            suspected = collector
        else:
            last_at = self._directed_at_by_name.get(coordinator.name, -math.inf)
            patience_s, suspected = COORDINATOR_PATIENCE_S, coordinator
        if now - max(last_at, self._patient_since) >= patience_s:
            self._patient_since = now
            self._avoid(suspected, now)

    def _avoid(self, vm: CandidateVm, now: float) -> None:
        if vm.name != self.vm:
            self._avoided_until_by_name[vm.name] = now + AVOIDANCE_S
            self._refreshed_at = -math.inf
            self.refresh(now)

    def coordinator_endpoints(self, now: float) -> set[Endpoint]:
        """Return the addresses of the chosen coordinator and of those that direct."""
        found = {
            self.endpoint_of(name)
            for name, at in self._directed_at_by_name.items()
            if now - at <= COORDINATOR_PATIENCE_S
        }
        if self._coordinator is not None:
            found.add(self._coordinator.endpoint)
        return {each for each in found if each is not None}

    def is_led_by_another(self, now: float) -> bool:
        """Return whether the coordinator that this VM would choose directs it."""
        chosen = self._coordinator
        if chosen is None or chosen.name == self.vm:
            return False
        directed_at = self._directed_at_by_name.get(chosen.name, -math.inf)
        return now - directed_at <= COORDINATOR_PATIENCE_S

    def coordinator(self) -> CandidateVm | None:
        """Return the VM that coordinates; None before the first refresh."""
        return self._coordinator

    def is_coordinator(self) -> bool:
        """Return whether this VM should coordinate as far as it knows."""
        return self._coordinator is not None and self._coordinator.name == self.vm

    def collector(self) -> CandidateVm | None:
        """Return the collector of this failure domain."""
        return self._collector_by_domain.get(self.selector.failure_domain)

    def collector_endpoints(self) -> set[Endpoint]:
        """Return the addresses of the collectors of all failure domains."""
        collectors = self._collector_by_domain.values()
        return {each.endpoint for each in collectors if each.endpoint is not None}

    def domain_endpoints(self) -> set[Endpoint]:
        """Return the addresses of the other VMs of this failure domain."""
        return {
            each.endpoint
            for each in self._vm_by_name.values()
            if each.failure_domain == self.selector.failure_domain
            and each.endpoint is not None
        }

    def domain_members(self) -> list[str]:
        """Return the names of the VMs of this failure domain."""
        return [
            each.name
            for each in self._vm_by_name.values()
            if each.failure_domain == self.selector.failure_domain
        ]

    def vms_by_domain(self) -> dict[str, int]:
        """Return the number of VMs of each failure domain."""
        counts: dict[str, int] = {}
        for each in self._vm_by_name.values():
            counts[each.failure_domain] = counts.get(each.failure_domain, 0) + 1
        return counts

    def known_vms(self, now: float) -> int:
        """Return the number of VMs, with those that failed just before."""
        return self.selector.known_count(now, max_silence_s=FAILURE_MEMORY_S)

    def endpoint_of(self, name: str) -> Endpoint | None:
        """Return the address of another VM; None if it is not known."""
        found = self._vm_by_name.get(name)
        return None if found is None else found.endpoint
