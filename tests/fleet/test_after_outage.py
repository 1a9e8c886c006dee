"""Changes must take effect in time after an outage of the platform.

These tests guard against configurations that take effect too late. A route that was
moved 0.8 s after an outage went to its old service for another 4.4 s on all nine entry
VMs; the latest is 4 s after the outage. Each VM waited up to 5 s for a change in a long
poll, and 1 s more for the answer. The first long poll timed out after 6 s, and the
next, begun while the platform was still unresponsive, 6 s after that; neither was
answered, and nothing noticed that the platform was back. Two causes: the long-poll time
was the bound on a change plus the time after a disturbance, while a change made at the
end of the outage must take effect within the latter alone; and the read after a failed
one waited for changes as well.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from builders import CONTACT_S
from builders import build_boot
from builders import build_operator_document
from builders import build_path
from fleet_vm import build_vm
from fleet_vm import wait_until
from store_stand_in import SERVER_DOCUMENT
from store_stand_in import StoreStandIn
from store_stand_in import run_with_store

from plankspindle_core.steady_clock import monotonic

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from fleet_vm import FleetVm

    from plankspindle_core.endpoint import Endpoint

OUTAGE_S = 0.5
EMPTY_TRANSACTION = b'{"expected_revision":[],"puts":[],"remove":[]}'
RELISTED_AFTER_S = 1.9
"""Time after an outage in which expired entries are listed again, just below 2 s."""
NAMES = frozenset(f"i-{number}" for number in range(4))
TWO_PATHS = [build_path(), build_path(name="r2", path_prefix="/vins/")]


def run_vm(
    monkeypatch: pytest.MonkeyPatch,
    names: frozenset[str],
    scenario: Callable[[StoreStandIn, FleetVm], Awaitable[Any]],
) -> Any:
    """Run a scenario with a VM that knows some upstreams and waits for changes."""

    async def with_vm(store: StoreStandIn, endpoint: Endpoint) -> Any:
        store.honours_waits = True
        store.put("op", "config", build_operator_document())
        for name in names:
            store.put("servers", name, SERVER_DOCUMENT)
        vm = build_vm(0, endpoint, build_boot(monkeypatch))
        await vm.start()
        try:
            await wait_until(lambda: vm.routes() == 1 and vm.upstreams() == names)
            await wait_until(lambda: len(store.requested_waits_ms) >= 2)
            return await scenario(store, vm)
        finally:
            await vm.close()

    return run_with_store(with_vm)


def measure_recovery_s(
    monkeypatch: pytest.MonkeyPatch,
    change: Callable[[StoreStandIn], None],
    condition: Callable[[FleetVm], bool],
    *,
    outage_s: float = OUTAGE_S,
) -> Any:
    """Return the seconds from the end of an outage until a VM knows a change.

    The outage begins while the VM waits for changes in a long poll; the change is made
    at its end.
    """

    async def scenario(store: StoreStandIn, vm: FleetVm) -> float:
        store.is_unresponsive = True
        await curio.sleep(outage_s)
        store.is_unresponsive = False
        recovered_at = monotonic()
        change(store)
        await wait_until(lambda: condition(vm))
        return monotonic() - recovered_at

    return run_vm(monkeypatch, frozenset({"i-1"}), scenario)


def move_route(store: StoreStandIn) -> None:
    store.put(
        "op",
        "config",
        build_operator_document(hosts=[{"host": "desk.example", "paths": TWO_PATHS}]),
    )


def add_upstream(store: StoreStandIn) -> None:
    store.put("servers", "i-2", SERVER_DOCUMENT)


@pytest.mark.parametrize("outage_s", [OUTAGE_S, 5.0])
def test_configuration_changed_after_outage_takes_effect_in_time(
    monkeypatch: pytest.MonkeyPatch, outage_s: float
) -> None:
    took_s = measure_recovery_s(
        monkeypatch, move_route, lambda vm: vm.routes() == 2, outage_s=outage_s
    )
    assert took_s < CONTACT_S


@pytest.mark.parametrize(
    ("change", "condition"),
    [
        (move_route, lambda vm: vm.routes() == 2),
        (add_upstream, lambda vm: vm.upstreams() == {"i-1", "i-2"}),
    ],
)
def test_change_is_known_in_time_when_all_connections_become_unresponsive(
    monkeypatch: pytest.MonkeyPatch,
    change: Callable[[StoreStandIn], None],
    condition: Callable[[FleetVm], bool],
) -> None:
    def change_unnoticed(store: StoreStandIn) -> None:
        store.silence_connections()
        change(store)

    took_s = measure_recovery_s(monkeypatch, change_unnoticed, condition, outage_s=0.0)
    assert took_s < CONTACT_S


def test_upstreams_removed_while_connections_are_unresponsive_are_dropped_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A VM can't tell its own unresponsive connections from an outage of the platform.

    If more than a quarter of the entries is missing after a failed read, they are kept
    for a while, as entries that expired in an outage are listed again soon. Here the
    upstreams are really gone.
    """

    async def scenario(store: StoreStandIn, vm: FleetVm) -> float:
        store.silence_connections()
        unresponsive_at = monotonic()
        for name in ("i-0", "i-1"):
            store.remove("servers", name)
        await wait_until(lambda: vm.upstreams() == {"i-2", "i-3"})
        return monotonic() - unresponsive_at

    assert run_vm(monkeypatch, NAMES, scenario) < CONTACT_S


