"""Records of roll-outs in the platform's store, and what the operator reads of them."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING
from typing import Any

import pytest
from attrs import evolve
from builders import build_boot
from store_stand_in import StoreStandIn
from store_stand_in import run_with_store

from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.platform.errors import ConditionFailed
from plankspindle_daemon.platform.errors import PlatformUnavailable
from plankspindle_daemon.rollouts.rollout_record import RolloutRecord
from plankspindle_daemon.rollouts.stage import Stage
from plankspindle_platform.application import make_ports
from plankspindle_platform.rollout_records import StoreRolloutRecords
from plankspindle_platform.store_platform import StorePlatform

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from plankspindle_core.endpoint import Endpoint

KEY = "rollout/desk"
RECORD = RolloutRecord(
    service="desk",
    baseline_version="v1",
    order=9,
    target_version="v2",
    duration_ms=12_000,
    stage=Stage.CANARY,
    ordered_at_s=51.25,
)
MOVING = evolve(RECORD, stage=Stage.MOVING, moving_at_s=55.0, ends_at_s=62.5)
WALL_S = 1_000.0


def run_with_records(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[StoreStandIn, StoreRolloutRecords], Awaitable[Any]],
) -> Any:
    settings = build_boot(monkeypatch).daemon

    async def with_records(store: StoreStandIn, endpoint: Endpoint) -> Any:
        platform = StorePlatform(settings=evolve(settings, platform=endpoint))
        records = StoreRolloutRecords(platform=platform, wall_clock=lambda: WALL_S)
        return await scenario(store, records)

    return run_with_store(with_records)


def published(store: StoreStandIn) -> Any:
    """Return what the operator reads; None if there is no row."""
    found = store.rows_by_key.get(("status", KEY))
    return None if found is None else json.loads(base64.b64decode(found[1]))


async def write(records: StoreRolloutRecords, record: RolloutRecord) -> Any:
    """Read the row, and write a record in its place."""
    found = (await records.read("desk")).unwrap()
    return await records.write(record, replacing=found.row)


@pytest.mark.parametrize(
    ("record", "state"),
    [
        (RECORD, "running"),
        (MOVING, "running"),
        (evolve(MOVING, stage=Stage.COMPLETE), "complete"),
        (evolve(MOVING, stage=Stage.ROLLED_BACK), "rolled_back"),
    ],
)
def test_record_and_state_are_written_in_one_transaction(
    monkeypatch: pytest.MonkeyPatch, record: RolloutRecord, state: str
) -> None:
    async def scenario(store: StoreStandIn, records: StoreRolloutRecords) -> Any:
        absent = (await records.read("desk")).unwrap()
        assert absent.record is None
        assert (await records.write(record, replacing=absent.row)).is_ok()
        versions = {version for version, _ in store.rows_by_key.values()}
        assert versions == {1}
        return (await records.read("desk")).unwrap().record, published(store)

    told = {"state": state, "target_version": "v2"}
    assert run_with_records(monkeypatch, scenario) == (record, told)


def test_record_without_order_publishes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    in_force = RolloutRecord(service="desk", baseline_version="v1")

    async def scenario(store: StoreStandIn, records: StoreRolloutRecords) -> Any:
        assert (await write(records, in_force)).is_ok()
        return (await records.read("desk")).unwrap().record, published(store)

    assert run_with_records(monkeypatch, scenario) == (in_force, None)


# Two coordinators decide at once.
def test_failed_condition_leaves_record_and_state(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, records: StoreRolloutRecords) -> Any:
        await write(records, MOVING)
        row = (await records.read("desk")).unwrap().row
        rolled_back = evolve(MOVING, stage=Stage.ROLLED_BACK)
        assert (await records.write(rolled_back, replacing=row)).is_ok()
        complete = evolve(MOVING, stage=Stage.COMPLETE)
        failed = (await records.write(complete, replacing=row)).unwrap_err()
        assert failed == ConditionFailed((f"{KEY}",))
        record = (await records.read("desk")).unwrap().record
        return record == rolled_back, published(store)["state"]

    assert run_with_records(monkeypatch, scenario) == (True, "rolled_back")


def test_lost_answer_of_a_write_is_settled_by_a_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, records: StoreRolloutRecords) -> Any:
        row = (await records.read("desk")).unwrap().row
        store.drops_answers = True
        lost = (await records.write(RECORD, replacing=row)).unwrap_err()
        store.drops_answers = False
        assert isinstance(lost, PlatformUnavailable)
        found = (await records.read("desk")).unwrap()
        again = await records.write(MOVING, replacing=row)
        assert isinstance(again.unwrap_err(), ConditionFailed)
        return found.record, published(store)["state"]

    assert run_with_records(monkeypatch, scenario) == (RECORD, "running")


def test_refused_write_has_no_effect(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(store: StoreStandIn, records: StoreRolloutRecords) -> Any:
        store.rejects_writes = True
        refused = await write(records, RECORD)
        return refused.is_err(), store.rows_by_key

    assert run_with_records(monkeypatch, scenario) == (True, {})


# The number of the row that was read may be that of another record after a return.
def test_condition_read_before_a_return_does_not_hold(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, records: StoreRolloutRecords) -> Any:
        await write(records, RECORD)
        copy = store.copy()
        await write(records, MOVING)
        row = (await records.read("desk")).unwrap().row
        store.return_from(copy)
        halted = evolve(RECORD, stage=Stage.ROLLED_BACK)
        assert (await write(records, halted)).is_ok()
        assert store.rows_by_key["plankspindle", KEY][0] == row.version
        complete = evolve(MOVING, stage=Stage.COMPLETE)
        refused = await records.write(complete, replacing=row)
        assert refused.unwrap_err() == ConditionFailed((KEY,))
        return published(store)["state"]

    assert run_with_records(monkeypatch, scenario) == "rolled_back"


def test_record_lost_on_a_return_is_written_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, records: StoreRolloutRecords) -> Any:
        copy = store.copy()
        await write(records, MOVING)
        store.return_from(copy)
        found = (await records.read("desk")).unwrap()
        assert found.record is None
        assert published(store) is None
        assert (await records.write(MOVING, replacing=found.row)).is_ok()
        return (await records.read("desk")).unwrap().record, published(store)["state"]

    assert run_with_records(monkeypatch, scenario) == (MOVING, "running")


@pytest.mark.parametrize(
    ("told", "seconds"),
    [
        ("51230ms", 51.23),
        ("51.5s", 51.5),
        (51, 51.0),
        (51.25, 51.25),
        (None, WALL_S),
        ("soon", WALL_S),
        (True, WALL_S),
        (10**400, WALL_S),
        ([], WALL_S),
    ],
)
def test_time_of_a_read_is_that_of_the_store(
    monkeypatch: pytest.MonkeyPatch, told: Any, seconds: float
) -> None:
    async def scenario(store: StoreStandIn, records: StoreRolloutRecords) -> Any:
        store.told_time = told
        return (await records.read("desk")).unwrap().store_now_s

    assert run_with_records(monkeypatch, scenario) == pytest.approx(seconds)


def test_time_of_the_store_is_steady(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(store: StoreStandIn, records: StoreRolloutRecords) -> Any:
        return [(await records.read("desk")).unwrap().store_now_s for _ in range(3)]

    began = monotonic()
    times = run_with_records(monkeypatch, scenario)
    assert times == sorted(times)
    assert began - 0.01 <= times[0] <= times[-1] <= monotonic()


def test_damaged_record_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(store: StoreStandIn, records: StoreRolloutRecords) -> Any:
        store.put("plankspindle", KEY, {"stage": "canary"})
        assert (await records.read("desk")).unwrap().record is None
        assert (await write(records, RECORD)).is_ok()
        return (await records.read("desk")).unwrap().record

    assert run_with_records(monkeypatch, scenario) == RECORD


def test_records_are_a_port_of_the_platform(monkeypatch: pytest.MonkeyPatch) -> None:
    ports = make_ports(build_boot(monkeypatch))
    assert isinstance(ports.rollout_records, StoreRolloutRecords)
