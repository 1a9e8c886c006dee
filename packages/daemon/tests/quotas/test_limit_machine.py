"""Random orders of limits, requests, cuts, freezes and restarts keep each sum."""

from __future__ import annotations

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from plankspindle_testkit.lab.statement_record import KNOWN_S
from plankspindle_testkit.lab.statement_record import WINDOW_S
from plankspindle_testkit.lab.statement_record import most_allowed
from plankspindle_testkit.quota_fleet import QuotaFleet
from plankspindle_testkit.quota_fleet import most_in_window

VMS = 6
LIVES = ("u#1", "v#2")
LIMITS_PER_S = (0.0, 0.5, 2.0, 4.6, 20.0)
BURST = 12
"""Requests that come to one VM at once."""
vms = st.integers(0, VMS - 1)
lives = st.sampled_from(LIVES)


class LimitMachine(RuleBasedStateMachine):
    """Upstreams name limits, change and lift them while anything happens to VMs."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = QuotaFleet(random=Random(3), workspaces_by_name={})
        self.fleet.add_vms(VMS)
        self.fleet.run(2.0)
        self.changed_at = dict.fromkeys(LIVES, self.fleet.now)

    def name(self, vm: int) -> str:
        return f"vm-{vm}"

    @rule(life=lives, limit_per_s=st.sampled_from(LIMITS_PER_S))
    def name_limit(self, life: str, limit_per_s: float) -> None:
        self.fleet.limit_by_life[life] = limit_per_s
        self.changed_at[life] = self.fleet.now

    @rule(life=lives)
    def lift_limit(self, life: str) -> None:
        self.fleet.limit_by_life.pop(life, None)

    @rule(vm=vms, life=lives, number=st.integers(1, BURST))
    def send(self, vm: int, life: str, number: int) -> None:
        for _ in range(number):
            self.fleet.send_to_upstream(self.name(vm), life)

    @rule(life=lives, seconds=st.sampled_from([0.3, 1.0, 4.0]))
    def send_everywhere(self, life: str, seconds: float) -> None:
        def load(_: float) -> None:
            for vm in range(VMS):
                self.fleet.send_to_upstream(self.name(vm), life)

        self.fleet.run(seconds, load)

    @rule(seconds=st.sampled_from([0.1, 0.6, 2.0, 9.0]))
    def pass_time(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(part=st.sets(vms, min_size=1, max_size=VMS - 1))
    def cut(self, part: set[int]) -> None:
        names = set(map(self.name, part))
        self.fleet.cut(lambda one, other: (one in names) == (other in names))

    @rule()
    def heal(self) -> None:
        self.fleet.heal()

    @rule(vm=vms)
    def freeze_or_wake(self, vm: int) -> None:
        frozen = self.fleet.vms_by_name[self.name(vm)]
        frozen.is_running = not frozen.is_running

    @rule(vm=vms)
    def restart(self, vm: int) -> None:
        self.fleet.restart(self.name(vm))

    @rule(loss=st.sampled_from([0.0, 0.3, 0.9]))
    def lose_messages(self, loss: float) -> None:
        self.fleet.loss = loss

    @invariant()
    def no_upstream_gets_more_than_its_limit_from_who_knows_it(self) -> None:
        for life, limit_per_s in self.fleet.limit_by_life.items():
            # Who last heard of a higher limit goes by that until told otherwise.
            since = self.changed_at[life] + KNOWN_S
            arrived = [
                at
                for at in self.fleet.arrived_at_by_life.get(life, [])
                if at >= max(since, self.fleet.now - WINDOW_S)
            ]
            most = most_in_window(arrived, WINDOW_S)
            assert most <= most_allowed(limit_per_s) + VMS * self._is_fresh(life)

    def _is_fresh(self, life: str) -> bool:
        """Tell whether VMs may still go by another limit of a moment ago."""
        return self.fleet.now - self.changed_at[life] < 2 * WINDOW_S


TestLimitMachine = LimitMachine.TestCase
TestLimitMachine.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
