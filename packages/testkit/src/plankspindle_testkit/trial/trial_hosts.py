"""Processes on the entry VMs of a trial, and their entries in the platform's list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import field

from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_testkit.trial.trial_vm import TrialVm
from plankspindle_testkit.trial.world import World

if TYPE_CHECKING:
    from plankspindle_testkit.builders import VmAddresses

LIST_LAG_S = 3.0
LEAVE_LISTED_AFTER_S = 1.0


@define(kw_only=True)
class TrialHosts:
    """Start and end processes.

    Parameters
    ----------
    world : World
        State of the trial.
    """

    world: World
    _unresponsive_since: dict[str, float] = field(factory=dict)

    def start_all(self) -> None:
        """List all VMs and start a process on each."""
        for place in self.world.options.places:
            self.list_and_start(place)

    def list_and_start(self, place: VmAddresses) -> None:
        """List a VM and start a process on it."""
        self._list_vm(place)
        self._start_vm(place)

    def _list_vm(self, place: VmAddresses) -> None:
        self.world.listed_by_name[place.name] = ListedVm(
            name=place.name,
            kind=VmKind.ENTRY,
            failure_domain=place.failure_domain,
            caller_endpoint=place.caller,
            peer_endpoint=place.peer,
        )

    def _start_vm(self, place: VmAddresses) -> None:
        self.world.vms_by_name[place.name] = TrialVm.start(
            place,
            seeds=self.world.options.places,
            random=self.world.random,
            now=self.world.now,
        )

    def kill(self, name: str, *, power_loss: bool) -> None:
        """End the process of a VM; on a power loss its connections stay open."""
        if name not in self.world.vms_by_name or len(self.world.vms_by_name) < 2:
            return
        del self.world.vms_by_name[name]
        self._unresponsive_since[name] = self.world.now
        if not power_loss:
            for upstream in self.world.upstreams_by_name.values():
                upstream.cancel_all_from(name)

    def restart_stopped(self) -> None:
        """Start a process on the first VM without one and without executions left."""
        for place in self.world.options.places:
            if place.name in self.world.vms_by_name or self._has_executions(place.name):
                continue
            self._unresponsive_since.pop(place.name, None)
            self._list_vm(place)
            self._start_vm(place)
            return

    def _has_executions(self, vm: str) -> bool:
        return any(
            run.vm == vm
            for upstream in self.world.upstreams_by_name.values()
            for run in upstream.runs
        )

    def restart(self, vm: str) -> None:
        """End the process of a VM, and start a process on the first VM without one."""
        self.kill(vm, power_loss=False)
        self.restart_stopped()

    def begin_leaving(self, vm: str) -> None:
        """Begin the planned stop of a process."""
        self.world.listed_by_name.pop(vm, None)
        self.world.vms_by_name[vm].node.leave.begin(self.world.now)

    def listed_upstreams(self) -> list[ListedVm]:
        """Return the list's entries of upstreams, which lag behind their state."""
        return [
            ListedVm(
                name=upstream.name,
                kind=VmKind.UPSTREAM,
                failure_domain="ba-1",
                leaving=upstream.leaving_since is not None
                and self.world.now - upstream.leaving_since > LEAVE_LISTED_AFTER_S,
            )
            for upstream in self.world.upstreams_by_name.values()
        ]

    def update_list(self) -> None:
        """Remove VMs from the list some seconds after they stopped or were paused."""
        for name, vm in self.world.vms_by_name.items():
            if vm.is_running(self.world.now):
                self._unresponsive_since.pop(name, None)
            else:
                self._unresponsive_since.setdefault(name, self.world.now)
        for name, since in self._unresponsive_since.items():
            if self.world.now - since > LIST_LAG_S:
                self.world.listed_by_name.pop(name, None)
