"""Tests of calls to the platform's store, against a stand-in on loopback."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from attrs import evolve
from builders import build_boot
from builders import wire_row
from result import Err
from store_stand_in import SERVER_DOCUMENT
from store_stand_in import StoreStandIn
from store_stand_in import run_with_store

from plankspindle_core.logs.key_value_destination import start_logging
from plankspindle_core.logs.key_value_destination import stop_logging
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.platform.bounded_calls import BoundedCalls
from plankspindle_daemon.platform.bounded_calls import CallKind
from plankspindle_daemon.platform.circuit_breaker import INITIAL_OPEN_S
from plankspindle_daemon.platform.errors import ConditionFailed
from plankspindle_daemon.platform.errors import PlatformUnavailable
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.platform.table import RowWrite
from plankspindle_daemon.platform.table import Transaction
from plankspindle_platform import row_store
from plankspindle_platform.entry_vm_table import EntryVmTable
from plankspindle_platform.row_store import HistoryExpired
from plankspindle_platform.row_store import RowStore
from plankspindle_platform.store_platform import StorePlatform

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from plankspindle_core.endpoint import Endpoint
    from plankspindle_platform.stored_rows import StoredRow


def run_with_platform(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[StoreStandIn, StorePlatform], Awaitable[Any]],
) -> Any:
    settings = build_boot(monkeypatch).daemon

    async def with_platform(store: StoreStandIn, endpoint: Endpoint) -> Any:
        return await scenario(
            store, StorePlatform(settings=evolve(settings, platform=endpoint))
        )

    return run_with_store(with_platform)


@pytest.mark.parametrize(
    "answer", [[], {}, None, {"rows": [{}], "schema_version": 1}, {"rows": 3}]
)
def test_invalid_answer_is_an_error(
    monkeypatch: pytest.MonkeyPatch, answer: Any
) -> None:
    async def answer_invalid(
        self: StoreStandIn, path: str, fields: dict[str, str]
    ) -> Any:
        return 200, answer

    async def scenario(store: StoreStandIn, endpoint: Endpoint) -> list[bool]:
        calls = BoundedCalls(timeout_s=1.0)
        rows = RowStore(endpoint=endpoint, calls=calls)
        fed = await rows.wait_for_changes("op", after=1, wait_s=0.0)
        return [(await rows.get_rows("op")).is_err(), fed.is_err()]

    monkeypatch.setattr(StoreStandIn, "_read", answer_invalid)
    assert run_with_store(scenario) == [True, True]


def test_list_is_read_again_without_wait_after_entry_vm_read_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def refuse(self: EntryVmTable) -> Any:
        return Err(PlatformUnavailable("lost"))

    async def scenario(store: StoreStandIn, platform: StorePlatform) -> list[bool]:
        store.put("servers", "i-1", SERVER_DOCUMENT)
        first = await platform.read_live_list(0.0)
        store.requested_waits_ms.clear()
        second = await platform.read_live_list(5.0)
        return [first.is_err(), second.is_err(), store.requested_waits_ms == []]

    monkeypatch.setattr(EntryVmTable, "read_if_due", refuse)
    assert run_with_platform(monkeypatch, scenario) == [True, True, True]


def test_all_pages_of_a_table_are_read() -> None:
    async def scenario(store: StoreStandIn, endpoint: Endpoint) -> list[str]:
        store.page_rows = 2
        for number in range(5):
            store.put("t", f"k{number}", {})
        rows = await RowStore(
            endpoint=endpoint, calls=BoundedCalls(timeout_s=1.0)
        ).get_rows("t")
        return [row.key for row in rows.unwrap().rows]

    assert run_with_store(scenario) == [f"k{number}" for number in range(5)]


def test_change_feed_reports_expired_history() -> None:
    async def scenario(store: StoreStandIn, endpoint: Endpoint) -> Any:
        feed = RowStore(endpoint=endpoint, calls=BoundedCalls(timeout_s=1.0))
        store.oldest_version = 5
        return (await feed.wait_for_changes("t", after=1, wait_s=0.0)).unwrap_err()

    assert isinstance(run_with_store(scenario), HistoryExpired)


def test_call_times_out_and_next_call_uses_new_connection() -> None:
    async def scenario(store: StoreStandIn, endpoint: Endpoint) -> tuple[bool, bool]:
        rows = RowStore(endpoint=endpoint, calls=BoundedCalls(timeout_s=0.1))
        store.delays_answers = True
        failed = (await rows.get_rows("t")).is_err()
        store.delays_answers = False
        return failed, (await rows.get_rows("t")).is_ok()

    assert run_with_store(scenario) == (True, True)


def test_concurrent_calls_are_serialized_on_one_connection() -> None:
    async def scenario(store: StoreStandIn, endpoint: Endpoint) -> list[bool]:
        rows = RowStore(endpoint=endpoint, calls=BoundedCalls(timeout_s=1.0))
        async with curio.TaskGroup() as group:
            for _ in range(8):
                await group.spawn(rows.get_rows, "t")
        return [result.is_ok() for result in group.results]

    assert run_with_store(scenario) == [True] * 8


def test_servers_and_entry_vms_form_one_list(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(store: StoreStandIn, platform: StorePlatform) -> Any:
        store.put("servers", "i-1", SERVER_DOCUMENT)
        leaving = {**SERVER_DOCUMENT["status"], "state": "draining"}
        store.put("servers", "i-2", {**SERVER_DOCUMENT, "status": leaving})
        store.put("servers", "i-3", {"info": "unreadable"})
        assert (await platform.entry_vms.announce()).is_ok()
        return (await platform.read_live_list()).unwrap()

    listed = {each.name: each for each in run_with_platform(monkeypatch, scenario)}
    assert set(listed) == {"i-1", "i-2", "edge-a-1"}
    assert listed["i-1"].upstream.slots == 9
    assert 0.0 < listed["i-1"].cold_until - monotonic() <= 1.5
    assert [listed[name].leaving for name in ("i-1", "i-2")] == [False, True]
    assert listed["edge-a-1"].kind is VmKind.ENTRY


def test_withdraw_removes_row_of_vm(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(store: StoreStandIn, platform: StorePlatform) -> int:
        await platform.entry_vms.announce()
        await platform.entry_vms.withdraw()
        return len(store.rows_by_key)

    assert run_with_platform(monkeypatch, scenario) == 0


def test_conditional_write_of_product_row_fails_on_changed_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, platform: StorePlatform) -> Any:
        write = RowWrite(key="k", expected_version=0, value={"a": 1})
        first = await platform.commit(Transaction(writes=[write]))
        second = await platform.commit(Transaction(writes=[write]))
        row = (await platform.read_row("k")).unwrap()
        absent = (await platform.read_row("j")).unwrap()
        return first.is_ok(), second.unwrap_err(), row.value, absent.version

    taken, refused, value, absent = run_with_platform(monkeypatch, scenario)
    assert taken
    assert refused == ConditionFailed(("k",))
    assert value == {"a": 1}
    assert absent == 0


def test_lost_answer_is_an_error_although_write_took_effect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(
        store: StoreStandIn, platform: StorePlatform
    ) -> tuple[bool, bool]:
        store.drops_answers = True
        announced = await platform.entry_vms.announce()
        return announced.is_ok(), bool(store.rows_by_key)

    assert run_with_platform(monkeypatch, scenario) == (False, True)


def test_server_changes_are_read_from_feed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(store: StoreStandIn, platform: StorePlatform) -> list[set[str]]:
        store.put("servers", "i-1", SERVER_DOCUMENT)
        store.put("servers", "i-2", SERVER_DOCUMENT)
        named = []
        named.append(await list_names(platform))
        store.remove("servers", "i-1")
        store.put("servers", "i-3", SERVER_DOCUMENT)
        named.append(await list_names(platform))
        store.oldest_version = store.version + 1
        store.put("servers", "i-4", SERVER_DOCUMENT)
        named.append(await list_names(platform))
        return named

    first, fed, reread = run_with_platform(monkeypatch, scenario)
    assert first == {"i-1", "i-2", "edge-a-1"}
    assert fed == {"i-2", "i-3", "edge-a-1"}
    assert reread == {"i-2", "i-3", "i-4", "edge-a-1"}


def test_feed_continues_after_change_received_from_another_vm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    settings = build_boot(monkeypatch).daemon

    async def scenario(store: StoreStandIn, platform: StorePlatform) -> Any:
        store.put("servers", "i-1", SERVER_DOCUMENT)
        store.put("servers", "i-2", SERVER_DOCUMENT)
        await list_names(platform)
        known_version = platform.list_version
        reader = StorePlatform(settings=evolve(settings, platform=platform.endpoint))
        store.remove("servers", "i-1")
        store.put("servers", "i-3", SERVER_DOCUMENT)
        read = (await reader.read_live_list()).unwrap()
        applied = platform.apply_list_change(
            version=reader.list_version,
            changed=[each for each in read if each.name == "i-3"],
            gone=["i-1"],
        )
        store.put("servers", "i-4", SERVER_DOCUMENT)
        fed = await list_names(platform)
        return known_version, reader.list_version, {each.name for each in applied}, fed

    known_version, version, applied, fed = run_with_platform(monkeypatch, scenario)
    assert known_version < version
    assert applied == {"i-2", "i-3", "edge-a-1"}
    assert fed == {"i-2", "i-3", "i-4", "edge-a-1"}


def test_long_poll_time_is_passed_to_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, platform: StorePlatform) -> list[int]:
        store.put("servers", "i-1", SERVER_DOCUMENT)
        await list_names(platform)
        await platform.read_live_list(0.05)
        await list_names(platform)
        return store.requested_waits_ms

    default_ms = build_boot(monkeypatch).daemon.timing.watch_ms
    assert run_with_platform(monkeypatch, scenario) == [50, default_ms]


async def list_names(platform: StorePlatform) -> set[str]:
    listed = (await platform.read_live_list()).unwrap()
    return {each.name for each in listed}


def test_late_withdrawal_keeps_row_of_restarted_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    settings = build_boot(monkeypatch).daemon

    async def scenario(store: StoreStandIn, platform: StorePlatform) -> int:
        await platform.entry_vms.announce()
        endpoint = platform.endpoint
        successor = StorePlatform(settings=evolve(settings, platform=endpoint))
        await successor.entry_vms.announce()
        await platform.entry_vms.withdraw()
        return len(store.rows_by_key)

    assert run_with_platform(monkeypatch, scenario) == 1


def test_vm_missing_in_table_stays_in_its_own_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(
        store: StoreStandIn, platform: StorePlatform
    ) -> tuple[Any, bool]:
        await platform.entry_vms.announce()
        store.remove("plankspindle-vms", "edge-a-1")
        return await list_names(platform), platform.entry_vms.is_present

    assert run_with_platform(monkeypatch, scenario) == ({"edge-a-1"}, False)


def test_adjacent_rows_are_read_with_one_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, platform: StorePlatform) -> Any:
        for number in range(4):
            store.put("plankspindle", f"k{number}", {"number": number})
        read = await platform.read_rows(["k3", "k0", "absent", "k1"])
        return read.unwrap(), platform.calls.calls_by_kind[CallKind.READ]

    rows, calls = run_with_platform(monkeypatch, scenario)
    assert {key: row.value for key, row in rows.items()} == {
        "k3": {"number": 3},
        "k0": {"number": 0},
        "absent": None,
        "k1": {"number": 1},
    }
    assert rows["absent"].version == 0
    assert calls == 1


def test_distant_rows_take_at_most_one_call_per_key(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, platform: StorePlatform) -> Any:
        for number in range(100):
            store.put("plankspindle", f"k{number:02}", {"number": number})
        read = await platform.read_rows(["k00", "k99"])
        return read.unwrap(), platform.calls.calls_by_kind[CallKind.READ]

    rows, calls = run_with_platform(monkeypatch, scenario)
    assert [rows[key].value["number"] for key in ("k00", "k99")] == [0, 99]
    assert calls == 2


def test_circuit_breaker_limits_calls_to_unavailable_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, platform: StorePlatform) -> Any:
        store.drops_answers = True
        platform.calls.clock = lambda: 5.0
        for _ in range(20):
            assert (await platform.read_live_list()).is_err()
        made = platform.calls.calls_by_kind[CallKind.READ]
        available_meanwhile = platform.calls.available
        store.drops_answers = False
        platform.calls.clock = lambda: 5.0 + INITIAL_OPEN_S
        back = (await platform.read_live_list()).is_ok()
        return made, available_meanwhile, back, platform.calls.available

    made, available_meanwhile, back, available = run_with_platform(
        monkeypatch, scenario
    )
    assert made == 3
    assert (available_meanwhile, back, available) == (False, True, True)


def test_unreadable_row_is_logged_with_reason(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stream = io.StringIO()
    log = start_logging(stream=stream)

    async def scenario(store: StoreStandIn, platform: StorePlatform) -> set[str]:
        store.put("servers", "i-1", {"info": "unreadable"})
        return await list_names(platform)

    try:
        assert run_with_platform(monkeypatch, scenario) == {"edge-a-1"}
    finally:
        stop_logging(log)
    assert "event=row_unreadable table=servers key=i-1 reason=" in stream.getvalue()


def test_repeated_unreadable_row_is_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stream = io.StringIO()
    log = start_logging(stream=stream)

    async def scenario(store: StoreStandIn, platform: StorePlatform) -> list[set[str]]:
        names = []
        store.put("servers", "i-2", SERVER_DOCUMENT)
        for document in (
            SERVER_DOCUMENT,
            {"info": 1},
            {"info": 2},
            SERVER_DOCUMENT,
            {"info": 1},
        ):
            store.put("servers", "i-1", document)
            names.append(await list_names(platform))
        return names

    try:
        names = run_with_platform(monkeypatch, scenario)
    finally:
        stop_logging(log)
    both, one = {"i-1", "i-2", "edge-a-1"}, {"i-2", "edge-a-1"}
    assert names == [both, one, one, both, one]
    assert stream.getvalue().count("event=row_unreadable") == 2


@pytest.mark.parametrize("value", ["%%%", "e30", 7, ["e30="]])
def test_undecodable_row_does_not_affect_other_rows(
    monkeypatch: pytest.MonkeyPatch, value: Any
) -> None:
    def spoil(row: StoredRow) -> dict[str, Any]:
        sent = wire_row(row)
        return {**sent, "value": value} if row.key == "i-1" else sent

    async def scenario(store: StoreStandIn, platform: StorePlatform) -> set[str]:
        store.put("servers", "i-1", SERVER_DOCUMENT)
        store.put("servers", "i-2", SERVER_DOCUMENT)
        return await list_names(platform)

    monkeypatch.setattr("store_stand_in.wire_row", spoil)
    assert run_with_platform(monkeypatch, scenario) == {"i-2", "edge-a-1"}


def test_row_of_dead_vm_is_removed_unless_it_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, platform: StorePlatform) -> Any:
        store.put("plankspindle-vms", "edge-b-1", {"nonce": "old"})
        removed = await platform.entry_vms.remove("edge-b-1")
        gone = ("plankspindle-vms", "edge-b-1") not in store.rows_by_key
        store.put("plankspindle-vms", "edge-b-1", {"nonce": "old"})
        store.vm_replaced_before_write = "edge-b-1"
        kept = await platform.entry_vms.remove("edge-b-1")
        is_kept = ("plankspindle-vms", "edge-b-1") in store.rows_by_key
        return removed.is_ok(), gone, kept.is_err(), is_kept

    assert run_with_platform(monkeypatch, scenario) == (True, True, True, True)


def test_entry_vms_are_read_again_after_announcing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, platform: StorePlatform) -> list[set[str]]:
        named = [await list_names(platform)]
        entry = {
            "failure_domain": "zone-b",
            "caller": "10.1.0.9:1",
            "peer": "10.1.0.9:2",
        }
        store.put("plankspindle-vms", "edge-b-1", entry)
        named.append(await list_names(platform))
        await platform.entry_vms.announce()
        named.append(await list_names(platform))
        return named

    first, second, third = run_with_platform(monkeypatch, scenario)
    assert first == second == {"edge-a-1"}
    assert third == {"edge-a-1", "edge-b-1"}


@pytest.mark.parametrize("was_idle", [True, False])
def test_only_failure_of_new_connection_marks_store_unavailable(
    monkeypatch: pytest.MonkeyPatch, was_idle: bool
) -> None:
    """An idle connection may become unresponsive while the store is available."""

    async def scenario(store: StoreStandIn, platform: StorePlatform) -> bool:
        store.put("servers", "i-1", SERVER_DOCUMENT)
        if was_idle:
            await list_names(platform)
        store.is_unresponsive = True
        assert (await platform.read_live_list(0.05)).is_err()
        found_unavailable = platform.list_unavailable_at is not None
        assert (await platform.read_live_list(0.05)).is_err()
        assert platform.list_unavailable_at is not None
        return found_unavailable

    assert run_with_platform(monkeypatch, scenario) is not was_idle


def test_idle_connection_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It may be unresponsive, which costs the next call its whole timeout."""
    monkeypatch.setattr(row_store, "MAX_IDLE_S", 0.2)

    async def scenario(store: StoreStandIn, platform: StorePlatform) -> list[int]:
        connections = []
        for idle_s in (0.0, 0.0, 0.4):
            await curio.sleep(idle_s)
            await platform.read_row("k")
            connections.append(len(store._connections))
        return connections

    assert run_with_platform(monkeypatch, scenario) == [1, 1, 2]
