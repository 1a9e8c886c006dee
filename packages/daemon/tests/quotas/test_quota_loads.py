"""Quotas over a whole fleet under overload, partitions, restarts and lost messages.

The guarantee under test: the requests admitted in any window stay within the quota plus
a small slack, whichever VMs can reach each other.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from plankspindle_testkit.builders import build_workspace
from plankspindle_testkit.quota_fleet import QuotaFleet

if TYPE_CHECKING:
    from plankspindle_core.configuration.workspace import Workspace

WINDOW_S = 5.0
OVERAGE = 1.1
SLACK = 20
SETTLE_S = 8.0
"""Time in which a starting fleet leases its shares and fills its pools, in seconds."""
SIZES = (9, 67, 195, 300)


def max_admitted(rate_per_s: float, burst: float) -> float:
    return (rate_per_s * WINDOW_S + burst) * OVERAGE + SLACK


def limited(rate_per_s: float, burst: float | None = None) -> Workspace:
    return build_workspace(rate_per_s=rate_per_s, burst=burst or rate_per_s)


def build_fleet(size: int, seed: int = 1, **rates: float) -> QuotaFleet:
    fleet = QuotaFleet(
        random=Random(seed),
        workspaces_by_name={name: limited(rate) for name, rate in rates.items()},
    )
    fleet.add_vms(size)
    fleet.run(SETTLE_S)
    return fleet


class Load:
    """Requests of workspaces at given rates, at random VMs, ten times a second."""

    def __init__(self, fleet: QuotaFleet, **per_s: float) -> None:
        self.fleet = fleet
        self.per_s = per_s
        self.random = Random(7)
        self.sent = dict.fromkeys(per_s, 0)

    def __call__(self, now: float) -> None:
        names = list(self.fleet.vms_by_name)
        for workspace, per_s in self.per_s.items():
            wanted = per_s / 10
            number = int(wanted) + (self.random.random() < wanted % 1)
            self.sent[workspace] += number
            for _ in range(number):
                self.fleet.receive_request(self.random.choice(names), workspace)


def count_refused(fleet: QuotaFleet, workspace: str) -> int:
    return len(fleet.refused_at_by_workspace.get(workspace, []))


def assert_within_quota(fleet: QuotaFleet) -> None:
    for name, quota in fleet.workspaces_by_name.items():
        most = fleet.max_admitted(name, WINDOW_S)
        assert most <= max_admitted(quota.rate_per_s, quota.burst), name


@pytest.mark.parametrize("size", SIZES)
def test_workspaces_below_quota_are_rarely_refused(size: int) -> None:
    fleet = build_fleet(size, small=5.0, large=160.0)
    load = Load(fleet, small=3.0, large=100.0)
    fleet.run(20.0, load)
    sent = sum(load.sent.values())
    assert count_refused(fleet, "small") + count_refused(fleet, "large") <= sent / 1000
    assert_within_quota(fleet)


@pytest.mark.parametrize("size", SIZES)
def test_quota_is_kept_when_all_vms_get_requests_at_once(size: int) -> None:
    fleet = build_fleet(size, small=2.0)
    for name in fleet.vms_by_name:
        fleet.receive_request(name, "small")
    fleet.run(1.0)
    for name in fleet.vms_by_name:
        fleet.receive_request(name, "small")
    fleet.run(6.0)
    assert fleet.admitted_at_by_workspace["small"]
    assert_within_quota(fleet)


@pytest.mark.parametrize("size", SIZES)
def test_overloaded_workspaces_get_their_quota_and_no_more(size: int) -> None:
    fleet = build_fleet(size, small=5.0, large=160.0)
    fleet.run(12.0, Load(fleet, small=40.0, large=1280.0))
    assert_within_quota(fleet)
    for name, quota in fleet.workspaces_by_name.items():
        admitted = len(fleet.admitted_at_by_workspace[name])
        assert admitted >= 0.9 * quota.rate_per_s * 12.0, name
    assert all(each.is_over_quota for each in fleet.refusals)


@pytest.mark.parametrize("size", [9, 67])
def test_quota_is_kept_when_fleet_is_partitioned_in_halves(size: int) -> None:
    fleet = build_fleet(size, small=5.0, large=160.0)
    half = {name for index, name in enumerate(fleet.vms_by_name) if index % 2}
    load = Load(fleet, small=40.0, large=1280.0)
    fleet.run(3.0, load)
    fleet.partition(lambda one, other: (one in half) == (other in half))
    fleet.run(8.0, load)
    fleet.heal()
    fleet.run(8.0, load)
    assert_within_quota(fleet)


@pytest.mark.parametrize("size", [9, 67])
def test_quota_is_kept_when_single_vms_are_isolated(size: int) -> None:
    fleet = build_fleet(size, small=5.0, large=160.0)
    load = Load(fleet, small=40.0, large=1280.0)
    isolated = {name for index, name in enumerate(fleet.vms_by_name) if index % 3 == 0}
    fleet.partition(lambda one, other: one not in isolated and other not in isolated)
    fleet.run(10.0, load)
    fleet.heal()
    fleet.run(6.0, load)
    assert_within_quota(fleet)
    assert len(fleet.admitted_at_by_workspace["large"]) >= 0.5 * 160.0 * 16.0


@pytest.mark.parametrize("size", [9, 67])
def test_quota_is_kept_when_all_vms_restart_after_burst(size: int) -> None:
    fleet = build_fleet(size, small=5.0, large=160.0)
    load = Load(fleet, small=40.0, large=1280.0)
    fleet.run(1.0, load)
    for name in list(fleet.vms_by_name):
        fleet.restart(name)
    fleet.run(6.0, load)
    assert_within_quota(fleet)
    admitted_late = [
        at for at in fleet.admitted_at_by_workspace["large"] if at > fleet.now - 2
    ]
    assert len(admitted_late) >= 0.9 * 160.0 * 2.0


def test_quota_is_kept_during_rolling_restart() -> None:
    fleet = build_fleet(67, small=5.0, large=160.0)
    load = Load(fleet, small=40.0, large=1280.0)
    for name in list(fleet.vms_by_name)[:30]:
        fleet.restart(name)
        fleet.run(0.3, load)
    assert_within_quota(fleet)


def test_quota_is_kept_when_vms_are_added() -> None:
    fleet = build_fleet(67, small=5.0, large=160.0)
    load = Load(fleet, small=40.0, large=1280.0)
    fleet.run(2.0, load)
    fleet.add_vms(12)
    fleet.run(8.0, load)
    assert_within_quota(fleet)


@pytest.mark.parametrize("seed", range(3))
def test_quota_is_kept_when_messages_are_lost_and_delayed(seed: int) -> None:
    fleet = build_fleet(67, seed, small=5.0, large=160.0)
    fleet.loss_share, fleet.max_extra_delay_s = 0.3, 1.0
    fleet.run(15.0, Load(fleet, small=40.0, large=1280.0))
    assert_within_quota(fleet)


@pytest.mark.parametrize("mistakes", [0.2, 0.5, 0.9])
def test_quota_is_kept_when_views_of_membership_are_wrong(mistakes: float) -> None:
    fleet = build_fleet(67, small=5.0, large=160.0)
    fleet.false_suspicion_share = mistakes
    fleet.run(15.0, Load(fleet, small=40.0, large=1280.0))
    assert_within_quota(fleet)


def test_message_loss_refuses_few_requests_below_quota() -> None:
    fleet = build_fleet(67, small=5.0, large=160.0)
    fleet.loss_share = 0.025
    load = Load(fleet, small=3.0, large=100.0)
    fleet.run(20.0, load)
    sent = sum(load.sent.values())
    assert count_refused(fleet, "small") + count_refused(fleet, "large") <= sent / 200


def test_quota_is_kept_when_vms_resume_after_pause() -> None:
    fleet = build_fleet(9, large=160.0)
    load = Load(fleet, large=1280.0)
    fleet.run(2.0, load)
    paused = list(fleet.vms_by_name.values())[:5]
    for vm in paused:
        vm.is_running = False
    fleet.run(5.0, load)
    for vm in paused:
        vm.is_running = True
    fleet.run(6.0, load)
    assert_within_quota(fleet)


@pytest.mark.parametrize("cut", [False, True])
def test_lowered_quota_is_kept_after_one_window(cut: bool) -> None:
    fleet = build_fleet(67, large=160.0)
    load = Load(fleet, large=1280.0)
    fleet.run(3.0, load)
    if cut:
        fleet.partition(lambda one, other: int(one[3:]) % 2 == int(other[3:]) % 2)
    fleet.apply_workspaces({"large": limited(16.0)})
    lowered_at = fleet.now
    fleet.run(14.0, load)
    fleet.admitted_at_by_workspace["large"] = [
        at
        for at in fleet.admitted_at_by_workspace["large"]
        if at > lowered_at + WINDOW_S
    ]
    assert_within_quota(fleet)


def test_raised_or_removed_quota_refuses_nothing() -> None:
    fleet = build_fleet(9, large=16.0)
    load = Load(fleet, large=100.0)
    fleet.run(3.0, load)
    fleet.apply_workspaces({"large": limited(160.0)})
    fleet.run(4.0)
    before = count_refused(fleet, "large")
    fleet.run(4.0, load)
    assert count_refused(fleet, "large") == before
    fleet.apply_workspaces({"large": build_workspace()})
    fleet.run(4.0, Load(fleet, large=1000.0))
    assert count_refused(fleet, "large") == before


def test_refusal_has_bounded_retry_after() -> None:
    fleet = build_fleet(9, small=5.0)
    for _ in range(40):
        fleet.receive_request("vm-0", "small")
    fleet.run(1.0)
    waits = [each.retry_after_s for each in fleet.refusals]
    assert waits
    assert all(0.0 < each <= 5.0 for each in waits)
