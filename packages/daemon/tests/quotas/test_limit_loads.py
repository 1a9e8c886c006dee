"""Limits that upstreams name over a whole fleet: cuts, restarts, lost messages.

The bound is that of the promise: from VMs that know of it, an upstream gets in any four
seconds at most 1.5 times what its limit allows, and five requests more.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from plankspindle_daemon.quotas.limit_holder import UNUSED_POOL_TTL_S
from plankspindle_testkit.lab.statement_record import WINDOW_S
from plankspindle_testkit.lab.statement_record import most_allowed
from plankspindle_testkit.quota_fleet import QuotaFleet

if TYPE_CHECKING:
    from collections.abc import Callable

LIFE = "u#1"
OTHER = "v#7"
SIZES = (9, 67, 195, 300)
SETTLE_S = 3.0
HOT_PER_S = 60.0


def build_fleet(size: int, seed: int = 1) -> QuotaFleet:
    fleet = QuotaFleet(random=Random(seed), workspaces_by_name={})
    fleet.add_vms(size)
    fleet.run(SETTLE_S)
    return fleet


def load(
    fleet: QuotaFleet, per_s: float = HOT_PER_S, *lives: str, seed: int = 7
) -> Callable[[float], None]:
    """Send requests to upstreams from random VMs, ten times a second."""
    random, names = Random(seed), list(fleet.vms_by_name)

    def send(now: float) -> None:
        del now
        for life in lives or (LIFE,):
            for _ in range(round(per_s / 10)):
                fleet.send_to_upstream(random.choice(names), life)

    return send


def name_limit(fleet: QuotaFleet, limit_per_s: float, life: str = LIFE) -> None:
    """Name a limit, and let all VMs hear of it."""
    fleet.limit_by_life[life] = limit_per_s
    fleet.run(0.5, load(fleet, HOT_PER_S, life))
    fleet.arrived_at_by_life.pop(life, None)


def assert_bound(fleet: QuotaFleet, life: str = LIFE, since: float = 0.0) -> None:
    allowed = most_allowed(fleet.limit_by_life[life])
    assert fleet.most_arrived(life, WINDOW_S, since) <= allowed


def used(fleet: QuotaFleet, life: str, seconds: float) -> float:
    """Give the part of a limit that was used in the last seconds."""
    arrived = fleet.arrived_at_by_life.get(life, [])
    recent = [at for at in arrived if at > fleet.now - seconds]
    return len(recent) / seconds / fleet.limit_by_life[life]


@pytest.mark.parametrize(
    ("size", "limit_per_s"),
    [(9, 0.5), (9, 4.6), (9, 30.0), (67, 0.5), (67, 30.0), (195, 4.6), (300, 4.6)],
)
def test_a_hot_upstream_gets_its_limit_and_no_more(
    size: int, limit_per_s: float
) -> None:
    fleet = build_fleet(size)
    name_limit(fleet, limit_per_s)
    fleet.run(14.0, load(fleet))
    assert_bound(fleet)
    assert used(fleet, LIFE, 8.0) > 0.5


@pytest.mark.parametrize("size", [9, 67, 300])
def test_a_fleet_in_two_halves_keeps_the_sum(size: int) -> None:
    fleet = build_fleet(size)
    name_limit(fleet, 6.0)
    half = {name for index, name in enumerate(fleet.vms_by_name) if index % 2}
    fleet.cut(lambda one, other: (one in half) == (other in half))
    fleet.run(10.0, load(fleet))
    fleet.heal()
    fleet.run(8.0, load(fleet))
    assert_bound(fleet)


@pytest.mark.parametrize("size", SIZES)
def test_regions_that_are_cut_off_serve_their_part(size: int) -> None:
    fleet = build_fleet(size)
    name_limit(fleet, 6.0)
    region = {vm.name: vm.region for vm in fleet.vms_by_name.values()}
    fleet.cut(lambda one, other: region[one] == region[other])
    fleet.run(14.0, load(fleet))
    assert_bound(fleet)
    assert used(fleet, LIFE, 8.0) > 0.5


@pytest.mark.parametrize("size", [9, 67])
def test_a_third_of_the_vms_is_cut_from_all(size: int) -> None:
    fleet = build_fleet(size)
    name_limit(fleet, 6.0)
    alone = {name for index, name in enumerate(fleet.vms_by_name) if index % 3 == 0}
    fleet.cut(lambda one, other: one not in alone and other not in alone)
    fleet.run(10.0, load(fleet))
    fleet.heal()
    fleet.run(6.0, load(fleet))
    assert_bound(fleet)


@pytest.mark.parametrize("size", [9, 67])
def test_all_vms_restarted_hear_of_the_limit_again(size: int) -> None:
    fleet = build_fleet(size)
    name_limit(fleet, 4.6)
    for name in list(fleet.vms_by_name):
        fleet.restart(name)
    fleet.run(0.5, load(fleet))
    since = fleet.now
    fleet.run(10.0, load(fleet))
    assert_bound(fleet, since=since)


def test_frozen_vms_use_nothing_that_they_held() -> None:
    fleet = build_fleet(9)
    name_limit(fleet, 6.0)
    frozen = list(fleet.vms_by_name.values())[:5]
    for for_s in (3.0, 0.4, 6.0):
        for vm in frozen:
            vm.is_running = False
        fleet.run(for_s, load(fleet))
        for vm in frozen:
            vm.is_running = True
        fleet.run(3.0, load(fleet))
    assert_bound(fleet)


@pytest.mark.parametrize("seed", range(3))
def test_a_third_of_the_messages_lost_and_others_late(seed: int) -> None:
    fleet = build_fleet(67, seed)
    name_limit(fleet, 4.6)
    fleet.loss, fleet.delay_s = 0.3, 0.5
    fleet.run(15.0, load(fleet))
    assert_bound(fleet)


@pytest.mark.parametrize("mistakes", [0.2, 0.5, 0.9])
def test_vms_that_are_wrong_about_who_is_there(mistakes: float) -> None:
    fleet = build_fleet(67)
    name_limit(fleet, 4.6)
    fleet.mistakes = mistakes
    fleet.run(15.0, load(fleet))
    assert_bound(fleet)


def test_a_lowered_limit_holds_within_a_window() -> None:
    fleet = build_fleet(67)
    name_limit(fleet, 40.0)
    fleet.run(6.0, load(fleet))
    fleet.limit_by_life[LIFE] = 4.0
    fleet.run(1.0, load(fleet))
    since = fleet.now
    fleet.run(12.0, load(fleet))
    assert_bound(fleet, since=since)


@pytest.mark.parametrize("size", [9, 300])
def test_a_limit_that_is_lifted_binds_nobody_any_more(size: int) -> None:
    fleet = build_fleet(size)
    name_limit(fleet, 4.6)
    fleet.run(4.0, load(fleet))
    del fleet.limit_by_life[LIFE]
    fleet.run(3.0, load(fleet))
    for vm in fleet.vms_by_name.values():
        assert not vm.quotas.limits.limiter_by_incarnation


def test_a_limit_that_nobody_wants_tokens_of_costs_no_messages() -> None:
    fleet = build_fleet(9)
    name_limit(fleet, 4.6)
    fleet.run(5.0, load(fleet))
    fleet.run(UNUSED_POOL_TTL_S + 10.0)
    sent = fleet.sent_by_kind.total()
    fleet.run(10.0)
    assert fleet.sent_by_kind.total() == sent
    fleet.run(6.0, load(fleet))
    assert_bound(fleet)
    assert used(fleet, LIFE, 4.0) > 0.5


def test_several_limits_are_kept_each() -> None:
    fleet = build_fleet(67)
    name_limit(fleet, 4.6)
    name_limit(fleet, 12.0, OTHER)
    fleet.run(12.0, load(fleet, HOT_PER_S, LIFE, OTHER))
    for life in (LIFE, OTHER):
        assert_bound(fleet, life)
        assert used(fleet, life, 8.0) > 0.5


def test_an_upstream_that_takes_nothing_is_asked_now_and_then() -> None:
    fleet = build_fleet(9)
    name_limit(fleet, 0.0)
    fleet.run(40.0, load(fleet))
    assert fleet.most_arrived(LIFE, WINDOW_S) <= most_allowed(0.0)
    del fleet.limit_by_life[LIFE]
    fleet.run(40.0, load(fleet))
    gates = [
        vm.quotas.limits.limiter_by_incarnation for vm in fleet.vms_by_name.values()
    ]
    assert not any(gates)
