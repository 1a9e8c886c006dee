"""Tests of the task that reads and writes the records of roll-outs."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import curio
import pytest
from attrs import define
from attrs import field
from result import Err
from result import Ok
from result import Result

from plankspindle_daemon.platform.errors import ConditionFailed
from plankspindle_daemon.platform.errors import PlatformUnavailable
from plankspindle_daemon.rollouts import record_keeper
from plankspindle_daemon.rollouts.record_keeper import RecordKeeper
from plankspindle_daemon.rollouts.record_keeper import make_record_keeper
from plankspindle_daemon.rollouts.rollout_record import RolloutRecord
from plankspindle_daemon.rollouts.rollout_record import StoredRollout
from plankspindle_daemon.rollouts.stage import Stage
from plankspindle_testkit.rollout_fleet import SERVICE
from plankspindle_testkit.rollout_fleet import FakeRecordStore
from plankspindle_testkit.rollout_fleet import RolloutFleet

if TYPE_CHECKING:
    from plankspindle_daemon.platform.table import Row
    from plankspindle_daemon.rollouts.rollouts import Rollouts

UNAVAILABLE = PlatformUnavailable("no answer")
SETTLED_S = 0.1


@define
class FakeRecordPort:
    """A store behind asynchronous calls, of which the first ones fail."""

    store: FakeRecordStore = field(factory=FakeRecordStore)
    failing_reads: int = 0
    lost_answers: int = 0
    reads: int = 0

    async def read(self, service: str) -> Result[StoredRollout, PlatformUnavailable]:
        self.reads += 1
        stored = self.store.read(service, record_keeper.monotonic())
        if stored is None or self.reads <= self.failing_reads:
            return Err(UNAVAILABLE)
        return Ok(stored)

    async def write(
        self, record: RolloutRecord, *, replacing: Row
    ) -> Result[None, ConditionFailed | PlatformUnavailable]:
        if not self.store.write(record, replacing):
            return Err(ConditionFailed((record.service,)))
        if self.lost_answers:
            self.lost_answers -= 1
            return Err(UNAVAILABLE)
        return Ok(None)


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(record_keeper, "RETRY_S", 0.01)


def build_rollouts() -> Rollouts:
    """Build the roll-outs of a VM that has begun to coordinate an order."""
    fleet = RolloutFleet(vms_per_domain=1)
    fleet.give_order()
    fleet.store.is_down = True
    fleet.run(1.0)
    return fleet.coordinators()[0].rollouts


async def keep(port: FakeRecordPort, rollouts: Rollouts) -> None:
    keeper = RecordKeeper(rollouts=rollouts, records=port, random=Random(1))
    task = await curio.spawn(keeper.run, daemon=True)
    await keeper.wake_if_needed()
    await curio.sleep(SETTLED_S)
    await task.cancel()


@pytest.mark.parametrize(("failing_reads", "lost_answers"), [(0, 0), (2, 0), (0, 1)])
def test_record_is_written_once_it_can_be(
    failing_reads: int, lost_answers: int
) -> None:
    port = FakeRecordPort(failing_reads=failing_reads, lost_answers=lost_answers)
    rollouts = build_rollouts()
    curio.run(keep, port, rollouts)
    assert [each.stage for each in port.store.written] == [Stage.CANARY]
    assert rollouts.services_with_record_work(record_keeper.monotonic()) == []


def test_record_of_another_vm_wins_over_a_late_write() -> None:
    port, rollouts = FakeRecordPort(), build_rollouts()
    curio.run(keep, port, rollouts)
    (written,) = port.store.written
    settled = RolloutRecord(
        service=SERVICE,
        baseline_version=written.baseline_version,
        order=written.order,
        target_version=written.target_version,
        duration_ms=written.duration_ms,
        stage=Stage.ROLLED_BACK,
    )
    port.store.rows_by_service[SERVICE] = (9, settled)
    rollouts.rollouts_by_service[SERVICE].needs_read = True
    curio.run(keep, port, rollouts)
    assert rollouts.rollouts_by_service[SERVICE].participant.stage is Stage.ROLLED_BACK
    assert len(port.store.written) == 1


def test_there_is_no_keeper_without_a_port_or_roll_outs() -> None:
    rollouts = build_rollouts()
    assert make_record_keeper(rollouts, None, Random(1)) is None
    assert make_record_keeper(rollouts, FakeRecordPort(), Random(1)) is not None
