"""Tests of the soak's roll-outs: its operator, its upstreams and its checks."""

from __future__ import annotations

import base64
import json
from math import inf
from random import Random
from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from attrs import evolve
from fleet_vm import wait_until
from soak import faults
from soak import rollout_injector
from soak import upstreams
from soak.checks import ObservedRequest
from soak.faults import draw
from soak.layout import Bounds
from soak.layout import Layout
from soak.return_injector import ReturnInjector
from soak.rollout_checks import RolloutChecks
from soak.software_version import BASELINE
from soak.software_version import SoftwareVersion
from soak.software_version import draw_software_version
from soak.unstalled_clock import UnstalledClock
from soak.upstream import Run
from soak.upstream import Upstream
from soak_builders import build_rollout_injector

from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_testkit.rollouts.rollout_records import PublishedState
from plankspindle_testkit.rollouts.rollout_records import RolloutOrder
from plankspindle_testkit.soak.soak_fault import SoakFault

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from soak.rollout_injector import RolloutInjector

VMS = ["edge-0", "edge-1"]
FAULT = SoakFault(at=1.0, for_s=0.0, kind="rollout")
FAILING = SoftwareVersion(name="v2", flawed_share=1.0)


@pytest.fixture(autouse=True)
def short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rollout_injector, "DURATION_S", 0.4)
    monkeypatch.setattr(rollout_injector, "WITHDRAWN_AFTER_S", 0.3)
    monkeypatch.setattr(rollout_injector, "START_OFFSETS_S", (-0.1, 0.1))
    monkeypatch.setattr(rollout_injector, "DRAIN_AFTER_S", (0.1, 0.2))
    monkeypatch.setattr(rollout_injector, "WITHDRAW_AFTER_S", (0.1, 0.2))
    monkeypatch.setattr(upstreams, "LINGER_S", 0.05)
    monkeypatch.setattr(upstreams, "ABORTED_SHARE", 0.0)


def test_roll_outs_leave_the_other_faults_of_a_seed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def drawn() -> list[list[SoakFault]]:
        return [draw(seed, seconds=20, vms=VMS) for seed in range(20)]

    with_rollouts = drawn()
    monkeypatch.setattr(faults, "ROLLOUT_SEED_SHARE", 0.0)
    assert drawn() == [
        [each for each in seed if each.kind != "rollout"] for seed in with_rollouts
    ]
    assert 5 < sum(any(f.kind == "rollout" for f in s) for s in with_rollouts) < 15


def test_settings_include_roll_outs_only_on_request() -> None:
    bounds = Bounds.of_seed(0)
    layout = Layout(vms=1, first_port=28_400)
    terms = layout.boot_document("edge-0", bounds)["terms"]
    assert "contracts" not in terms
    assert "rollback" not in terms["bounds"]
    with_rollouts = evolve(layout, has_rollouts=True)
    terms = with_rollouts.boot_document("edge-0", bounds)["terms"]
    assert terms["contracts"] == ["rollout"]
    assert terms["bounds"]["rollback"] == "5000ms"


@pytest.mark.parametrize(
    ("fields", "shown", "hidden"),
    [
        ({}, {}, None),
        ({"flawed_from": 5.0}, {"now": 5.0}, {"now": 4.9}),
        ({"min_in_flight": 2}, {"in_flight": 2}, {"in_flight": 1}),
        ({"path_prefix": "/m1/"}, {"path": "/m1/x"}, {"path": "/m0/x"}),
    ],
)
def test_flaw_shows_under_its_condition(
    fields: dict[str, Any], shown: dict[str, Any], hidden: dict[str, Any] | None
) -> None:
    software = evolve(FAILING, **fields)
    values = {"path": "/m0/x", "in_flight": 1, "now": 1.0}
    assert software.draw_flaw(Random(1), **values | shown)
    if hidden is not None:
        assert not software.draw_flaw(Random(1), **values | hidden)
    assert not BASELINE.draw_flaw(Random(1), **values)


