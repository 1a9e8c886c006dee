"""The store may return from a copy: it loses acknowledged writes and reuses numbers.

These tests guard against decisions that rest on a transaction number of the store, or
on a write that it acknowledged, after it has returned from a copy.
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
from store_stand_in import StoreCopy
from store_stand_in import StoreStandIn
from store_stand_in import run_with_store

from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.node.presence_maintainer import PresenceMaintainer
from plankspindle_daemon.platform.errors import ConditionFailed
from plankspindle_daemon.platform.errors import PlatformUnavailable
from plankspindle_daemon.platform.table import ABSENT
from plankspindle_daemon.platform.table import RowWrite
from plankspindle_daemon.platform.table import Transaction
from plankspindle_daemon.versions.store_era import RESTORE_S
from plankspindle_platform.store_era_header import read_era
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from fleet_vm import FleetVm

    from plankspindle_core.endpoint import Endpoint

RESTORED_AFTER_S = 1.9
"""Time after a return in which upstreams are listed again, just below 2 s."""
LOST_WRITES = 20
"""Writes after the copy, more than any test makes after the return."""


def operator_document(revision: int, routes: int) -> dict[str, Any]:
    """Build an operator's document with some routes."""
    paths = [
        build_path(name=f"r{number}", path_prefix=f"/p{number}/")
        for number in range(routes)
    ]
    return build_operator_document(
        config_version=f"{revision:08x}",
        hosts=[{"host": "desk.example", "paths": paths}],
    )


def write_configuration(store: StoreStandIn, revision: int, routes: int) -> None:
    store.put("op", "config", operator_document(revision, routes))


def run_vm(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[StoreStandIn, FleetVm], Awaitable[Any]],
) -> Any:
    """Run a scenario with a VM that has the operator's version 1, of one route."""

    async def with_vm(store: StoreStandIn, endpoint: Endpoint) -> Any:
        store.honours_waits = True
        write_configuration(store, revision=1, routes=1)
        store.put("servers", "i-1", SERVER_DOCUMENT)
        vm = build_vm(0, endpoint, build_boot(monkeypatch))
        await vm.start()
        try:
            await wait_until(lambda: vm.routes() == 1 and vm.upstreams() == {"i-1"})
            return await scenario(store, vm)
        finally:
            await vm.close()

    return run_with_store(with_vm)


def write_unrelated_rows(store: StoreStandIn, count: int = LOST_WRITES) -> None:
    for number in range(count):
        store.put("other", f"row-{number}", {})


async def adopt_version_that_is_lost(store: StoreStandIn, vm: FleetVm) -> StoreCopy:
    """Return a copy of the store from before a version that a VM has adopted."""
    copy = store.copy()
    write_unrelated_rows(store)
    write_configuration(store, revision=2, routes=2)
    await wait_until(lambda: vm.routes() == 2)
    return copy


# A changed route went to its old service for good once the store's numbers had fallen.
def test_configuration_changed_after_return_from_copy_takes_effect_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, vm: FleetVm) -> float:
        copy = await adopt_version_that_is_lost(store, vm)
        store.return_from(copy)
        write_configuration(store, revision=2, routes=2)
        await curio.sleep(0.5)
        write_configuration(store, revision=3, routes=3)
        changed_at = monotonic()
        await wait_until(lambda: vm.routes() == 3)
        return monotonic() - changed_at

    assert run_vm(monkeypatch, scenario) < CONTACT_S


async def never(condition: Callable[[], bool], seconds: float) -> None:
    """Check all the time that a condition does not hold."""
    until = monotonic() + seconds
    while monotonic() < until:
        assert not condition()
        await curio.sleep(0.02)


# An older document of the copy was in force until the operator restored the newest.
def test_configuration_does_not_revert_while_store_holds_older_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, vm: FleetVm) -> None:
        copy = store.copy()
        write_configuration(store, revision=2, routes=2)
        await wait_until(lambda: vm.routes() == 2)
        store.return_from(copy)
        await never(lambda: vm.routes() != 2, seconds=2.0)
        write_configuration(store, revision=3, routes=3)
        await wait_until(lambda: vm.routes() == 3)

    run_vm(monkeypatch, scenario)


