"""Faults of a trial: random ones, and named ones at a chosen moment."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING

from plankspindle_testkit.trial.fake_upstream import Conduct
from plankspindle_testkit.trial.fake_upstream import FakeUpstream
from plankspindle_testkit.trial.fault_schedule import CUT

if TYPE_CHECKING:
    from collections.abc import Callable

    from plankspindle_testkit.trial.fault_schedule import ScheduledFault
    from plankspindle_testkit.trial.trial_hosts import TrialHosts
    from plankspindle_testkit.trial.trial_operators import TrialOperators
    from plankspindle_testkit.trial.world import World


class FaultInjector:
    """Make things go wrong in a trial.

    Parameters
    ----------
    world : World
        The trial's state.
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

    def strike(self, fault: ScheduledFault) -> None:
        """Let a scheduled fault happen, to a running VM if its own runs nothing."""
        running = self.world.vms_by_name
        vm = fault.vm if fault.vm in running else min(running, default=fault.vm)
        self.world.note(f"fault {fault.way} vm={vm} upstream={fault.upstream}")
        upstream = self.world.upstreams_by_name[fault.upstream]
        self._ways(vm, upstream, Random(fault.seed))[fault.way]()

    def _ways(
        self, vm: str, upstream: FakeUpstream, random: Random
    ) -> dict[str, Callable[[], None]]:
        return {
            "kill": partial(self.hosts.kill, vm, power_loss=False),
            "power-loss": partial(self.hosts.kill, vm, power_loss=True),
            "restart": self.hosts.restart_dead,
            "restart-again": self.hosts.restart_dead,
            "pause": partial(self._pause, vm, random),
            "platform": self._toggle_platform,
            "conduct": partial(self._change_conduct, upstream, random),
            "conduct-again": partial(self._change_conduct, upstream, random),
            "liar": partial(self._toggle_liar, upstream),
            "leave": partial(self._toggle_leaving, upstream),
            "race": self.operators.race,
            "heal": self._heal,
            CUT: partial(self._cut_or_heal, random),
        }

    def _pause(self, vm: str, random: Random) -> None:
        pause_s = random.uniform(0.5, 8.0)
        struck = self.world.vms_by_name.get(vm)
        if struck is not None:
            struck.paused_until = self.world.now + pause_s

    def _toggle_platform(self) -> None:
        self.world.platform.down = not self.world.platform.down

    def _change_conduct(self, upstream: FakeUpstream, random: Random) -> None:
        upstream.conduct = random.choice(list(Conduct))

    def _toggle_liar(self, upstream: FakeUpstream) -> None:
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
        self.world.network.cuts.clear()
        self.world.platform.down = False

    def _cut_or_heal(self, random: Random) -> None:
        one, other = random.sample(self.world.options.places, 2)
        self.world.network.cuts ^= {frozenset((one.peer, other.peer))}

    def inject(self, way: str, *, vm: str, upstream: str) -> None:
        """Let one named fault happen now.

        Parameters
        ----------
        way : str
            Name of the fault.
        vm, upstream : str
            What it strikes, where it strikes one.
        """
        self.world.note(f"inject {way} vm={vm} upstream={upstream}")
        struck = self.world.upstreams_by_name[upstream]
        ways = self._ways(vm, struck, self.world.random)
        directed: dict[str, Callable[[], None]] = {
            "store-answers-lost": partial(self._break_store, "answer-lost"),
            "store-writes-late": partial(self._break_store, "late"),
            "reports-stop": self._stop_reports,
            "all-shed": partial(self._change_all, Conduct.SHED),
            "all-lose-answers": partial(self._change_all, Conduct.LOSE_ANSWERS),
            "all-hang": partial(self._change_all, Conduct.HANG),
            "all-down": partial(self._change_all, Conduct.DOWN),
            "isolate": partial(self._isolate, vm),
            "region-fails": self._fail_region,
        }
        {**ways, **directed}[way]()

    def _break_store(self, way: str) -> None:
        self.world.platform.fault_rate = 1.0
        self.world.platform.only_way = way

    def _stop_reports(self) -> None:
        for upstream in self.world.upstreams_by_name.values():
            upstream.reports_stopped = True

    def _change_all(self, conduct: Conduct) -> None:
        for upstream in self.world.upstreams_by_name.values():
            upstream.conduct = conduct

    def _isolate(self, vm: str) -> None:
        peers = {place.name: place.peer for place in self.world.options.places}
        self.world.network.cuts |= {
            frozenset((peers[vm], peer)) for name, peer in peers.items() if name != vm
        }

    def _fail_region(self) -> None:
        self._change_all(Conduct.DOWN)
        for name in list(self.world.vms_by_name)[1:]:
            self.hosts.kill(name, power_loss=True)

    def heal_all(self) -> None:
        """End all faults and start processes on all VMs that lack one."""
        self._heal()
        self.world.platform.fault_rate = 0.0
        for upstream in self.world.upstreams_by_name.values():
            upstream.conduct = Conduct.SERVE
            upstream.reports_stopped = False
            upstream.claims_idle = False
            upstream.leaving_since = None
        for _ in self.world.options.places:
            self.hosts.restart_dead()
