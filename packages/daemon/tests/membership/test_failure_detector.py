"""Tests of failure detection by watchers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from plankspindle_daemon.membership import messages as m
from plankspindle_daemon.membership.failure_detector import WATCHERS_PER_VM
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.peer_messages.suspicion import Suspect
from plankspindle_daemon.peer_messages.suspicion import Suspicion
from plankspindle_testkit.fleet_node import WALL_TIME_S
from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.fleet_node import build_empty_node
from plankspindle_testkit.fleet_node import build_fleet_node
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from plankspindle_daemon.node.node import Node

FLEET = Fleet(vms=60, upstreams=0)
NOW = 10.0


def build_node() -> Node:
    """Build a node that has reported its readiness to all members."""
    node = build_fleet_node(FLEET, now=NOW - 2.0)
    node.tick(now=NOW - 2.0, wall=WALL_TIME_S)
    node.tick(now=NOW - 1.0, wall=WALL_TIME_S)
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


def test_watchers_are_in_distinct_other_failure_domains() -> None:
    node = build_node()
    watchers = node.membership.detector.watchers()
    domains = {
        node.membership.members_by_name[name].failure_domain for name in watchers
    }
    assert len(watchers) == len(domains) == WATCHERS_PER_VM
    assert node.failure_domain not in domains


def test_watchers_get_a_heartbeat_each_second() -> None:
    node = build_node()
    effects = node.tick(now=NOW + 1.0, wall=WALL_TIME_S)
    receivers = [each.to for each in effects if isinstance(each, m.SendHeartbeat)]
    assert len(receivers) == WATCHERS_PER_VM
    assert all(map(node.membership.is_watched_by, receivers))


def test_small_fleet_has_no_watchers() -> None:
    node = build_fleet_node(Fleet(vms=12, upstreams=0), now=NOW)
    node.tick(now=NOW, wall=WALL_TIME_S)
    assert node.membership.detector.watchers() == ()


def test_suspicion_of_silent_member_is_sent_to_all_members() -> None:
    node = build_node()
    watched = FLEET.heartbeat(1, sequence=2, is_watched=True)
    node.handle_membership(m.HeartbeatReceived(watched), now=NOW, wall=WALL_TIME_S)
    effects = node.tick(now=NOW + 3.1, wall=WALL_TIME_S)
    messages = [each for each in effects if isinstance(each, SendToPeer)]
    suspicions = [
        each.message for each in messages if isinstance(each.message, Suspicion)
    ]
    assert len(suspicions) == FLEET.vms - 1
    assert [each.name for each in suspicions[0].suspects] == [watched.sender]


def test_single_watcher_cannot_mark_member_silent() -> None:
    node = build_node()
    member = node.membership.members_by_name["vm-0001"]
    for sender, silent in (("vm-0002", False), ("vm-0002", False), ("vm-0003", True)):
        event = suspicion_of(node, "vm-0001", sender)
        node.handle_membership(event, now=NOW + 1.0, wall=WALL_TIME_S)
        assert node.membership.is_silent(member, NOW + 1.0) is silent


def test_newer_heartbeat_refutes_suspicion() -> None:
    node = build_node()
    member = node.membership.members_by_name["vm-0001"]
    for sender in ("vm-0002", "vm-0003"):
        event = suspicion_of(node, "vm-0001", sender)
        node.handle_membership(event, now=NOW + 1.0, wall=WALL_TIME_S)
    newer = m.HeartbeatReceived(FLEET.heartbeat(1, sequence=2))
    node.handle_membership(newer, now=NOW + 1.1, wall=WALL_TIME_S)
    assert not node.membership.is_silent(member, NOW + 1.1)


def test_suspicion_older_than_latest_heartbeat_is_ignored() -> None:
    node = build_node()
    events = [
        suspicion_of(node, "vm-0001", sender) for sender in ("vm-0002", "vm-0003")
    ]
    newer = m.HeartbeatReceived(FLEET.heartbeat(1, sequence=2))
    node.handle_membership(newer, now=NOW + 1.0, wall=WALL_TIME_S)
    for event in events:
        node.handle_membership(event, now=NOW + 1.1, wall=WALL_TIME_S)
    member = node.membership.members_by_name["vm-0001"]
    assert not member.suspected_by


def test_suspected_vm_sends_heartbeats_to_all_members() -> None:
    node = build_node()
    node.handle_membership(
        suspicion_of(node, node.vm, "vm-0002"), now=NOW + 2.0, wall=WALL_TIME_S
    )
    effects = node.tick(now=NOW + 2.05, wall=WALL_TIME_S)
    receivers = {each.to for each in effects if isinstance(each, m.SendHeartbeat)}
    assert len(receivers) == FLEET.vms - 1


def test_leaving_vm_sends_heartbeats_to_all_members() -> None:
    node = build_node()
    node.tick(now=NOW + 1.0, wall=WALL_TIME_S)
    node.leave.begin(NOW + 3.0)
    effects = [
        *node.tick(now=NOW + 3.05, wall=WALL_TIME_S),
        *node.tick(now=NOW + 3.1, wall=WALL_TIME_S),
    ]
    receivers = {each.to for each in effects if isinstance(each, m.SendHeartbeat)}
    assert len(receivers) == FLEET.vms - 1


def test_starting_process_sends_one_heartbeat_round_to_large_fleet() -> None:
    """When all VMs of a large fleet start at once, each round is 194 messages a VM."""
    node = build_empty_node(FLEET)
    node.membership.options = evolve(
        node.membership.options, seeds=(FLEET.listed_entry_vm(1).peer_endpoint,)
    )
    listed = m.LiveListRead(tuple(FLEET.live_list()))
    sent = 0
    for step in range(60):
        now = NOW + step / 20
        if step == 6:
            node.handle_membership(listed, now=now, wall=WALL_TIME_S)
        if step == 14:
            node.adopt(FLEET.configuration(), version=build_version(1), now=now)
        effects = node.tick(now=now, wall=WALL_TIME_S)
        sent += sum(isinstance(each, m.SendHeartbeat) for each in effects)
    watcher_heartbeats = 3 * WATCHERS_PER_VM
    assert FLEET.vms - 1 <= sent <= FLEET.vms - 1 + watcher_heartbeats