# A feed after an old number left out rows with lower numbers of the new era.
def test_change_is_seen_when_numbers_have_passed_the_old_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, vm: FleetVm) -> float:
        copy = await adopt_version_that_is_lost(store, vm)
        store.return_from(copy)
        write_configuration(store, revision=3, routes=3)
        store.put("servers", "i-2", SERVER_DOCUMENT)
        write_unrelated_rows(store, 2 * LOST_WRITES)
        returned_at = monotonic()
        await wait_until(lambda: vm.routes() == 3 and "i-2" in vm.upstreams())
        return monotonic() - returned_at

    assert run_vm(monkeypatch, scenario) < CONTACT_S


def test_configuration_takes_effect_after_two_returns_in_a_row(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, vm: FleetVm) -> float:
        copy = await adopt_version_that_is_lost(store, vm)
        store.return_from(copy)
        await curio.sleep(0.3)
        store.return_from(copy)
        write_configuration(store, revision=2, routes=2)
        write_configuration(store, revision=3, routes=3)
        changed_at = monotonic()
        await wait_until(lambda: vm.routes() == 3)
        return monotonic() - changed_at

    assert run_vm(monkeypatch, scenario) < CONTACT_S


# An evacuation whose row was lost ended before the operator restored it.
def test_evacuation_stays_in_force_until_it_is_restored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, vm: FleetVm) -> None:
        copy = store.copy()
        store.put("op", "evacuate/zone-b", {})
        await wait_until(vm.is_drained)
        store.return_from(copy)
        await never(lambda: not vm.is_drained(), seconds=1.5)
        store.put("op", "evacuate/zone-b", {})
        await never(lambda: not vm.is_drained(), seconds=RESTORE_S)
        store.remove("op", "evacuate/zone-b")
        await wait_until(lambda: not vm.is_drained())

    run_vm(monkeypatch, scenario)


def test_evacuation_that_is_not_restored_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(store: StoreStandIn, vm: FleetVm) -> float:
        copy = store.copy()
        store.put("op", "evacuate/zone-b", {})
        await wait_until(vm.is_drained)
        store.return_from(copy)
        returned_at = monotonic()
        await wait_until(lambda: not vm.is_drained())
        return monotonic() - returned_at

    assert run_vm(monkeypatch, scenario) < RESTORE_S + CONTACT_S


def server_document(sequence: int, state: str = "ready") -> dict[str, Any]:
    status = {**SERVER_DOCUMENT["status"], "state": state, "sequence": sequence}
    return {**SERVER_DOCUMENT, "status": status}


# A store that lost the word of a leaving upstream listed it as ready, and it was used.
@pytest.mark.parametrize("is_gone", [False, True])
def test_upstream_that_left_is_not_used_again(
    monkeypatch: pytest.MonkeyPatch, is_gone: bool
) -> None:
    async def scenario(store: StoreStandIn, vm: FleetVm) -> None:
        store.put("servers", "i-2", server_document(sequence=5))
        await wait_until(lambda: "i-2" in vm.upstreams())
        copy = store.copy()
        store.put("servers", "i-2", server_document(sequence=9, state="draining"))
        await wait_until(lambda: "i-2" not in vm.upstreams())
        if is_gone:
            store.remove("servers", "i-2")
            await curio.sleep(0.3)
        store.return_from(copy)
        await never(lambda: "i-2" in vm.upstreams(), seconds=2.0)
        store.put("servers", "i-2", server_document(sequence=12, state="draining"))
        await never(lambda: "i-2" in vm.upstreams(), seconds=1.0)
        store.remove("servers", "i-2")
        await never(lambda: "i-2" in vm.upstreams(), seconds=1.0)

    run_vm(monkeypatch, scenario)