def test_all_kinds_of_versions_are_drawn() -> None:
    drawn = [
        draw_software_version(Random(n), "v2", path_prefixes=["/m0/"], now=0.0)
        for n in range(100)
    ]
    bad = [each for each in drawn if each.is_bad]
    assert 20 < len(bad) < 80
    assert {each.fails for each in bad} == {True, False}
    for condition in (
        [each.flawed_from > 0 for each in bad],
        [each.min_in_flight > 0 for each in bad],
        [bool(each.path_prefix) for each in bad],
    ):
        assert set(condition) == {True, False}


def test_clock_stands_still_during_stalls() -> None:
    clock = UnstalledClock.of_stalls([(10.0, 0.0), (11.0, 0.4), (12.0, 3.0)])
    times = (9.0, 10.0, 10.5, 11.0, 11.5, 12.0, 13.0, inf)
    shown = [clock.at(each) for each in times]
    assert shown == pytest.approx([9.0, 10.0, 10.3, 10.6, 10.6, 10.6, 11.6, inf])


def publish(injector: RolloutInjector, state: str) -> None:
    """Write the state of the roll-out that is ordered, as the system does."""
    ((key, (_, value)),) = [
        (key, row) for key, row in injector.store.rows_by_key.items() if key[0] == "op"
    ]
    order = json.loads(base64.b64decode(value))
    status = {"state": state, "target_version": order["target_version"]}
    injector.store.put("status", key[1], status)


def ordered(injector: RolloutInjector) -> bool:
    return any(key[0] == "op" for key in injector.store.rows_by_key)


def listed_versions(injector: RolloutInjector) -> list[str]:
    """Return the listed software versions of the service that was ordered to roll."""
    (order,) = injector.orders
    rows = injector.store.rows_by_key.items()
    entries = [
        json.loads(base64.b64decode(value))["info"]
        for (table, _), (_, value) in rows
        if table == "servers"
    ]
    of_service = [each for each in entries if each["service"] == order.service]
    return sorted(each["config_version"] for each in of_service)


def play(
    scenario: Callable[[RolloutInjector], Awaitable[None]], first_port: int
) -> RolloutInjector:
    """Inject a roll-out, play a scenario beside it, and wait for the end of both."""
    injector = build_rollout_injector(first_port)

    async def run() -> None:
        await injector.upstreams.start()
        injecting = await curio.spawn(injector.inject, FAULT)
        await wait_until(lambda: ordered(injector))
        await scenario(injector)
        await injecting.join()
        assert not ordered(injector)
        await injector.upstreams.close()

    curio.run(run)
    return injector


def test_old_upstreams_stop_at_completion() -> None:
    async def complete(injector: RolloutInjector) -> None:
        await wait_until(lambda: len(injector.upstreams.current) == 12)
        publish(injector, "running")
        await curio.sleep(0.1)
        publish(injector, "complete")
        await wait_until(lambda: listed_versions(injector) == ["v2"] * 3)
        (order,) = injector.orders
        old, new = (
            injector.upstreams.of_software(order.service, name) for name in ("v1", "v2")
        )
        assert len(old) == len(new) == 3
        assert [await answered(injector, each) for each in old] == [None] * 3
        assert [await answered(injector, each) for each in new] == [200] * 3

    injector = play(complete, 28_910)
    states = [each.state for each in injector.state_changes]
    assert states == [PublishedState.RUNNING, PublishedState.COMPLETE]
    assert all(each.withdrawn_at < inf for each in injector.orders)


def test_new_upstreams_drain_after_a_roll_back() -> None:
    async def roll_back(injector: RolloutInjector) -> None:
        await wait_until(lambda: len(injector.upstreams.current) == 12)
        publish(injector, "rolled_back")
        await wait_until(lambda: any(u.is_draining for u in injector.upstreams.current))
        assert listed_versions(injector) == ["v1"] * 3 + ["v2"] * 3

    injector = play(roll_back, 28_920)
    assert listed_versions(injector) == ["v1"] * 3


def test_order_without_status_is_withdrawn_and_a_missed_duty() -> None:
    async def wait(_: RolloutInjector) -> None:
        pass

    injector = play(wait, 28_930)
    assert listed_versions(injector) == ["v1"] * 3
    RolloutChecks(checks=injector.checks, injector=injector).check()
    assert injector.checks.violations == []
    assert injector.checks.counts["missed duties of roll-outs"] == 1


