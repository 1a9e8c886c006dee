"""Tests of the quarantine entries that are stored at the platform."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import Any

import curio
import pytest
from attrs import define
from attrs import field
from result import Err
from result import Ok

from plankspindle_daemon.platform.bounded_calls import BoundedCalls
from plankspindle_daemon.platform.errors import ConditionFailed
from plankspindle_daemon.platform.errors import PlatformUnavailable
from plankspindle_daemon.platform.table import Row
from plankspindle_daemon.quarantine import quarantine_store
from plankspindle_daemon.quarantine.crash_records import CLEARANCE_WINDOW_S
from plankspindle_daemon.quarantine.quarantine import Quarantine
from plankspindle_daemon.quarantine.quarantine_store import ROW_KEY
from plankspindle_daemon.quarantine.quarantine_store import QuarantineStore
from plankspindle_testkit.builders import build_membership

REQUEST = 2**64 - 1
SETTLED_S = 0.1


@define
class FakePlatform:
    """One row, preceded by a number of failures."""

    calls: BoundedCalls = field(factory=lambda: BoundedCalls(timeout_s=1.0))
    row: Row = field(factory=lambda: Row(key=ROW_KEY, version=0))
    failing_reads: int = 0
    refused_writes: int = 0
    reads: int = 0
    writes: int = 0

    async def read_row(self, key: str) -> Any:
        self.reads += 1
        if self.failing_reads:
            self.failing_reads -= 1
            return Err(PlatformUnavailable("platform unavailable"))
        return Ok(self.row)

    async def commit(self, transaction: Any) -> Any:
        write = transaction.writes[0]
        if self.refused_writes or write.expected_version != self.row.version:
            self.refused_writes = max(0, self.refused_writes - 1)
            return Err(ConditionFailed((ROW_KEY,)))
        self.writes += 1
        self.row = Row(key=ROW_KEY, version=self.row.version + 1, value=write.value)
        return Ok(None)


def build_store(quarantine: Quarantine, platform: FakePlatform) -> QuarantineStore:
    return QuarantineStore(
        quarantine=quarantine,
        platform=platform,  # type: ignore[arg-type]
        random=Random(1),
    )


async def run_store(platform: FakePlatform, *, quarantines: bool) -> Quarantine:
    """Start an entry VM, and optionally quarantine a request."""
    quarantine = Quarantine.create("a", "ba-1", build_membership("a"))
    store = build_store(quarantine, platform)
    task = await curio.spawn(store.run, daemon=True)
    await curio.sleep(SETTLED_S)
    if quarantines:
        now = quarantine_store.monotonic()
        for incarnation_id in "abc":
            quarantine.record_crash(REQUEST, incarnation_id, at=now, now=now)
        quarantine.tick(now + CLEARANCE_WINDOW_S)
        await store.wake_if_needed()
    await curio.sleep(SETTLED_S)
    await task.cancel()
    return quarantine


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(quarantine_store, "RETRY_S", 0.01)


def test_restarted_fleet_blocks_stored_requests() -> None:
    platform = FakePlatform()
    curio.run(partial(run_store, platform, quarantines=True))
    found = curio.run(partial(run_store, platform, quarantines=False))
    assert list(found.quarantine_list.entries_by_identity) == [REQUEST]
    assert platform.writes == 1


def test_start_reads_the_row_once_and_writes_nothing() -> None:
    platform = FakePlatform()
    curio.run(partial(run_store, platform, quarantines=False))
    assert (platform.reads, platform.writes) == (1, 0)


def test_entry_is_written_once_the_platform_recovers() -> None:
    platform = FakePlatform(failing_reads=2, refused_writes=2)
    curio.run(partial(run_store, platform, quarantines=True))
    assert platform.row.value is not None
    assert len(platform.row.value["entries"]) == 1


def test_entries_written_by_another_vm_are_kept() -> None:
    platform = FakePlatform()
    curio.run(partial(run_store, platform, quarantines=True))
    assert platform.row.value is not None
    entry = ["00000000000000aa", platform.row.value["entries"][0][1], 1]
    platform.row = Row(key=ROW_KEY, version=7, value={"entries": [entry]})
    curio.run(partial(run_store, platform, quarantines=True))
    assert [each[0] for each in platform.row.value["entries"]] == [
        "00000000000000aa",
        f"{REQUEST:016x}",
    ]


def test_partitioned_vm_rereads_the_row_when_an_upstream_crashes() -> None:
    platform = FakePlatform()
    curio.run(run_partitioned, platform)


async def run_partitioned(platform: FakePlatform) -> None:
    """Let other VMs quarantine a request while this one gets no messages."""
    quarantine = Quarantine.create("a", "ba-1", build_membership("a"))
    store = build_store(quarantine, platform)
    task = await curio.spawn(store.run, daemon=True)
    await curio.sleep(SETTLED_S)
    await run_store(platform, quarantines=True)
    store._read_at -= quarantine_store.MIN_REREAD_INTERVAL_S
    for _ in range(3):
        now = quarantine_store.monotonic()
        quarantine.record_crash(REQUEST, "d", at=now, now=now)
        reads = platform.reads
        await store.wake_if_needed()
        await curio.sleep(SETTLED_S)
        assert list(quarantine.quarantine_list.entries_by_identity) == [REQUEST]
    assert platform.reads == reads
    await task.cancel()


@pytest.mark.parametrize(
    "value",
    [
        {},
        {"entries": 7},
        {"entries": [["xyz", 1, 1]]},
        {"entries": [["aa", 1]]},
        {"entries": [["aa", "1e999", 1]]},
        {"entries": [["-1", 1, 1]]},
        {"entries": [["aa", 1, -1]]},
        {"entries": [["f" * 400, 1, 1]]},
        {"entries": [["aa", 1e308, 1]]},
    ],
)
def test_damaged_row_is_ignored_and_overwritten(value: dict[str, Any]) -> None:
    platform = FakePlatform(row=Row(key=ROW_KEY, version=3, value=value))
    found = curio.run(partial(run_store, platform, quarantines=True))
    assert list(found.quarantine_list.entries_by_identity) == [REQUEST]
    assert platform.writes == 1


async def run_until_returned(platform: FakePlatform) -> None:
    """Quarantine a request, lose its row by a return from a copy, and wait."""
    quarantine = Quarantine.create("a", "ba-1", build_membership("a"))
    store = build_store(quarantine, platform)
    platform.calls.era.observe(1, quarantine_store.monotonic())
    task = await curio.spawn(store.run, daemon=True)
    await curio.sleep(SETTLED_S)
    now = quarantine_store.monotonic()
    for incarnation_id in "abc":
        quarantine.record_crash(REQUEST, incarnation_id, at=now, now=now)
    quarantine.tick(now + CLEARANCE_WINDOW_S)
    await store.wake_if_needed()
    await curio.sleep(SETTLED_S)
    platform.row = Row(key=ROW_KEY, version=0)
    platform.calls.era.observe(2, quarantine_store.monotonic())
    for _ in range(2):
        await store.wake_if_needed()
        await curio.sleep(SETTLED_S)
    await task.cancel()


# A fleet that starts anew after the store lost the row would run the request again.
def test_row_lost_by_a_return_of_the_store_is_written_again() -> None:
    platform = FakePlatform()
    curio.run(run_until_returned, platform)
    assert platform.row.value is not None
    assert [each[0] for each in platform.row.value["entries"]] == [f"{REQUEST:016x}"]
    assert platform.writes == 2
