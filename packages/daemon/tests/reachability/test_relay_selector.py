"""Tests of the choice of the entry VM that a request is relayed to."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import evolve

from plankspindle_daemon.membership.messages import HeartbeatReceived
from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_daemon.reachability.relay_selector import DECLINED_S
from plankspindle_daemon.reachability.relay_selector import REFRESH_PERIOD_S
from plankspindle_daemon.reachability.version_floor import ADOPTION_S
from plankspindle_daemon.reachability.version_floor import VersionFloor
from plankspindle_daemon.versions.configuration_version import NO_VERSION
from plankspindle_testkit.fleet_node import WALL_TIME_S
from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.fleet_node import build_fleet_node
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from plankspindle_daemon.node.node import Node

FLEET = Fleet(vms=27, upstreams=18)
NOW = 100.0


def build_node() -> Node:
    """Build VM 0 of 27, three in each of nine failure domains of three regions."""
    return build_fleet_node(FLEET, now=NOW)


def report(node: Node, *numbers: int, **fields: object) -> None:
    for number in numbers:
        heartbeat = evolve(FLEET.heartbeat(number, sequence=2), **fields)
        node.handle_membership(HeartbeatReceived(heartbeat), now=NOW, wall=WALL_TIME_S)


def choose(
    node: Node, *excluded: str, regions: tuple[str, ...] = (), now: float = NOW
) -> str | None:
    assert node.configuration is not None
    chosen = node.relays.choose(
        configuration=node.configuration,
        allowed_regions=frozenset(regions),
        excluded=frozenset(excluded),
        now=now,
    )
    return None if chosen is None else chosen.vm


def vms_of(domain: str) -> list[int]:
    return [n for n in range(1, FLEET.vms) if FLEET.failure_domain(n) == domain]


def domain_of(vm: str | None) -> str:
    assert vm is not None
    return FLEET.failure_domain(int(vm.rpartition("-")[2]))


def test_nearest_vms_are_chosen_first() -> None:
    node = build_node()
    assert domain_of(choose(node)) == node.failure_domain
    report(node, *vms_of(node.failure_domain), is_cut_off=True)
    assert domain_of(choose(node)).startswith("bratislava")
    report(node, *vms_of("bratislava-1"), *vms_of("bratislava-2"), is_cut_off=True)
    assert not domain_of(choose(node)).startswith("bratislava")


def test_vms_that_cannot_serve_are_not_chosen() -> None:
    node = build_node()
    report(node, *range(1, FLEET.vms), is_cut_off=True)
    assert choose(node) is None
    report(node, 5, is_cut_off=False, sequence=3)
    assert choose(node) == FLEET.vm_name(5)
    report(node, 5, is_cut_off=False, sequence=4, readiness=Readiness.LEAVING)
    assert choose(node) is None


def test_silent_and_drained_vms_are_not_chosen() -> None:
    node = build_node()
    node.relays.drained_vms = {FLEET.vm_name(n) for n in range(1, FLEET.vms)}
    assert choose(node) is None
    node.relays.drained_vms = set()
    assert choose(node, now=NOW + REFRESH_PERIOD_S) is not None
    assert choose(node, now=NOW + 60.0) is None


def test_requests_with_homes_stay_in_their_regions() -> None:
    node = build_node()
    chosen = {choose(node, regions=("kosice",)) for _ in range(20)}
    assert all(domain_of(vm).startswith("kosice") for vm in chosen)
    assert choose(node, regions=("elsewhere",)) is None


def test_vm_that_declined_is_left_alone_for_a_while() -> None:
    node = build_node()
    first = choose(node)
    assert first is not None
    node.relays.record_declined(first, NOW)
    assert all(choose(node, now=NOW) != first for _ in range(20))
    later = NOW + DECLINED_S
    assert first in {choose(node, now=later) for _ in range(50)}


def test_vm_that_was_asked_is_not_asked_again() -> None:
    node = build_node()
    names = [FLEET.vm_name(n) for n in vms_of(node.failure_domain)]
    assert domain_of(choose(node, *names)) != node.failure_domain


def test_relays_are_spread_over_the_vms_of_a_failure_domain() -> None:
    node = build_node()
    counts: Counter[str] = Counter()
    for _ in range(60):
        vm = choose(node)
        assert vm is not None
        node.relays.record_started(vm)
        counts[vm] += 1
    assert len(counts) == len(vms_of(node.failure_domain))
    assert max(counts.values()) - min(counts.values()) <= 2
    for vm in counts.elements():
        node.relays.record_ended(vm)
    assert node.relays.in_flight_by_vm() == {}


def test_version_floor_follows_once_vms_had_time_to_adopt() -> None:
    floor = VersionFloor()
    assert floor.at(NOW) == NO_VERSION
    floor.record(build_version(5), NOW)
    floor.record(build_version(4), NOW + 0.01)
    assert floor.at(NOW + ADOPTION_S / 2) == NO_VERSION
    assert floor.at(NOW + ADOPTION_S) == build_version(5)
    floor.record(build_version(6), NOW + 1.0)
    assert floor.at(NOW + 1.0) == build_version(5)
    assert floor.at(NOW + 1.0 + ADOPTION_S) == build_version(6)