def test_reads_during_outage_do_not_wait_for_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A long poll that times out during an outage is not followed by another one."""

    async def scenario(store: StoreStandIn, vm: FleetVm) -> list[int]:
        store.is_unresponsive = True
        poll_count = len(store.requested_waits_ms)
        await curio.sleep(CONTACT_S)
        return store.requested_waits_ms[poll_count:]

    waits_ms = run_vm(monkeypatch, frozenset(), scenario)
    assert waits_ms
    assert set(waits_ms) == {0}


def test_upstream_listed_after_outage_is_known_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    took_s = measure_recovery_s(
        monkeypatch, add_upstream, lambda vm: vm.upstreams() == {"i-1", "i-2"}
    )
    assert took_s < CONTACT_S


@pytest.mark.parametrize("outage_s", [3.8, 4.5, 6.0])
def test_upstreams_expired_during_outage_stay_until_listed_again(
    monkeypatch: pytest.MonkeyPatch, outage_s: float
) -> None:
    """They are listed again at most 2 s after the outage, and are used meanwhile."""
    always_listed = NAMES

    async def observe(vm: FleetVm, for_s: float) -> None:
        nonlocal always_listed
        ends_at = monotonic() + for_s
        while monotonic() < ends_at:
            always_listed = always_listed & vm.upstreams()
            await curio.sleep(0.02)

    async def scenario(store: StoreStandIn, vm: FleetVm) -> None:
        store.is_unresponsive = True
        await observe(vm, outage_s / 2)
        for name in NAMES:
            store.remove("servers", name)
        await observe(vm, outage_s / 2)
        store.is_unresponsive = False
        await observe(vm, RELISTED_AFTER_S)
        for name in NAMES:
            store.put("servers", name, SERVER_DOCUMENT)
        await observe(vm, CONTACT_S)

    run_vm(monkeypatch, NAMES, scenario)
    assert always_listed == NAMES


def test_due_read_of_entry_vms_does_not_delay_server_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Entry VMs are read over another connection, idle for half a minute between."""

    async def scenario(store: StoreStandIn, vm: FleetVm) -> float:
        # Longer than a connection may be idle, as between two reads of the table.
        await curio.sleep(1.5)
        await wait_for_new_long_polls(store)
        store.silence_connections()
        unresponsive_at = monotonic()
        vm.platform.entry_vms._read_due_at = unresponsive_at + 0.5
        add_upstream(store)
        await wait_until(lambda: vm.upstreams() == {"i-1", "i-2"})
        return monotonic() - unresponsive_at

    assert run_vm(monkeypatch, frozenset({"i-1"}), scenario) < CONTACT_S


async def wait_for_new_long_polls(store: StoreStandIn) -> None:
    """Wait until a VM has just begun its long polls for list and configuration."""
    poll_count = len(store.requested_waits_ms)
    while len(store.requested_waits_ms) < poll_count + 2:
        await curio.sleep(0.01)


def test_rejected_writes_do_not_count_as_outage_of_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failed writes over a new connection must not count as an outage of the list."""

    async def write(vm: FleetVm) -> None:
        while True:
            for _ in range(2):
                await vm.platform._store.call("POST", "/rows-tx", EMPTY_TRANSACTION)
            await vm.platform.read_row("k")
            await curio.sleep(0.1)

    async def scenario(store: StoreStandIn, vm: FleetVm) -> float:
        store.rejects_writes = True
        writer = await curio.spawn(write, vm, daemon=True)
        await curio.sleep(0.5)
        try:
            store.silence_connections()
            unresponsive_at = monotonic()
            for name in ("i-0", "i-1"):
                store.remove("servers", name)
            await wait_until(lambda: vm.upstreams() == {"i-2", "i-3"})
            return monotonic() - unresponsive_at
        finally:
            await writer.cancel()

    assert run_vm(monkeypatch, NAMES, scenario) < CONTACT_S
