"""Tests of the selection of failed entry VMs for removal from the list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.membership.dead_vm_selector import DEAD_AFTER_S
from plankspindle_daemon.membership.dead_vm_selector import REMOVAL_INTERVAL_S
from plankspindle_daemon.membership.dead_vm_selector import DeadVmSelector
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_testkit.builders import build_member
from plankspindle_testkit.builders import build_membership

if TYPE_CHECKING:
    from plankspindle_daemon.membership.membership import Membership

NOW = 1_000.0


def build_listed_membership(
    vm: str, last_heartbeat_by_name: dict[str, float | None]
) -> Membership:
    membership = build_membership(vm)
    for name, last_heartbeat_at in last_heartbeat_by_name.items():
        membership.members_by_name[name] = build_member(
            name, last_heartbeat_at=last_heartbeat_at
        )
        membership.listed_by_name[name] = ListedVm(
            name=name, kind=VmKind.ENTRY, failure_domain="ba-1"
        )
    return membership


def test_live_vm_with_first_name_removes_failed_vm() -> None:
    dead = NOW - DEAD_AFTER_S - 1
    first = build_listed_membership("b", {"a": dead, "c": NOW})
    second = build_listed_membership("c", {"a": dead, "b": NOW})
    assert DeadVmSelector().select(first, NOW) == "a"
    assert DeadVmSelector().select(second, NOW) is None


def test_vm_that_is_silent_for_a_short_time_is_kept() -> None:
    membership = build_listed_membership("a", {"b": NOW - DEAD_AFTER_S + 1, "c": NOW})
    assert DeadVmSelector().select(membership, NOW) is None


def test_vm_without_live_members_removes_none() -> None:
    dead = NOW - DEAD_AFTER_S - 1
    assert (
        DeadVmSelector().select(build_listed_membership("a", {"b": dead}), NOW) is None
    )
    assert (
        DeadVmSelector().select(build_listed_membership("a", {"b": None}), NOW) is None
    )


def test_listed_vm_without_any_heartbeat_is_removed_eventually() -> None:
    membership = build_listed_membership("a", {"b": None, "c": NOW})
    assert DeadVmSelector().select(membership, NOW) == "b"


def test_interval_between_removals_is_kept() -> None:
    membership = build_listed_membership("a", {"b": 0.0, "c": NOW})
    selector = DeadVmSelector()
    chosen = [selector.select(membership, NOW + 0.1 * step) for step in range(100)]
    assert chosen.count("b") == 1
    membership.members_by_name["c"].last_heartbeat_at = NOW + REMOVAL_INTERVAL_S
    assert selector.select(membership, NOW + REMOVAL_INTERVAL_S) == "b"


def test_one_lost_heartbeat_round_in_large_fleet_removes_none() -> None:
    """With 195 VMs rounds are 20 s apart; one lost round makes 39 s of silence."""
    last_heartbeat_by_name = {f"b{number:03}": NOW - 1.0 for number in range(194)}
    membership = build_listed_membership(
        "a", {**last_heartbeat_by_name, "b007": NOW - 39.0}
    )
    assert DeadVmSelector().select(membership, NOW) is None
    membership.members_by_name["b007"].suspected_by |= {"b001", "b002"}
    assert DeadVmSelector().select(membership, NOW + REMOVAL_INTERVAL_S) == "b007"
