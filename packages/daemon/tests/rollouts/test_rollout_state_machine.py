"""Randomised roll-outs of several entry VMs while parts fail."""

from __future__ import annotations

from attrs import evolve
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from plankspindle_daemon.rollouts.rollout_coordinator import CONTACT_S
from plankspindle_daemon.rollouts.rollout_participant import LEASE_S
from plankspindle_daemon.rollouts.stage import Stage
from plankspindle_testkit.fake_version_dispatch import REQUEST_S
from plankspindle_testkit.rollout_fleet import DELAY_S
from plankspindle_testkit.rollout_fleet import NEW
from plankspindle_testkit.rollout_fleet import OLD
from plankspindle_testkit.rollout_fleet import SERVICE
from plankspindle_testkit.rollout_fleet import TICK_S
from plankspindle_testkit.rollout_fleet import RolloutFleet
from plankspindle_testkit.rollout_fleet import RolloutVm

DURATION_S = 15.0
TOLD_S = 7.0
"""Time for the end to reach VMs in touch, also when the coordinator dies, in seconds.

In it fall the failure of the coordinator, of a collector and of a directive.
"""
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50


class RolloutMachine(RuleBasedStateMachine):
    """Roll-outs hold their bounds whatever fails, and end once nothing fails."""

    @initialize(
        seed=st.integers(0, 1000),
        bad_share=st.sampled_from([0.0, 0.0, 0.3, 1.0]),
    )
    def order(self, seed: int, bad_share: float) -> None:
        self.fleet = RolloutFleet(seed=seed)
        self.fleet.run(1.0)
        self.bad_share = bad_share
        self.fleet.bad_share_by_version[NEW] = bad_share
        self.fleet.give_order(duration_s=DURATION_S)
        self.is_withdrawn = False
        self.has_returned = False
        self.copies = [dict(self.fleet.store.rows_by_service)]
        self.told: set[Stage] = set()
        self.complete_at: float | None = None
        self.calm_since = self.fleet.now
        self.sent_before: dict[str, int] = {}

    @rule(ticks=st.integers(1, 60))
    def let_time_pass(self, ticks: int) -> None:
        for _ in range(ticks):
            self.fleet.run(0.1)
            self._check_step()

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]))
    def lose_messages(self, loss: float) -> None:
        self.fleet.loss = loss
        self._disturb()

    @rule(repeat=st.sampled_from([0.0, 0.3]), delay_s=st.sampled_from([0.02, 0.5, 2.0]))
    def delay_messages(self, repeat: float, delay_s: float) -> None:
        self.fleet.repeat, self.fleet.max_delay_s = repeat, delay_s
        self._disturb()

    @rule()
    def kill_coordinator(self) -> None:
        for vm in self.fleet.coordinators()[:1]:
            if len(self.fleet.running()) > 2:
                vm.is_running = False
                self._disturb()

    @rule(number=st.integers(0, 3))
    def restart(self, number: int) -> None:
        vm = list(self.fleet.vms_by_name.values())[number]
        self._note_sent(vm)
        self.fleet.start_vm(vm.name, vm.failure_domain)
        self._disturb()

    @rule(withdraws=st.booleans())
    def restart_all(self, withdraws: bool) -> None:
        self.is_withdrawn = self.is_withdrawn or withdraws
        for vm in self.fleet.vms_by_name.values():
            self._note_sent(vm)
        self.fleet.restart_all(None if withdraws else self.fleet.order)
        self._disturb()

    def _note_sent(self, vm: RolloutVm) -> None:
        before = self.sent_before.get(vm.name, 0)
        self.sent_before[vm.name] = before + len(vm.dispatch.sent)

    @rule(number=st.integers(0, 3), is_cut=st.booleans(), with_store=st.booleans())
    def cut(self, number: int, is_cut: bool, with_store: bool) -> None:
        vm = list(self.fleet.vms_by_name.values())[number]
        self.fleet.cut(vm, is_cut=is_cut, with_store=with_store)
        self._disturb()

    @rule(is_down=st.booleans(), loses_answers=st.booleans())
    def disturb_store(self, is_down: bool, loses_answers: bool) -> None:
        self.fleet.store.is_down = is_down
        self.fleet.store.loses_answers = loses_answers

    @precondition(lambda self: not self.is_withdrawn)
    @rule()
    def withdraw(self) -> None:
        self.is_withdrawn = True
        self.fleet.configure()

    @rule()
    def copy_store(self) -> None:
        self.copies = [dict(self.fleet.store.rows_by_service)]

    @precondition(lambda self: self.fleet.order is not None and not self.has_returned)
    @rule(number=st.sampled_from([5, 9]))
    def return_store(self, number: int) -> None:
        """Return the store from a copy; the operator restores the order."""
        order = self.fleet.order
        assert order is not None
        self.has_returned = True
        self.fleet.return_store(self.copies[-1])
        self.let_time_pass(8)
        self.fleet.configure(evolve(order, number=number))

    @invariant()
    def one_verdict(self) -> None:
        assert not {Stage.COMPLETE, Stage.ROLLED_BACK} <= self.told, self.told

    def _check_step(self) -> None:
        fleet = self.fleet
        ends = {vm.stage for vm in fleet.running() if vm.stage.is_final}
        self.told |= ends
        acknowledged = {each.stage for each in fleet.store.written}
        assert ends <= acknowledged, "an end is told that the store does not know"
        if Stage.COMPLETE in ends and self.complete_at is None:
            self.complete_at = fleet.now
        self._check_exposure()
        self._check_lease()
        self._check_baseline()

    def _check_exposure(self) -> None:
        if self.bad_share < 0.3:
            return
        sent = [
            version
            for vm in self.fleet.vms_by_name.values()
            for _, version in vm.dispatch.sent
        ]
        requests = len(sent) + sum(self.sent_before.values())
        assert sent.count(NEW) <= EXPOSURE_SHARE * requests + EXPOSURE_SLACK

    def _check_lease(self) -> None:
        """A VM that hears neither VMs nor the store exposes no requests."""
        for vm in self.fleet.running():
            cut_s = self.fleet.now - vm.reachable_since
            if vm.is_cut_from_store and cut_s > CONTACT_S + LEASE_S + 4 * TICK_S:
                is_told = vm.stage is Stage.COMPLETE
                assert is_told or not self._sends(vm, NEW, for_s=0.1), vm.name

    def _check_baseline(self) -> None:
        """Once the end is told, nothing runs at the old version at VMs in touch."""
        told_at, now = self.complete_at, self.fleet.now
        is_calm = now - self.calm_since > TOLD_S and not self.is_network_bad()
        if told_at is None or not is_calm:
            return
        # A request that was sent just before may still run.
        for_s = REQUEST_S if now - told_at <= 2 * TICK_S else 2 * TICK_S
        for vm in self.fleet.in_touch(for_s=TOLD_S):
            assert not self._sends(vm, OLD, for_s=for_s), (vm.name, vm.stage)

    def is_network_bad(self) -> bool:
        return self.fleet.loss > 0.0 or self.fleet.max_delay_s > DELAY_S

    def _sends(self, vm: RolloutVm, version: str, *, for_s: float) -> bool:
        recent = [each for at, each in vm.dispatch.sent if at > self.fleet.now - for_s]
        return version in recent

    def _disturb(self) -> None:
        self.calm_since = self.fleet.now

    def teardown(self) -> None:
        """End all faults: the roll-out ends, and all VMs know how."""
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.loss = fleet.repeat = 0.0
        fleet.max_delay_s = 0.02
        fleet.store.is_down = fleet.store.loses_answers = False
        for vm in fleet.vms_by_name.values():
            fleet.cut(vm, is_cut=False)
        self._disturb()
        for _ in range(round(10 * (DURATION_S + 40))):
            fleet.run(0.1)
            self._check_step()
        self.one_verdict()
        recorded = fleet.store.rows_by_service.get(SERVICE)
        assert recorded is None or recorded[1].is_finished, recorded
        # A process that started after the order was withdrawn knows of none.
        ends = {vm.stage for vm in fleet.running() if vm.has_order}
        assert len(ends) <= 1, ends
        assert ends <= {Stage.COMPLETE, Stage.ROLLED_BACK}, ends
        if self.bad_share >= 0.3:
            assert ends <= {Stage.ROLLED_BACK}


RolloutMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    # A fleet takes too long for a search of smaller examples.
    phases=[Phase.explicit, Phase.reuse, Phase.generate],
)
TestRollouts = RolloutMachine.TestCase
