"""Limits of upstreams over a whole fleet, with partitions, restarts and lost messages.

The guarantee under test: from VMs that know of the limit, an upstream gets in any four
seconds at most 1.5 times what its limit allows, plus five requests.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from plankspindle_daemon.quotas.limit_holder import UNUSED_POOL_TTL_S
from plankspindle_testkit.lab.statement_record import WINDOW_S
from plankspindle_testkit.lab.statement_record import max_allowed_requests
from plankspindle_testkit.quota_fleet import QuotaFleet

if TYPE_CHECKING:
    from collections.abc import Callable

INCARNATION = "u#1"
OTHER_INCARNATION = "v#7"
SIZES = (9, 67, 195, 300)
SETTLE_S = 3.0
HOT_PER_S = 60.0


def build_fleet(size: int, seed: int = 1) -> QuotaFleet:
    fleet = QuotaFleet(random=Random(seed), workspaces_by_name={})
    fleet.add_vms(size)
    fleet.run(SETTLE_S)
    return fleet


def load(
    fleet: QuotaFleet, per_s: float = HOT_PER_S, *incarnations: str, seed: int = 7
) -> Callable[[float], None]:
    """Send requests to upstreams from random VMs, ten times a second."""
    random, names = Random(seed), list(fleet.vms_by_name)

    def send(now: float) -> None:
        del now
        for incarnation in incarnations or (INCARNATION,):
            for _ in range(round(per_s / 10)):
                fleet.send_to_upstream(random.choice(names), incarnation)

    return send


def announce_limit(
    fleet: QuotaFleet, limit_per_s: float, incarnation: str = INCARNATION
) -> None:
    """Announce a limit, and let all VMs receive it."""
    fleet.limit_by_incarnation[incarnation] = limit_per_s
    fleet.run(0.5, load(fleet, HOT_PER_S, incarnation))
    fleet.arrived_at_by_incarnation.pop(incarnation, None)


def assert_within_limit(
    fleet: QuotaFleet, incarnation: str = INCARNATION, since: float = 0.0
) -> None:
    allowed = max_allowed_requests(fleet.limit_by_incarnation[incarnation])
    assert fleet.max_arrived(incarnation, WINDOW_S, since) <= allowed


def used_share(fleet: QuotaFleet, incarnation: str, seconds: float) -> float:
    """Return the share of a limit that was used in the last seconds."""
    arrived = fleet.arrived_at_by_incarnation.get(incarnation, [])
    recent = [at for at in arrived if at > fleet.now - seconds]
    return len(recent) / seconds / fleet.limit_by_incarnation[incarnation]


@pytest.mark.parametrize(
    ("size", "limit_per_s"),
    [(9, 0.5), (9, 4.6), (9, 30.0), (67, 0.5), (67, 30.0), (195, 4.6), (300, 4.6)],
)
def test_overloaded_upstream_gets_its_limit_and_no_more(
    size: int, limit_per_s: float
) -> None:
    fleet = build_fleet(size)
    announce_limit(fleet, limit_per_s)
    fleet.run(14.0, load(fleet))
    assert_within_limit(fleet)
    assert used_share(fleet, INCARNATION, 8.0) > 0.5


@pytest.mark.parametrize("size", [9, 67, 300])
def test_limit_is_kept_when_fleet_is_partitioned_in_halves(size: int) -> None:
    fleet = build_fleet(size)
    announce_limit(fleet, 6.0)
    half = {name for index, name in enumerate(fleet.vms_by_name) if index % 2}
    fleet.partition(lambda one, other: (one in half) == (other in half))
    fleet.run(10.0, load(fleet))
    fleet.heal()
    fleet.run(8.0, load(fleet))
    assert_within_limit(fleet)


@pytest.mark.parametrize("size", SIZES)
def test_partitioned_regions_use_their_share_of_limit(size: int) -> None:
    fleet = build_fleet(size)
    announce_limit(fleet, 6.0)
    region = {vm.name: vm.region for vm in fleet.vms_by_name.values()}
    fleet.partition(lambda one, other: region[one] == region[other])
    fleet.run(14.0, load(fleet))
    assert_within_limit(fleet)
    assert used_share(fleet, INCARNATION, 8.0) > 0.5


@pytest.mark.parametrize("size", [9, 67])
def test_limit_is_kept_when_third_of_vms_is_isolated(size: int) -> None:
    fleet = build_fleet(size)
    announce_limit(fleet, 6.0)
    isolated = {name for index, name in enumerate(fleet.vms_by_name) if index % 3 == 0}
    fleet.partition(lambda one, other: one not in isolated and other not in isolated)
    fleet.run(10.0, load(fleet))
    fleet.heal()
    fleet.run(6.0, load(fleet))
    assert_within_limit(fleet)


@pytest.mark.parametrize("size", [9, 67])
def test_limit_is_kept_after_all_vms_restart(size: int) -> None:
    fleet = build_fleet(size)
    announce_limit(fleet, 4.6)
    for name in list(fleet.vms_by_name):
        fleet.restart(name)
    fleet.run(0.5, load(fleet))
    since = fleet.now
    fleet.run(10.0, load(fleet))
    assert_within_limit(fleet, since=since)


def test_limit_is_kept_when_vms_resume_after_pause() -> None:
    fleet = build_fleet(9)
    announce_limit(fleet, 6.0)
    frozen = list(fleet.vms_by_name.values())[:5]
    for for_s in (3.0, 0.4, 6.0):
        for vm in frozen:
            vm.is_running = False
        fleet.run(for_s, load(fleet))
        for vm in frozen:
            vm.is_running = True
        fleet.run(3.0, load(fleet))
    assert_within_limit(fleet)


@pytest.mark.parametrize("seed", range(3))
def test_limit_is_kept_when_messages_are_lost_and_delayed(seed: int) -> None:
    fleet = build_fleet(67, seed)
    announce_limit(fleet, 4.6)
    fleet.loss_share, fleet.max_extra_delay_s = 0.3, 0.5
    fleet.run(15.0, load(fleet))
    assert_within_limit(fleet)


@pytest.mark.parametrize("mistakes", [0.2, 0.5, 0.9])
def test_limit_is_kept_when_views_of_membership_are_wrong(mistakes: float) -> None:
    fleet = build_fleet(67)
    announce_limit(fleet, 4.6)
    fleet.false_suspicion_share = mistakes
    fleet.run(15.0, load(fleet))
    assert_within_limit(fleet)


def test_lowered_limit_is_kept_after_one_second() -> None:
    fleet = build_fleet(67)
    announce_limit(fleet, 40.0)
    fleet.run(6.0, load(fleet))
    fleet.limit_by_incarnation[INCARNATION] = 4.0
    fleet.run(1.0, load(fleet))
    since = fleet.now
    fleet.run(12.0, load(fleet))
    assert_within_limit(fleet, since=since)


@pytest.mark.parametrize("size", [9, 300])
def test_lifted_limit_is_removed_at_all_vms(size: int) -> None:
    fleet = build_fleet(size)
    announce_limit(fleet, 4.6)
    fleet.run(4.0, load(fleet))
    del fleet.limit_by_incarnation[INCARNATION]
    fleet.run(3.0, load(fleet))
    for vm in fleet.vms_by_name.values():
        assert not vm.quotas.limits.limiter_by_incarnation


def test_limit_without_token_requests_costs_no_messages() -> None:
    fleet = build_fleet(9)
    announce_limit(fleet, 4.6)
    fleet.run(5.0, load(fleet))
    fleet.run(UNUSED_POOL_TTL_S + 10.0)
    sent = fleet.sent_by_kind.total()
    fleet.run(10.0)
    assert fleet.sent_by_kind.total() == sent
    fleet.run(6.0, load(fleet))
    assert_within_limit(fleet)
    assert used_share(fleet, INCARNATION, 4.0) > 0.5


def test_limits_of_several_upstreams_are_kept_separately() -> None:
    fleet = build_fleet(67)
    announce_limit(fleet, 4.6)
    announce_limit(fleet, 12.0, OTHER_INCARNATION)
    fleet.run(12.0, load(fleet, HOT_PER_S, INCARNATION, OTHER_INCARNATION))
    for incarnation in (INCARNATION, OTHER_INCARNATION):
        assert_within_limit(fleet, incarnation)
        assert used_share(fleet, incarnation, 8.0) > 0.5


def test_limit_of_zero_lets_few_requests_pass_until_lifted() -> None:
    fleet = build_fleet(9)
    announce_limit(fleet, 0.0)
    fleet.run(40.0, load(fleet))
    assert fleet.max_arrived(INCARNATION, WINDOW_S) <= max_allowed_requests(0.0)
    del fleet.limit_by_incarnation[INCARNATION]
    fleet.run(40.0, load(fleet))
    gates = [
        vm.quotas.limits.limiter_by_incarnation for vm in fleet.vms_by_name.values()
    ]
    assert not any(gates)