def test_order_is_written_again_after_a_return_of_the_store() -> None:
    async def return_from_copy(injector: RolloutInjector) -> None:
        store = injector.store
        before = evolve(store.copy(), rows_by_key={}, version=0)
        store.return_from(before)
        assert not ordered(injector)
        returns = ReturnInjector(
            store=store,
            upstreams=injector.upstreams,
            checks=injector.checks,
            vms=VMS,
            seed=1,
        )
        await returns._restore_operator_rows(0.01)
        assert ordered(injector)

    play(return_from_copy, 28_940)


async def answered(injector: RolloutInjector, number: int) -> int | None:
    """Send a request to an upstream, and return the status of the answer."""
    connection = ClientConnection(endpoint=injector.upstreams.current[number].endpoint)
    if (await connection.start(timeout_s=1.0)).is_err():
        return None
    headers = [(b"host", b"desk"), (upstreams.ID, b"%d" % number)]
    await connection.send_request(method="GET", target="/m0/x", headers=headers)
    await connection.end_request()
    head = await connection.read_head()
    await connection.close()
    return None if head.is_err() else int(head.unwrap().status_code)


@pytest.mark.parametrize(
    ("software", "status"),
    [(FAILING, 500), (evolve(FAILING, slow_factor=2.0), 200), (BASELINE, 200)],
)
def test_flawed_answers_fail_or_are_slow(
    software: SoftwareVersion, status: int
) -> None:
    injector = build_rollout_injector(28_950)

    async def run() -> int | None:
        await injector.upstreams.add("desk", "zone-a", software)
        result = await answered(injector, 0)
        await injector.upstreams.close()
        return result

    assert curio.run(run) == status
    (run_,) = injector.upstreams.runs_by_id["0"]
    assert run_.is_flawed is software.is_bad
    assert run_.arrived_at < run_.ended_at < inf


def judge(*, at: float, software: SoftwareVersion, is_disturbed: bool) -> set[str]:
    """Judge 80 requests of one VM at a version, one of them long, to be left at 20."""
    injector = build_rollout_injector(28_960)
    checks = injector.checks
    used = Upstream(
        name="i-9",
        service="desk",
        zone="zone-a",
        endpoint=injector.upstreams.layout.upstream(9),
        software=software,
    )
    if is_disturbed:
        checks.disturbances.begin([VMS[0]], 0.0, is_of_store=True).end = 30.0
    for number in range(80):
        sent_at = at + 0.01 * number
        request = ObservedRequest(
            request=str(number),
            vm=VMS[0],
            prefix="/m0/",
            incarnation=1,
            sent_at=sent_at,
            ended_at=sent_at + 0.005 if number else 20.5,
            status=200,
        )
        run = Run(at=used, arrived_at=sent_at, ended_at=30.0, is_flawed=software.is_bad)
        checks.record_request(request, [run])
    order = RolloutOrder(
        service="desk", target="v2", ordered_at=10.0, deadline=22.0, is_bad=True
    )
    injector.orders.append(order)
    change = rollout_injector.StateChange(
        service="desk", target="v2", state=PublishedState.COMPLETE, at=20.0
    )
    injector.state_changes.append(change)
    RolloutChecks(checks=checks, injector=injector).check()
    return {each.check.removeprefix("roll-out: ") for each in checks.violations}


@pytest.mark.parametrize(
    ("at", "software", "found"),
    [
        (8.0, FAILING, "version used before an order named it"),
        (12.0, FAILING, "bad version got too much"),
        (12.0, BASELINE, "old version still ran requests at completion"),
        (21.0, BASELINE, "old version used after completion"),
    ],
)
def test_checks_detect_violations_of_vms_in_touch(
    at: float, software: SoftwareVersion, found: str
) -> None:
    assert judge(at=at, software=software, is_disturbed=False) == {found}
    disturbed = judge(at=at, software=software, is_disturbed=True)
    assert disturbed == ({found} if at < 10 else set())
