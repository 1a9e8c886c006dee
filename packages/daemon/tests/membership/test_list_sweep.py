"""Tests of the removal of dead entry VMs from the list."""

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


def build_known(vm: str, heard_by_name: dict[str, float | None]) -> Membership:
    membership = build_membership(vm)
    for name, heard in heard_by_name.items():
        membership.members_by_name[name] = build_member(name, last_heard=heard)
        membership.listed_by_name[name] = ListedVm(
            name=name, kind=VmKind.ENTRY, failure_domain="ba-1"
        )
    return membership


def test_the_first_that_is_heard_removes_the_dead() -> None:
    dead = NOW - DEAD_AFTER_S - 1
    first = build_known("b", {"a": dead, "c": NOW})
    second = build_known("c", {"a": dead, "b": NOW})
    assert DeadVmSelector().select(first, NOW) == "a"
    assert DeadVmSelector().select(second, NOW) is None


def test_a_vm_that_was_silent_for_a_short_time_stays() -> None:
    membership = build_known("a", {"b": NOW - DEAD_AFTER_S + 1, "c": NOW})
    assert DeadVmSelector().select(membership, NOW) is None


def test_a_vm_that_hears_nobody_removes_nobody() -> None:
    dead = NOW - DEAD_AFTER_S - 1
    assert DeadVmSelector().select(build_known("a", {"b": dead}), NOW) is None
    assert DeadVmSelector().select(build_known("a", {"b": None}), NOW) is None


def test_one_that_was_never_heard_is_dead_after_a_while() -> None:
    membership = build_known("a", {"b": None, "c": NOW})
    assert DeadVmSelector().select(membership, NOW) == "b"


def test_removals_are_rare() -> None:
    membership = build_known("a", {"b": 0.0, "c": NOW})
    sweep = DeadVmSelector()
    chosen = [sweep.select(membership, NOW + 0.1 * step) for step in range(100)]
    assert chosen.count("b") == 1
    membership.members_by_name["c"].last_heartbeat_at = NOW + REMOVAL_INTERVAL_S
    assert sweep.select(membership, NOW + REMOVAL_INTERVAL_S) == "b"


def test_a_lost_round_of_a_large_fleet_removes_nobody() -> None:
    """At 195 VMs rounds come each 20 s: with one lost, a live VM is silent for 39 s."""
    heard_by_name = {f"b{number:03}": NOW - 1.0 for number in range(194)}
    membership = build_known("a", {**heard_by_name, "b007": NOW - 39.0})
    assert DeadVmSelector().select(membership, NOW) is None
    membership.members_by_name["b007"].suspected_by |= {"b001", "b002"}
    assert DeadVmSelector().select(membership, NOW + REMOVAL_INTERVAL_S) == "b007"
