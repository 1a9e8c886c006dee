"""Tests of shared reads: one of eight entry VMs of a failure domain reads for all."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
from builders import CONTACT_S
from builders import build_boot
from builders import build_operator_document
from fleet_vm import FleetVm
from fleet_vm import build_vm
from fleet_vm import wait_until
from store_stand_in import SERVER_DOCUMENT
from store_stand_in import StoreStandIn
from store_stand_in import run_with_store

from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.sharing import shared_reads

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    import pytest

    from plankspindle_core.endpoint import Endpoint

VMS = 8
SHORT_CONTACT_S = 3.0
TIMING = {"shared_read_ms": 1_000, "watch_ms": 2_000}


def run_fleet(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[StoreStandIn, list[FleetVm]], Awaitable[Any]],
    **timing: int,
) -> Any:
    """Run VMs until they share reads, then a scenario."""
    monkeypatch.setattr(shared_reads, "SETTLE_S", 0.5)
    boot = build_boot(monkeypatch)
    timing = {**TIMING, **timing}

    async def with_vms(store: StoreStandIn, endpoint: Endpoint) -> Any:
        store.honours_waits = True
        store.put("op", "config", build_operator_document())
        store.put("servers", "i-1", SERVER_DOCUMENT)
        vms = [build_vm(number, endpoint, boot, **timing) for number in range(VMS)]
        for vm in vms:
            await vm.start()
        try:
            await wait_until(
                lambda: roles(vms) == ["reader"] + ["follower"] * (VMS - 1)
            )
            return await scenario(store, vms)
        finally:
            for vm in vms:
                await vm.close()

    return run_with_store(with_vms)


def roles(vms: list[FleetVm]) -> list[str]:
    now = monotonic()
    return [vm.node.shared_reads.role(now).value for vm in vms]


def test_changes_read_by_one_vm_reach_all_vms(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, vms: list[FleetVm]) -> tuple[int, int]:
        before = [vm.platform.calls.calls_by_kind.copy() for vm in vms]
        store.put("servers", "i-2", SERVER_DOCUMENT)
        await wait_until(lambda: all(vm.upstreams() == {"i-1", "i-2"} for vm in vms))
        leaving = {**SERVER_DOCUMENT["status"], "state": "draining"}
        store.put("servers", "i-1", {**SERVER_DOCUMENT, "status": leaving})
        await wait_until(lambda: all(vm.upstreams() == {"i-2"} for vm in vms))
        made = [
            sum(vm.platform.calls.calls_by_kind.values()) - sum(was.values())
            for vm, was in zip(vms, before, strict=True)
        ]
        return made[0], sum(made[1:])

    reader, followers = run_fleet(monkeypatch, scenario)
    assert reader > 0
    assert followers < VMS - 1


def test_configuration_reaches_all_vms(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(store: StoreStandIn, vms: list[FleetVm]) -> bool:
        document = build_operator_document()
        path = document["hosts"][0]["paths"][0]
        more = [{**path, "name": f"n{n}", "path_prefix": f"/{n}/"} for n in range(40)]
        document["hosts"][0]["paths"] += more
        store.put("op", "config", document)
        await wait_until(lambda: all(vm.routes() == 41 for vm in vms))
        return True

    assert run_fleet(monkeypatch, scenario)


def test_another_vm_becomes_reader_when_reader_stops(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, vms: list[FleetVm]) -> list[str]:
        first, *others = vms
        await first.close()
        first.tasks.clear()
        store.put("servers", "i-2", SERVER_DOCUMENT)
        await wait_until(lambda: all(vm.upstreams() == {"i-1", "i-2"} for vm in others))
        await wait_until(lambda: roles(others).count("reader") == 1)
        return roles(others)

    assert run_fleet(monkeypatch, scenario)[0] == "reader"


def test_vm_without_contact_to_reader_reads_for_itself(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(store: StoreStandIn, vms: list[FleetVm]) -> bool:
        isolated = vms[3]

        async def discard(message: object, sender: Endpoint) -> None:
            del message, sender

        await isolated.peers.close()
        await isolated.peers.start(discard)
        store.put("servers", "i-2", SERVER_DOCUMENT)
        await wait_until(lambda: all(vm.upstreams() == {"i-1", "i-2"} for vm in vms))
        return True

    assert run_fleet(monkeypatch, scenario)


def test_followers_retain_missing_upstreams_no_longer_than_reader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An update from the reader must not restart the retention time of a follower."""
    names = {f"i-{number}" for number in range(1, 5)}

    async def scenario(store: StoreStandIn, vms: list[FleetVm]) -> float:
        for name in names:
            store.put("servers", name, SERVER_DOCUMENT)
        await wait_until(lambda: all(vm.upstreams() == names for vm in vms))
        store.silence_connections()
        unresponsive_at = monotonic()
        for name in ("i-1", "i-2"):
            store.remove("servers", name)
        await wait_until(lambda: all(vm.upstreams() == {"i-3", "i-4"} for vm in vms))
        return monotonic() - unresponsive_at

    assert run_fleet(monkeypatch, scenario) < CONTACT_S


def test_change_is_known_in_time_when_all_connections_become_unresponsive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """This includes connections of followers, idle while the reader reads for them.

    Times are those of a site whose bounds apply again after 3 s.
    """

    async def scenario(store: StoreStandIn, vms: list[FleetVm]) -> float:
        await curio.sleep(2.0)
        await wait_for_new_long_poll(store)
        store.silence_connections()
        unresponsive_at = monotonic()
        store.put("servers", "i-2", SERVER_DOCUMENT)
        await wait_until(lambda: all(vm.upstreams() == {"i-1", "i-2"} for vm in vms))
        return monotonic() - unresponsive_at

    took_s = run_fleet(monkeypatch, scenario, watch_ms=1_250, recovery_ms=3_000)
    assert took_s < SHORT_CONTACT_S


async def wait_for_new_long_poll(store: StoreStandIn) -> None:
    """Wait until the reader has just begun a long poll."""
    poll_count = len(store.requested_waits_ms)
    while len(store.requested_waits_ms) == poll_count:
        await curio.sleep(0.01)
