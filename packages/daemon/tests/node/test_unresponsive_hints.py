"""Tests of hints by which VMs avoid an upstream that is unresponsive to another VM."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import evolve

from plankspindle_core.configuration.service import SlotSharing
from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import RequestArrived
from plankspindle_daemon.membership.messages import HeartbeatReceived
from plankspindle_daemon.node.effects import ServiceEffect
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_service
from plankspindle_testkit.builders import build_ticket
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.trial.trial_vm import TrialVm
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from plankspindle_core.configuration.configuration import Configuration
    from plankspindle_daemon.node.node import Node

NOW = 100.0
PLACES = [
    VmAddresses(name=name, failure_domain="ba-1", host="127.0.1.1", base_port=port)
    for name, port in (("a", 7000), ("b", 7100))
]


def build_node(place: VmAddresses) -> Node:
    node = TrialVm.start(place, seeds=PLACES, random=Random(1), now=NOW).node
    node.adopt(
        build_configuration_with_load_reports(), version=build_version(1), now=NOW
    )
    return node


def build_configuration_with_load_reports() -> Configuration:
    service = evolve(build_service(), slot_sharing=SlotSharing.REPORTED)
    upstreams = {name: build_upstream(slots=4) for name in ("u", "v")}
    return build_configuration(
        services_by_name={"registry": service}, upstreams_by_name=upstreams
    )


def send(node: Node, number: int, now: float) -> str:
    ticket = build_ticket(number, deadline=now + 10.0)
    (effect,) = node.handle_dispatch("registry", RequestArrived(ticket), now)
    assert isinstance(effect, ServiceEffect)
    assert isinstance(effect.effect, Assign)
    return effect.effect.upstream


def test_vms_avoid_upstream_that_another_vm_reports_unresponsive() -> None:
    first, second = (build_node(place) for place in PLACES)
    unresponsive = send(first, 1, NOW)
    heartbeat = first.heartbeat(now=NOW + 3.0)
    assert heartbeat.silent_upstreams == (unresponsive,)
    remote = evolve(heartbeat, sender="c", failure_domain="ke-1")
    for each in (heartbeat, remote):
        second.handle_membership(HeartbeatReceived(each), now=NOW + 3.0, wall=NOW)
    chosen = {send(second, number, NOW + 3.0) for number in range(3)}
    assert unresponsive not in chosen


def test_hint_on_unknown_upstream_is_ignored() -> None:
    first, second = (build_node(place) for place in PLACES)
    heartbeat = evolve(first.heartbeat(now=NOW), silent_upstreams=("unknown",))
    event = HeartbeatReceived(heartbeat)
    assert second.handle_membership(event, now=NOW, wall=NOW) is not None


def test_heartbeat_names_bounded_number_of_unresponsive_upstreams() -> None:
    node = build_node(PLACES[0])
    upstreams = {f"u{number}": build_upstream(slots=1) for number in range(100)}
    configuration = evolve(
        build_configuration_with_load_reports(), upstreams_by_name=upstreams
    )
    node.adopt(configuration, version=build_version(2), now=NOW)
    for number in range(100):
        send(node, number, NOW)
    assert len(node.heartbeat(now=NOW + 5.0).silent_upstreams) == 8
