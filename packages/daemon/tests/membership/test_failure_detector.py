"""Tests of the watchers of entry VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from plankspindle_daemon.membership import messages as m
from plankspindle_daemon.membership.failure_detector import WATCHERS_PER_VM
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.peer_messages.suspicion import Suspect
from plankspindle_daemon.peer_messages.suspicion import Suspicion
from plankspindle_testkit.fleet_node import WALL
from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.fleet_node import build_empty_node
from plankspindle_testkit.fleet_node import build_fleet_node

if TYPE_CHECKING:
    from plankspindle_daemon.node.node import Node

FLEET = Fleet(vms=60, upstreams=0)
NOW = 10.0


def build_node() -> Node:
    """Build a node that has told all members that it is ready."""
    node = build_fleet_node(FLEET, now=NOW - 2.0)
    node.tick(now=NOW - 2.0, wall=WALL)
    node.tick(now=NOW - 1.0, wall=WALL)
    return node


def suspicion_of(node: Node, name: str, sender: str) -> m.SuspicionReceived:
    if name == node.vm:
        suspect = Suspect(name=name, incarnation=node.incarnation, sequence=1)
    else:
        member = node.membership.members_by_name[name]
        suspect = Suspect(
            name=name, incarnation=member.incarnation, sequence=member.sequence
        )
    return m.SuspicionReceived(Suspicion(sender=sender, suspects=(suspect,)))


def test_the_watchers_stand_in_other_failure_domains() -> None:
    node = build_node()
    watchers = node.membership.detector.watchers()
    domains = {
        node.membership.members_by_name[name].failure_domain for name in watchers
    }
    assert len(watchers) == len(domains) == WATCHERS_PER_VM
    assert node.failure_domain not in domains


def test_watchers_are_greeted_each_second() -> None:
    node = build_node()
    effects = node.tick(now=NOW + 1.0, wall=WALL)
    greeted = [each.to for each in effects if isinstance(each, m.SendHeartbeat)]
    assert len(greeted) == WATCHERS_PER_VM
    assert all(map(node.membership.is_watched_by, greeted))


def test_a_small_fleet_needs_no_watchers() -> None:
    node = build_fleet_node(Fleet(vms=12, upstreams=0), now=NOW)
    node.tick(now=NOW, wall=WALL)
    assert node.membership.detector.watchers() == ()


def test_a_silent_member_is_told_to_all() -> None:
    node = build_node()
    watched = FLEET.heartbeat(1, sequence=2, is_watched=True)
    node.handle_membership(m.HeartbeatReceived(watched), now=NOW, wall=WALL)
    effects = node.tick(now=NOW + 3.1, wall=WALL)
    told = [each for each in effects if isinstance(each, SendToPeer)]
    suspicions = [each.message for each in told if isinstance(each.message, Suspicion)]
    assert len(suspicions) == FLEET.vms - 1
    assert [each.name for each in suspicions[0].suspects] == [watched.sender]


def test_one_watcher_alone_calls_nobody_down() -> None:
    node = build_node()
    member = node.membership.members_by_name["vm-0001"]
    for sender, silent in (("vm-0002", False), ("vm-0002", False), ("vm-0003", True)):
        event = suspicion_of(node, "vm-0001", sender)
        node.handle_membership(event, now=NOW + 1.0, wall=WALL)
        assert node.membership.is_silent(member, NOW + 1.0) is silent


def test_a_newer_heartbeat_refutes() -> None:
    node = build_node()
    member = node.membership.members_by_name["vm-0001"]
    for sender in ("vm-0002", "vm-0003"):
        event = suspicion_of(node, "vm-0001", sender)
        node.handle_membership(event, now=NOW + 1.0, wall=WALL)
    newer = m.HeartbeatReceived(FLEET.heartbeat(1, sequence=2))
    node.handle_membership(newer, now=NOW + 1.1, wall=WALL)
    assert not node.membership.is_silent(member, NOW + 1.1)


def test_a_suspicion_of_what_is_refuted_already_is_no_news() -> None:
    node = build_node()
    events = [
        suspicion_of(node, "vm-0001", sender) for sender in ("vm-0002", "vm-0003")
    ]
    newer = m.HeartbeatReceived(FLEET.heartbeat(1, sequence=2))
    node.handle_membership(newer, now=NOW + 1.0, wall=WALL)
    for event in events:
        node.handle_membership(event, now=NOW + 1.1, wall=WALL)
    member = node.membership.members_by_name["vm-0001"]
    assert not member.suspected_by


def test_whoever_is_suspected_greets_all() -> None:
    node = build_node()
    node.handle_membership(
        suspicion_of(node, node.vm, "vm-0002"), now=NOW + 2.0, wall=WALL
    )
    effects = node.tick(now=NOW + 2.05, wall=WALL)
    greeted = {each.to for each in effects if isinstance(each, m.SendHeartbeat)}
    assert len(greeted) == FLEET.vms - 1


def test_a_vm_that_begins_to_leave_greets_all() -> None:
    node = build_node()
    node.tick(now=NOW + 1.0, wall=WALL)
    node.leave.begin(NOW + 3.0)
    effects = [
        *node.tick(now=NOW + 3.05, wall=WALL),
        *node.tick(now=NOW + 3.1, wall=WALL),
    ]
    greeted = {each.to for each in effects if isinstance(each, m.SendHeartbeat)}
    assert len(greeted) == FLEET.vms - 1


def test_a_process_that_starts_greets_a_large_fleet_once() -> None:
    """All VMs of a large fleet start at once: each greeting of all is 194 messages."""
    node = build_empty_node(FLEET)
    node.membership.options = evolve(
        node.membership.options, seeds=(FLEET.listed_vm(1).peer_endpoint,)
    )
    listed = m.LiveListRead(tuple(FLEET.listed()))
    sent = 0
    for step in range(60):
        now = NOW + step / 20
        if step == 6:
            node.handle_membership(listed, now=now, wall=WALL)
        if step == 14:
            node.adopt(FLEET.configuration(), version=1, now=now)
        effects = node.tick(now=now, wall=WALL)
        sent += sum(isinstance(each, m.SendHeartbeat) for each in effects)
    watched = 3 * WATCHERS_PER_VM
    assert FLEET.vms - 1 <= sent <= FLEET.vms - 1 + watched
