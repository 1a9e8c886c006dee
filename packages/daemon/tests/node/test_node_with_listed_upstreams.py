"""Tests of nodes whose upstreams are declared by the platform's list."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from plankspindle_core.configuration.drain import Drain
from plankspindle_core.configuration.drain import DrainKind
from plankspindle_core.configuration.service import SlotSharing
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.dispatch import messages as d
from plankspindle_daemon.membership import messages as m
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.upstreams.health import BackedOff
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
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

WALL = 1000.0
PLACE = VmAddresses(name="a", failure_domain="ba-1", host="127.0.0.1", base_port=7000)


def build_node() -> Node:
    return TrialVm.start(PLACE, seeds=[], random=Random(1), now=0.0).node


def build_content(**fields: object) -> Configuration:
    service = build_service(
        slot_sharing=SlotSharing.REPORTED, cold_requests_per_s=8.0, cold_ms=3_000
    )
    return build_configuration(
        services_by_name={"registry": service}, upstreams_by_name={}, **fields
    )


def listed(name: str, domain: str = "ke-1", **fields: object) -> ListedVm:
    return ListedVm(
        name=name,
        kind=VmKind.UPSTREAM,
        failure_domain=domain,
        upstream=build_upstream(failure_domain=domain),
        **fields,
    )


def read_list(node: Node, now: float, *vms: ListedVm) -> None:
    node.handle_membership(m.LiveListRead(vms), now=now, wall=WALL + now)


def upstream_of(node: Node, name: str) -> UpstreamState:
    return node.dispatchers_by_service["registry"].upstreams_by_name[name]


def send(node: Node, number: int, now: float) -> list[str]:
    arrived = d.RequestArrived(build_ticket(number, deadline=now + 9.0))
    effects = [each.effect for each in node.handle_dispatch("registry", arrived, now)]
    return [each.upstream for each in effects if isinstance(each, d.Assign)]


def test_upstream_in_another_region_is_used() -> None:
    node = build_node()
    node.adopt(build_content(), version=build_version(1), now=0.0)
    read_list(node, 1.0, listed("u"))
    assert send(node, 1, 1.0) == ["u"]


def test_list_read_before_configuration_is_applied_with_it() -> None:
    node = build_node()
    read_list(node, 1.0, listed("u", leaving=True), listed("v", cold_until=9.0))
    node.adopt(build_content(), version=build_version(1), now=1.1)
    assert upstream_of(node, "u").leaving
    assert upstream_of(node, "v").cold_limiter is not None
    assert send(node, 1, 1.2) == ["v"]
    assert send(node, 2, 1.2) == []


def test_upstream_missing_from_list_only_completes_running_requests() -> None:
    node = build_node()
    node.adopt(build_content(), version=build_version(1), now=0.0)
    read_list(node, 1.0, listed("u"))
    assert send(node, 1, 1.0) == ["u"]
    read_list(node, 2.0)
    assert upstream_of(node, "u").leaving
    assert send(node, 2, 2.0) == []
    completed = d.AttemptCompleted(
        ticket=build_ticket(1), upstream="u", outcome=d.AttemptOutcome.ANSWERED
    )
    node.handle_dispatch("registry", completed, 3.0)
    read_list(node, 3.0)
    assert not node.dispatchers_by_service["registry"].upstreams_by_name


def test_domain_with_drained_upstreams_still_accepts_requests() -> None:
    node = build_node()
    drain = Drain(kind=DrainKind.UPSTREAMS_OF_DOMAIN, name="ba-1")
    node.adopt(
        build_content(drains_by_id={"d": drain}),
        version=build_version(1),
        now=0.0,
    )
    read_list(node, 1.0, listed("near", "ba-1"), listed("far"))
    assert node.accepts(1.0)
    assert [send(node, number, 1.0) for number in range(2)] == [["far"], ["far"]]


def test_upstreams_are_cold_after_drain_is_undone() -> None:
    node = build_node()
    drain = Drain(kind=DrainKind.UPSTREAMS_OF_DOMAIN, name="ke-1")
    drained = build_content(drains_by_id={"d": drain})
    node.adopt(drained, version=build_version(1), now=0.0)
    read_list(node, 1.0, listed("u"))
    assert send(node, 1, 1.0) == []
    node.adopt(build_content(), version=build_version(2), now=2.0)
    node.tick(now=2.1, wall=WALL)
    assert send(node, 2, 2.2) == ["u"]
    assert send(node, 3, 2.2) == []
    assert send(node, 4, 6.0) == ["u", "u"]


def remote_share(node: Node) -> float:
    placement = node.dispatchers_by_service["registry"].placement
    assert placement is not None
    return placement.plan.remote_share


def test_keys_leave_region_when_upstreams_leave_not_when_backed_off() -> None:
    node = build_node()
    node.adopt(build_content(), version=build_version(1), now=0.0)
    entry_vm = ListedVm(
        name="other",
        kind=VmKind.ENTRY,
        failure_domain="ke-1",
        peer_endpoint=Endpoint("127.0.0.1", 9),
    )
    local = [listed("n1", "ba-1"), listed("n2", "ba-1")]
    remote = [listed("f1"), listed("f2")]
    read_list(node, 1.0, entry_vm, *local, *remote)
    node.tick(now=1.1, wall=WALL)
    assert remote_share(node) == 0.0
    upstream_of(node, "n1").health.state = BackedOff(until=9.0, failures=1)
    node.tick(now=2.0, wall=WALL)
    assert remote_share(node) == 0.0
    read_list(
        node, 3.0, entry_vm, listed("n1", "ba-1", leaving=True), local[1], *remote
    )
    node.tick(now=3.1, wall=WALL)
    assert remote_share(node) == pytest.approx(1 / 3)
    read_list(
        node, 4.0, entry_vm, listed("n1", "ba-1", cold_until=9.0), local[1], *remote
    )
    node.tick(now=4.1, wall=WALL)
    assert remote_share(node) == pytest.approx(1 / 3)
    read_list(node, 10.0, entry_vm, *local, *remote)
    node.tick(now=10.1, wall=WALL)
    assert remote_share(node) == pytest.approx(0.0)
