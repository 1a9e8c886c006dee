"""The store may return from a copy: it loses acknowledged writes and reuses numbers.

These tests guard against decisions that rest on a transaction number of the store, or
on a write that it acknowledged, after it has returned from a copy.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
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
from plankspindle_daemon.configuration.retained_drains import RESTORE_S

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    import pytest
    from fleet_vm import FleetVm

    from plankspindle_core.endpoint import Endpoint

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


# A changed route went to its old service for good once the store's numbers had fallen.
def test_configuration_changed_after_return_from_copy_takes_effect_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, vm: FleetVm) -> float:
        copy = store.copy()
        write_unrelated_rows(store)
        write_configuration(store, revision=2, routes=2)
        await wait_until(lambda: vm.routes() == 2)
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
        copy = store.copy()
        write_unrelated_rows(store)
        write_configuration(store, revision=2, routes=2)
        await wait_until(lambda: vm.routes() == 2)
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
        copy = store.copy()
        write_unrelated_rows(store)
        write_configuration(store, revision=2, routes=2)
        await wait_until(lambda: vm.routes() == 2)
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
