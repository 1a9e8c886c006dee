"""Injects faults into a trial: scheduled ones, and named ones at a chosen time."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING

from plankspindle_testkit.trial.fake_upstream import FakeUpstream
from plankspindle_testkit.trial.fake_upstream import UpstreamMode
from plankspindle_testkit.trial.fault_schedule import PARTITION

if TYPE_CHECKING:
    from collections.abc import Callable

    from plankspindle_testkit.trial.fault_schedule import ScheduledFault
    from plankspindle_testkit.trial.trial_hosts import TrialHosts
    from plankspindle_testkit.trial.trial_operators import TrialOperators
    from plankspindle_testkit.trial.world import World


class FaultInjector:
    """Inject faults into a trial.

    Parameters
    ----------
    world : World
        State of the trial.
    hosts : TrialHosts
        Processes on its VMs.
    operators : TrialOperators
        Its operators.
    """

    def __init__(
        self, *, world: World, hosts: TrialHosts, operators: TrialOperators
    ) -> None:
        self.world = world
        self.hosts = hosts
        self.operators = operators

    def inject_scheduled(self, fault: ScheduledFault) -> None:
        """Inject a scheduled fault; if its VM has no process, into another VM."""
        running_vms = self.world.vms_by_name
        vm = fault.vm if fault.vm in running_vms else min(running_vms, default=fault.vm)
        self.world.add_trace_line(
            f"fault {fault.kind} vm={vm} upstream={fault.upstream}"
        )
        upstream = self.world.upstreams_by_name[fault.upstream]
        self._actions_by_kind(vm, upstream, Random(fault.seed))[fault.kind]()

    def _actions_by_kind(
        self, vm: str, upstream: FakeUpstream, random: Random
    ) -> dict[str, Callable[[], None]]:
        return {
            "kill": partial(self.hosts.kill, vm, power_loss=False),
            "power-loss": partial(self.hosts.kill, vm, power_loss=True),
            "restart": self.hosts.restart_stopped,
            "restart-again": self.hosts.restart_stopped,
            "pause": partial(self._pause, vm, random),
            "platform": self._toggle_platform,
            "conduct": partial(self._change_mode, upstream, random),
            "conduct-again": partial(self._change_mode, upstream, random),
            "liar": partial(self._toggle_false_idle_report, upstream),
            "leave": partial(self._toggle_leaving, upstream),
            "race": self.operators.race_confirmations,
            "heal": self._heal,
            PARTITION: partial(self._toggle_partition, random),
        }

    def _pause(self, vm: str, random: Random) -> None:
        pause_s = random.uniform(0.5, 8.0)
        affected = self.world.vms_by_name.get(vm)
        if affected is not None:
            affected.paused_until = self.world.now + pause_s

    def _toggle_platform(self) -> None:
        self.world.platform.down = not self.world.platform.down

    def _change_mode(self, upstream: FakeUpstream, random: Random) -> None:
        upstream.mode = random.choice(list(UpstreamMode))

    def _toggle_false_idle_report(self, upstream: FakeUpstream) -> None:
        upstream.claims_idle = not upstream.claims_idle

    def _toggle_leaving(self, upstream: FakeUpstream) -> None:
        staying = [
            each
            for each in self.world.upstreams_by_name.values()
            if not each.leaving_since
        ]
        if upstream.leaving_since:
            upstream.leaving_since = None
        elif len(staying) > 1:
            upstream.leaving_since = self.world.now

    def _heal(self) -> None:
        self.world.network.partitions.clear()
        self.world.platform.down = False

    def _toggle_partition(self, random: Random) -> None:
        first, second = random.sample(self.world.options.places, 2)
        self.world.network.partitions ^= {frozenset((first.peer, second.peer))}

    def inject(self, kind: str, *, vm: str, upstream: str) -> None:
        """Inject one fault now.

        Parameters
        ----------
        kind : str
            Kind of the fault.
        vm, upstream : str
            Affected VM and upstream, for faults that affect a single one.
        """
        self.world.add_trace_line(f"inject {kind} vm={vm} upstream={upstream}")
        affected = self.world.upstreams_by_name[upstream]
        actions = self._actions_by_kind(vm, affected, self.world.random)
        directed: dict[str, Callable[[], None]] = {
            "store-answers-lost": partial(self._force_write_fault, "answer-lost"),
            "store-writes-late": partial(self._force_write_fault, "late"),
            "reports-stop": self._stop_reports,
            "all-shed": partial(self._change_all, UpstreamMode.SHED),
            "all-lose-answers": partial(self._change_all, UpstreamMode.LOSE_ANSWERS),
            "all-hang": partial(self._change_all, UpstreamMode.HANG),
            "all-down": partial(self._change_all, UpstreamMode.DOWN),
            "isolate": partial(self._isolate, vm),
            "region-fails": self._fail_region,
        }
        {**actions, **directed}[kind]()

    def _force_write_fault(self, kind: str) -> None:
        self.world.platform.fault_rate = 1.0
        self.world.platform.forced_write_fault = kind

    def _stop_reports(self) -> None:
        for upstream in self.world.upstreams_by_name.values():
            upstream.reports_stopped = True

    def _change_all(self, conduct: UpstreamMode) -> None:
        for upstream in self.world.upstreams_by_name.values():
            upstream.mode = conduct

    def _isolate(self, vm: str) -> None:
        peers = {place.name: place.peer for place in self.world.options.places}
        self.world.network.partitions |= {
            frozenset((peers[vm], peer)) for name, peer in peers.items() if name != vm
        }

    def _fail_region(self) -> None:
        self._change_all(UpstreamMode.DOWN)
        for name in list(self.world.vms_by_name)[1:]:
            self.hosts.kill(name, power_loss=True)

    def heal_all(self) -> None:
        """End all faults, and start a process on every VM without one."""
        self._heal()
        self.world.platform.fault_rate = 0.0
        for upstream in self.world.upstreams_by_name.values():
            upstream.mode = UpstreamMode.SERVE
            upstream.reports_stopped = False
            upstream.claims_idle = False
            upstream.leaving_since = None
        for _ in self.world.options.places:
            self.hosts.restart_stopped()
