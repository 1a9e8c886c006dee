"""Tests of the record of a service without an order, in a fleet."""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING

import pytest

from plankspindle_daemon.dispatch.version_counts import ListedVersion
from plankspindle_daemon.platform.table import Row
from plankspindle_daemon.rollouts.rollout_record import RolloutRecord
from plankspindle_daemon.rollouts.rollout_record import StoredRollout
from plankspindle_daemon.rollouts.stage import Stage
from plankspindle_daemon.settings.daemon_settings import RolloutSettings
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_service
from plankspindle_testkit.rollout_fleet import NEW
from plankspindle_testkit.rollout_fleet import OLD
from plankspindle_testkit.rollout_fleet import SERVICE
from plankspindle_testkit.rollout_fleet import FakeRecordStore
from plankspindle_testkit.rollout_fleet import RolloutFleet
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from plankspindle_daemon.rollouts.service_rollout import ServiceRollout

BASELINE_RECORD = RolloutRecord(service=SERVICE, baseline_version=OLD)
RECORDED_S = 8.0


def versions_in_force(fleet: RolloutFleet) -> set[str | None]:
    return {vm.rollouts.status(fleet.now)[0].version_in_force for vm in fleet.running()}


def run_to(fleet: RolloutFleet, stage: Stage) -> None:
    until = fleet.now + 30.0
    while {vm.stage for vm in fleet.running()} != {stage}:
        assert fleet.now < until
        fleet.run(0.1)


def test_only_listed_version_is_recorded_by_one_vm_once() -> None:
    fleet = RolloutFleet()
    fleet.run(60.0)
    assert fleet.store.written == [BASELINE_RECORD]
    assert fleet.store.reads == 1
    assert fleet.messages == 0


def test_fleet_that_restarts_beside_two_versions_keeps_the_recorded_one() -> None:
    fleet = RolloutFleet()
    fleet.run(RECORDED_S)
    fleet.list_target(listed=100, warm=100)
    fleet.restart_all()
    fleet.run(1.0)
    assert versions_in_force(fleet) == {OLD}
    fleet.run(60.0)
    assert versions_in_force(fleet) == {OLD}
    assert fleet.store.written == [BASELINE_RECORD]


def test_recorded_version_replaces_the_likeliest_once_the_store_answers() -> None:
    fleet = RolloutFleet()
    fleet.run(RECORDED_S)
    fleet.list_target(listed=100, warm=100)
    fleet.store.is_down = True
    fleet.restart_all()
    fleet.run(20.0)
    assert versions_in_force(fleet) == {NEW}
    fleet.store.is_down = False
    fleet.run(1.0)
    assert versions_in_force(fleet) == {OLD}


def test_next_coordinator_reads_the_record_once() -> None:
    fleet = RolloutFleet()
    fleet.run(RECORDED_S)
    for vm in fleet.running():
        rollout = vm.rollouts.rollouts_by_service[SERVICE]
        vm.is_running = not rollout.participant.is_baseline_confirmed
    assert len(fleet.running()) == 3
    fleet.run(60.0)
    assert fleet.store.reads == 2
    assert fleet.store.written == [BASELINE_RECORD]


def test_version_is_recorded_once_the_store_answers() -> None:
    fleet = RolloutFleet()
    fleet.store.is_down = True
    fleet.run(20.0)
    fleet.store.is_down = False
    fleet.store.loses_answers = True
    fleet.run(1.0)
    assert fleet.store.written == [BASELINE_RECORD]
    reads = fleet.store.reads
    fleet.run(30.0)
    assert fleet.store.reads == reads


# All VMs of a fleet see another version listed at the same moment.
def test_record_is_not_read_by_vms_that_saw_the_baseline_alone() -> None:
    fleet = RolloutFleet()
    fleet.run(RECORDED_S)
    reads = fleet.store.reads
    fleet.list_target(listed=100, warm=100)
    fleet.run(1.0)
    assert fleet.store.reads == reads


def test_version_that_was_alone_is_recorded_beside_another() -> None:
    fleet = RolloutFleet()
    fleet.run(1.0)
    fleet.list_target(listed=100, warm=100)
    fleet.run(RECORDED_S)
    assert fleet.store.written == [BASELINE_RECORD]


def test_record_that_cannot_be_read_is_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = RolloutFleet()
    row = Row(key=SERVICE, version=1, era=1, value={"stage": "unknown"})
    stored = StoredRollout(record=None, row=row, store_now_s=0.0)
    monkeypatch.setattr(FakeRecordStore, "read", lambda *_: stored)
    fleet.run(60.0)
    assert fleet.store.written == []


