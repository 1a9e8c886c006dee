"""Faults of a trial: random ones, and named ones at a chosen moment."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from plankspindle_testkit.trial.fake_upstream import Conduct
from plankspindle_testkit.trial.fake_upstream import FakeUpstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from plankspindle_testkit.trial.trial import Trial


class FaultInjector:
    """Make things go wrong in a trial.

    Parameters
    ----------
    trial : Trial
        The trial.
    """

    def __init__(self, *, trial: Trial) -> None:
        self.trial = trial

    def strike(self) -> None:
        """Let a random fault happen."""
        vm = self.trial.random.choice(sorted(self.trial.vms_by_name))
        upstream = self.trial.random.choice(sorted(self.trial.upstreams_by_name))
        ways = self._ways(vm, self.trial.upstreams_by_name[upstream])
        way = self.trial.random.choice(sorted(ways))
        self.trial.note(f"fault {way} vm={vm} upstream={upstream}")
        ways[way]()

    def _ways(self, vm: str, upstream: FakeUpstream) -> dict[str, Callable[[], None]]:
        ways: dict[str, Callable[[], None]] = {
            "kill": partial(self.trial.kill, vm, power_loss=False),
            "power-loss": partial(self.trial.kill, vm, power_loss=True),
            "restart": self.trial.restart_dead,
            "restart-again": self.trial.restart_dead,
            "pause": partial(self._pause, vm),
            "platform": self._toggle_platform,
            "conduct": partial(self._change_conduct, upstream),
            "conduct-again": partial(self._change_conduct, upstream),
            "liar": partial(self._toggle_liar, upstream),
            "leave": partial(self._toggle_leaving, upstream),
            "race": self.trial.race_operators,
            "heal": self._heal,
        }
        if self.trial.options.cuts_within_domains:
            ways["cut"] = self._cut_or_heal
        return ways

    def _pause(self, vm: str) -> None:
        pause_s = self.trial.random.uniform(0.5, 8.0)
        struck = self.trial.vms_by_name.get(vm)
        if struck is not None:
            struck.paused_until = self.trial.now + pause_s

    def _toggle_platform(self) -> None:
        self.trial.platform.down = not self.trial.platform.down

    def _change_conduct(self, upstream: FakeUpstream) -> None:
        upstream.conduct = self.trial.random.choice(list(Conduct))

    def _toggle_liar(self, upstream: FakeUpstream) -> None:
        upstream.claims_idle = not upstream.claims_idle

    def _toggle_leaving(self, upstream: FakeUpstream) -> None:
        staying = [
            each
            for each in self.trial.upstreams_by_name.values()
            if not each.leaving_since
        ]
        if upstream.leaving_since:
            upstream.leaving_since = None
        elif len(staying) > 1:
            upstream.leaving_since = self.trial.now

    def _heal(self) -> None:
        self.trial.network.cuts.clear()
        self.trial.platform.down = False

    def _cut_or_heal(self) -> None:
        one, other = self.trial.random.sample(self.trial.options.places, 2)
        self.trial.network.cuts ^= {frozenset((one.peer, other.peer))}

    def inject(self, way: str, *, vm: str, upstream: str) -> None:
        """Let one named fault happen now.

        Parameters
        ----------
        way : str
            Name of the fault.
        vm, upstream : str
            What it strikes, where it strikes one.
        """
        self.trial.note(f"inject {way} vm={vm} upstream={upstream}")
        ways = self._ways(vm, self.trial.upstreams_by_name[upstream])
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
        self.trial.platform.fault_rate = 1.0
        self.trial.platform.only_way = way

    def _stop_reports(self) -> None:
        for upstream in self.trial.upstreams_by_name.values():
            upstream.reports_stopped = True

    def _change_all(self, conduct: Conduct) -> None:
        for upstream in self.trial.upstreams_by_name.values():
            upstream.conduct = conduct

    def _isolate(self, vm: str) -> None:
        peers = {place.name: place.peer for place in self.trial.options.places}
        self.trial.network.cuts |= {
            frozenset((peers[vm], peer)) for name, peer in peers.items() if name != vm
        }

    def _fail_region(self) -> None:
        self._change_all(Conduct.DOWN)
        for name in list(self.trial.vms_by_name)[1:]:
            self.trial.kill(name, power_loss=True)

    def heal_all(self) -> None:
        """End all faults and start processes on all VMs that lack one."""
        self._heal()
        self.trial.platform.fault_rate = 0.0
        for upstream in self.trial.upstreams_by_name.values():
            upstream.conduct = Conduct.SERVE
            upstream.reports_stopped = False
            upstream.claims_idle = False
            upstream.leaving_since = None
        for _ in self.trial.options.places:
            self.trial.restart_dead()
