"""Tests of the removal of dead entry VMs from the list."""

from __future__ import annotations

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.membership.list_sweep import DEAD_AFTER_S
from plankspindle_daemon.membership.list_sweep import PERIOD_S
from plankspindle_daemon.membership.list_sweep import ListSweep
from plankspindle_daemon.membership.member import Member
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.membership.membership import MembershipOptions
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind

NOW = 1_000.0


def build_membership(vm: str, heard_by_name: dict[str, float | None]) -> Membership:
    membership = Membership(
        options=MembershipOptions(
            vm=vm,
            failure_domain="ba-1",
            incarnation=1,
            heartbeat_s=0.5,
            suspect_after_s=2.0,
        )
    )
    for name, heard in heard_by_name.items():
        membership.members_by_name[name] = Member(
            name=name,
            peer_endpoint=Endpoint("127.0.0.1", 1),
            counted_since=0.0,
            last_heard=heard,
        )
        membership.listed_by_name[name] = ListedVm(
            name=name, kind=VmKind.ENTRY, failure_domain="ba-1"
        )
    return membership


def test_the_first_that_is_heard_removes_the_dead() -> None:
    dead = NOW - DEAD_AFTER_S - 1
    first = build_membership("b", {"a": dead, "c": NOW})
    second = build_membership("c", {"a": dead, "b": NOW})
    assert ListSweep().choose(first, NOW) == "a"
    assert ListSweep().choose(second, NOW) is None


def test_a_vm_that_was_silent_for_a_short_time_stays() -> None:
    membership = build_membership("a", {"b": NOW - DEAD_AFTER_S + 1, "c": NOW})
    assert ListSweep().choose(membership, NOW) is None


def test_a_vm_that_hears_nobody_removes_nobody() -> None:
    dead = NOW - DEAD_AFTER_S - 1
    assert ListSweep().choose(build_membership("a", {"b": dead}), NOW) is None
    assert ListSweep().choose(build_membership("a", {"b": None}), NOW) is None


def test_one_that_was_never_heard_is_dead_after_a_while() -> None:
    membership = build_membership("a", {"b": None, "c": NOW})
    assert ListSweep().choose(membership, NOW) == "b"


def test_removals_are_rare() -> None:
    membership = build_membership("a", {"b": 0.0, "c": NOW})
    sweep = ListSweep()
    chosen = [sweep.choose(membership, NOW + 0.1 * step) for step in range(100)]
    assert chosen.count("b") == 1
    membership.members_by_name["c"].last_heard = NOW + PERIOD_S
    assert sweep.choose(membership, NOW + PERIOD_S) == "b"