def test_upstream_that_is_back_is_used_once_it_has_written_its_entry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, vm: FleetVm) -> float:
        store.put("servers", "i-2", server_document(sequence=5))
        await wait_until(lambda: "i-2" in vm.upstreams())
        copy = store.copy()
        store.remove("servers", "i-2")
        await wait_until(lambda: "i-2" not in vm.upstreams())
        store.return_from(copy)
        await never(lambda: "i-2" in vm.upstreams(), seconds=0.5)
        store.put("servers", "i-2", server_document(sequence=6))
        written_at = monotonic()
        await wait_until(lambda: "i-2" in vm.upstreams())
        return monotonic() - written_at

    assert run_vm(monkeypatch, scenario) < CONTACT_S


# An upstream that the store had lost was dropped until it was listed again.
def test_upstreams_that_the_store_lost_are_used_until_they_are_restored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, vm: FleetVm) -> float:
        names = {f"i-{number}" for number in range(1, 7)}
        for name in names - {"i-1"}:
            store.put("servers", name, SERVER_DOCUMENT)
        await wait_until(lambda: vm.upstreams() == names)
        copy = store.copy()
        store.put("servers", "i-7", SERVER_DOCUMENT)
        await wait_until(lambda: "i-7" in vm.upstreams())
        store.return_from(copy)
        returned_at = monotonic()
        await never(lambda: "i-7" not in vm.upstreams(), seconds=RESTORED_AFTER_S)
        await wait_until(lambda: vm.upstreams() == names)
        return monotonic() - returned_at

    assert run_vm(monkeypatch, scenario) < CONTACT_S


def test_entry_vm_announces_itself_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(store: StoreStandIn, vm: FleetVm) -> float:
        own_row = ("plankspindle-vms", vm.node.vm)
        copy = store.copy()
        del copy.rows_by_key[own_row]
        maintainer = PresenceMaintainer(node=vm.node, presence=vm.platform.entry_vms)
        task = await curio.spawn(maintainer.run)
        store.return_from(copy)
        returned_at = monotonic()
        await wait_until(lambda: own_row in store.rows_by_key)
        await task.cancel()
        return monotonic() - returned_at

    assert run_vm(monkeypatch, scenario) < CONTACT_S


# The number of a row that was read may be given to another write of the row.
def test_condition_of_earlier_era_does_not_hold(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, vm: FleetVm) -> tuple[Any, Any, Any]:
        copy = store.copy()
        store.put("plankspindle", "k", {"by": "before"})
        row = (await vm.platform.read_row("k")).unwrap()
        store.return_from(copy)
        store.put("plankspindle", "k", {"by": "another"})
        assert store.rows_by_key["plankspindle", "k"][0] == row.version
        change = Transaction(writes=[row.replaced_by({"by": "mine"})])
        unaware = await vm.platform.commit(change)
        store.put("plankspindle", "k", {"by": "another"})
        aware = await vm.platform.commit(change)
        found = (await vm.platform.read_row("k")).unwrap()
        return unaware.unwrap_err(), aware.unwrap_err(), found.value

    unaware, aware, value = run_vm(monkeypatch, scenario)
    assert isinstance(unaware, PlatformUnavailable)
    assert aware == ConditionFailed(("k",))
    assert value == {"by": "another"}


# An acknowledgement that arrives after the return is known may be of a lost write.
def test_answer_of_earlier_era_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(store: StoreStandIn, vm: FleetVm) -> Any:
        vm.platform.calls.era.observe(2, monotonic())
        write = RowWrite(key="k", expected_version=ABSENT, value={})
        return await vm.platform.commit(Transaction(writes=[write]))

    assert isinstance(run_vm(monkeypatch, scenario).unwrap_err(), PlatformUnavailable)


def test_vm_that_is_cut_off_learns_of_the_era_from_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, vm: FleetVm) -> tuple[int, int]:
        later = build_version(2, era=2, number=3)
        vm.node.versions.receive_version("edge-a-1", later, monotonic())
        era = vm.platform.calls.era
        return era.number, era.returns

    assert run_vm(monkeypatch, scenario) == (2, 1)


@pytest.mark.parametrize("value", [b"-1", b"two", b"", b"99999999999"])
def test_invalid_era_counts_as_none(value: bytes) -> None:
    assert read_era([(b"store-era", value)]) is None
    assert read_era([(b"store-era", b" 7 ")]) == 7