def test_nothing_is_read_without_roll_outs() -> None:
    fleet = RolloutFleet()
    for vm in fleet.running():
        vm.rollouts.settings = RolloutSettings()
        vm.rollouts.rollouts_by_service.clear()
        vm.rollouts.update_configuration(
            build_configuration(), build_version(9), fleet.now
        )
        vm.rollouts.observe_versions(fleet.now)
        assert vm.rollouts.tick(fleet.now + 60.0) == []
        assert vm.rollouts.services_with_record_work(fleet.now + 60.0) == []


def test_likeliest_of_several_versions_is_not_recorded() -> None:
    fleet = RolloutFleet(
        listed={
            OLD: ListedVersion(listed=12, warm=12),
            NEW: ListedVersion(listed=11, warm=11),
        }
    )
    fleet.run(60.0)
    assert versions_in_force(fleet) == {OLD}
    assert fleet.store.written == []
    assert fleet.store.reads <= 1 + len(fleet.running())


def test_record_is_written_again_when_the_store_returns_without_it() -> None:
    fleet = RolloutFleet()
    fleet.run(RECORDED_S)
    fleet.return_store({})
    fleet.run(1.0)
    assert fleet.store.rows_by_service[SERVICE][1] == BASELINE_RECORD
    assert fleet.store.written == [BASELINE_RECORD, BASELINE_RECORD]


def test_nothing_is_recorded_before_a_store_that_returns_is_restored() -> None:
    fleet = RolloutFleet()
    fleet.run(4.0)
    fleet.return_store({})
    fleet.run(2.25)
    assert fleet.store.reads == 1
    assert fleet.store.written == []
    fleet.run(4.0)
    assert fleet.store.written == [BASELINE_RECORD]


@pytest.mark.parametrize("stage", [Stage.CANARY, Stage.MOVING])
def test_order_withdrawn_while_all_vms_restart_is_rolled_back(stage: Stage) -> None:
    fleet = RolloutFleet()
    fleet.run(1.0)
    fleet.give_order(duration_s=20.0)
    run_to(fleet, stage)
    fleet.restart_all()
    fleet.run(25.0)
    record = fleet.store.rows_by_service[SERVICE][1]
    assert (record.order, record.stage) == (7, Stage.ROLLED_BACK)
    assert versions_in_force(fleet) == {OLD}


def test_order_that_is_configured_late_is_not_withdrawn() -> None:
    fleet = RolloutFleet()
    fleet.run(1.0)
    fleet.give_order(duration_s=30.0)
    run_to(fleet, Stage.CANARY)
    order = fleet.order
    fleet.restart_all()
    fleet.run(8.0)
    fleet.configure(order)
    fleet.run(30.0)
    assert {vm.stage for vm in fleet.running()} == {Stage.COMPLETE}


def test_order_is_not_withdrawn_before_a_store_that_returns_is_restored() -> None:
    fleet = RolloutFleet()
    fleet.run(1.0)
    fleet.give_order(duration_s=20.0)
    run_to(fleet, Stage.CANARY)
    rows = dict(fleet.store.rows_by_service)
    fleet.restart_all()
    fleet.run(9.5)
    fleet.return_store(rows)
    fleet.run(2.0)
    assert fleet.store.rows_by_service[SERVICE][1].stage is Stage.CANARY
    fleet.run(20.0)
    assert fleet.store.rows_by_service[SERVICE][1].stage is Stage.ROLLED_BACK


def test_records_of_many_services_are_checked_one_by_one() -> None:
    rollouts = RolloutFleet(vms_per_domain=1).running()[0].rollouts
    services = {f"service-{number}": build_service() for number in range(9)}
    rollouts.update_configuration(
        build_configuration(services_by_name=services), build_version(9), 0.0
    )
    due = [0]
    for tick in range(100):
        rollouts.tick(tick / 8)
        due.append(len(rollouts.services_with_record_work(tick / 8)))
    assert max(after - before for before, after in pairwise(due)) == 1
    assert due[-1] == len(
        [each for each in rollouts.rollouts_by_service.values() if is_chosen(each)]
    )


def is_chosen(rollout: ServiceRollout) -> bool:
    rollout.roles.refresh(100.0)
    return rollout.roles.is_coordinator()
