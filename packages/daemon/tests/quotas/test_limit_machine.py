"""Each limit is kept in random orders of limits, requests, partitions and restarts."""

from __future__ import annotations

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from plankspindle_testkit.lab.statement_record import STATEMENT_DELAY_S
from plankspindle_testkit.lab.statement_record import WINDOW_S
from plankspindle_testkit.lab.statement_record import max_allowed_requests
from plankspindle_testkit.quota_fleet import QuotaFleet
from plankspindle_testkit.quota_fleet import max_in_window

VMS = 6
INCARNATIONS = ("u#1", "v#2")
LIMITS_PER_S = (0.0, 0.5, 2.0, 4.6, 20.0)
BURST = 12
"""Requests that arrive at one VM at once."""
vms = st.integers(0, VMS - 1)
incarnations = st.sampled_from(INCARNATIONS)


class LimitMachine(RuleBasedStateMachine):
    """Upstreams announce, change and lift limits while VMs fail, pause and restart."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = QuotaFleet(random=Random(3), workspaces_by_name={})
        self.fleet.add_vms(VMS)
        self.fleet.run(2.0)
        self.changed_at = dict.fromkeys(INCARNATIONS, self.fleet.now)

    def name(self, vm: int) -> str:
        return f"vm-{vm}"

    @rule(incarnation=incarnations, limit_per_s=st.sampled_from(LIMITS_PER_S))
    def announce_limit(self, incarnation: str, limit_per_s: float) -> None:
        self.fleet.limit_by_incarnation[incarnation] = limit_per_s
        self.changed_at[incarnation] = self.fleet.now

    @rule(incarnation=incarnations)
    def lift_limit(self, incarnation: str) -> None:
        self.fleet.limit_by_incarnation.pop(incarnation, None)

    @rule(vm=vms, incarnation=incarnations, number=st.integers(1, BURST))
    def send(self, vm: int, incarnation: str, number: int) -> None:
        for _ in range(number):
            self.fleet.send_to_upstream(self.name(vm), incarnation)

    @rule(incarnation=incarnations, seconds=st.sampled_from([0.3, 1.0, 4.0]))
    def send_from_all_vms(self, incarnation: str, seconds: float) -> None:
        def load(_: float) -> None:
            for vm in range(VMS):
                self.fleet.send_to_upstream(self.name(vm), incarnation)

        self.fleet.run(seconds, load)

    @rule(seconds=st.sampled_from([0.1, 0.6, 2.0, 9.0]))
    def pass_time(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(part=st.sets(vms, min_size=1, max_size=VMS - 1))
    def cut(self, part: set[int]) -> None:
        names = set(map(self.name, part))
        self.fleet.partition(lambda one, other: (one in names) == (other in names))

    @rule()
    def heal(self) -> None:
        self.fleet.heal()

    @rule(vm=vms)
    def pause_or_resume(self, vm: int) -> None:
        paused = self.fleet.vms_by_name[self.name(vm)]
        paused.is_running = not paused.is_running

    @rule(vm=vms)
    def restart(self, vm: int) -> None:
        self.fleet.restart(self.name(vm))

    @rule(loss=st.sampled_from([0.0, 0.3, 0.9]))
    def lose_messages(self, loss: float) -> None:
        self.fleet.loss_share = loss

    @invariant()
    def no_upstream_gets_more_than_its_limit_from_vms_that_know_it(self) -> None:
        for incarnation, limit_per_s in self.fleet.limit_by_incarnation.items():
            # A VM applies the last limit that it received until an update arrives.
            since = self.changed_at[incarnation] + STATEMENT_DELAY_S
            arrived = [
                at
                for at in self.fleet.arrived_at_by_incarnation.get(incarnation, [])
                if at >= max(since, self.fleet.now - WINDOW_S)
            ]
            most_arrived = max_in_window(arrived, WINDOW_S)
            assert most_arrived <= max_allowed_requests(
                limit_per_s
            ) + VMS * self._changed_recently(incarnation)

    def _changed_recently(self, incarnation: str) -> bool:
        """Return whether VMs may still apply the previous limit."""
        return self.fleet.now - self.changed_at[incarnation] < 2 * WINDOW_S


TestLimitMachine = LimitMachine.TestCase
TestLimitMachine.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
