"""Tests of nodes that share the slots of an upstream."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.dispatch import messages as d
from plankspindle_daemon.membership import messages as m
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.node.effects import ServiceEffect
from plankspindle_daemon.peer_messages.slot_messages import SlotRequest
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.upstreams.slot_ledger import SlotLedger
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_ticket
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.trial.trial_vm import TrialVm
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    import pytest

    from plankspindle_daemon.node.node import Node
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

WALL = 1000.0
SLOTS = 4
LONG_AGO = -10.0
PLACES = {
    name: VmAddresses(
        name=name, failure_domain="ba-1", host="127.0.0.1", base_port=port
    )
    for name, port in (("a", 7000), ("b", 7100))
}


def build_node(name: str, *, now: float = LONG_AGO) -> Node:
    node = TrialVm.start(PLACES[name], seeds=[], random=Random(name), now=now).node
    upstreams = {"u": build_upstream(slots=SLOTS)}
    configuration = build_configuration(upstreams_by_name=upstreams)
    node.adopt(configuration, version=build_version(1), now=now)
    return node


def read_list(node: Node, now: float, *names: str) -> None:
    vms = tuple(
        ListedVm(
            name=name,
            kind=VmKind.ENTRY,
            failure_domain="ba-1",
            caller_endpoint=PLACES[name].caller,
            peer_endpoint=PLACES[name].peer,
        )
        for name in names
    )
    node.handle_membership(m.LiveListRead(vms), now=now, wall=WALL)


def send_heartbeat(
    sender: Node, receiver: Node, now: float, *, left: bool = False
) -> None:
    heartbeat = sender.heartbeat(now=now, left=left)
    receiver.handle_membership(m.HeartbeatReceived(heartbeat), now=now, wall=WALL)


def exchange_heartbeats(a: Node, b: Node, now: float) -> None:
    for _ in range(2):
        send_heartbeat(a, b, now)
        send_heartbeat(b, a, now)


def upstream_of(node: Node) -> UpstreamState:
    return node.dispatchers_by_service["registry"].upstreams_by_name["u"]


def share_of(node: Node) -> int:
    return upstream_of(node).ledger.share


def build_pair() -> tuple[Node, Node]:
    a, b = build_node("a"), build_node("b")
    read_list(a, 0.0, "a", "b")
    read_list(b, 0.0, "a", "b")
    exchange_heartbeats(a, b, 0.1)
    return a, b


def test_new_process_takes_no_slots_during_settle_time() -> None:
    node = build_node("a", now=0.0)
    read_list(node, 0.1, "a")
    node.tick(now=1.9, wall=WALL)
    assert share_of(node) == 0
    node.tick(now=2.1, wall=WALL)
    assert share_of(node) == SLOTS


def test_members_with_same_view_share_all_slots() -> None:
    a, b = build_pair()
    assert (share_of(a), share_of(b)) == (2, 2)


def test_share_shrinks_immediately_when_member_joins() -> None:
    a, b = build_node("a"), build_node("b")
    read_list(a, 0.0, "a")
    assert share_of(a) == SLOTS
    send_heartbeat(b, a, 0.1)
    assert share_of(a) == 2


def test_joining_member_gets_no_share_while_requests_run_in_it() -> None:
    a, b = build_node("a"), build_node("b")
    read_list(a, 0.0, "a")
    for number in range(3):
        a.handle_dispatch("registry", d.RequestArrived(build_ticket(number)), 0.0)
    read_list(b, 0.1, "a", "b")
    exchange_heartbeats(a, b, 0.2)
    assert (share_of(a), share_of(b)) == (2, 0)
    completed = d.AttemptCompleted(
        ticket=build_ticket(0), upstream="u", outcome=d.AttemptOutcome.CANCELLED
    )
    a.handle_dispatch("registry", completed, 0.3)
    send_heartbeat(a, b, 0.3)
    assert share_of(b) == 2


def test_share_that_grew_without_waiting_would_exceed_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Membership, "may_grow_share", lambda *_, **__: True)
    a, b = build_node("a"), build_node("b")
    read_list(a, 0.0, "a")
    for number in range(3):
        a.handle_dispatch("registry", d.RequestArrived(build_ticket(number)), 0.0)
    read_list(b, 0.1, "a", "b")
    exchange_heartbeats(a, b, 0.2)
    assert upstream_of(a).ledger.in_flight + share_of(b) > SLOTS


def test_share_is_retaken_after_pause_only_once_peers_agree() -> None:
    a, b = build_pair()
    a.recover_from_pause(now=60.0, wall=WALL)
    assert share_of(a) == 0
    read_list(a, 62.1, "a", "b")
    assert share_of(a) == 0
    send_heartbeat(b, a, 62.2)
    assert share_of(a) == 2


def test_share_kept_through_pause_would_exceed_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(SlotLedger, "release_all", lambda self: None)
    a, b = build_pair()
    read_list(b, 10.0, "b")
    read_list(b, 200.0, "b")
    assert share_of(b) == SLOTS
    a.recover_from_pause(now=200.0, wall=WALL)
    assert share_of(a) + share_of(b) > SLOTS


def test_process_without_peers_settles_after_pause_before_it_takes_slots() -> None:
    node = build_node("a")
    node.tick(now=3.0, wall=WALL)
    node.recover_from_pause(now=60.0, wall=WALL)
    node.tick(now=61.0, wall=WALL)
    assert share_of(node) == 0
    node.tick(now=62.1, wall=WALL)
    assert share_of(node) == SLOTS


def request_slots(node: Node, sender: str, now: float) -> list[object]:
    request = SlotRequest(
        sender=sender,
        request_id=int(now * 10),
        upstream="u",
        count=1,
        duration_ms=1000,
        incarnation=1,
    )
    return list(node.shared_slots.lend(request, Endpoint("127.0.0.1", 1), now))


def test_slots_are_lent_to_members_only_and_not_while_leaving() -> None:
    a, _ = build_pair()
    assert request_slots(a, "stranger", 1.0) == []
    lent = request_slots(a, "b", 1.1)
    assert [type(e.effect) for e in lent if isinstance(e, ServiceEffect)] == [
        d.GrantSlots
    ]
    a.leave.begin(1.2)
    assert request_slots(a, "b", 1.3) == []


def test_borrowed_slots_end_when_share_grows_after_lender_leaves() -> None:
    a, b = build_pair()
    for number in range(2):
        b.handle_dispatch("registry", d.RequestArrived(build_ticket(number)), 0.2)
    third = b.handle_dispatch(
        "registry", d.RequestArrived(build_ticket(2, deadline=2.0)), 0.2
    )
    requested = third[0]
    assert isinstance(requested, ServiceEffect)
    assert isinstance(requested.effect, d.RequestSlots)
    granted = a.shared_slots.lend(
        requested.effect.request, Endpoint("127.0.0.1", 1), 0.2
    )
    effect = granted[0]
    assert isinstance(effect, ServiceEffect)
    assert isinstance(effect.effect, d.GrantSlots)
    b.handle_dispatch("registry", d.SlotsGranted(effect.effect.grant), 0.3)
    assert upstream_of(b).ledger.in_flight == 3
    send_heartbeat(a, b, 0.4, left=True)
    assert upstream_of(b).ledger.allowance(0.4, 0.5) == SLOTS


def test_slots_lent_before_share_shrank_keep_peer_from_growing() -> None:
    a, b = build_node("a"), build_node("b")
    read_list(a, 0.0, "a")
    ledger = upstream_of(a).ledger
    assert ledger.lend(request_id=1, count=3, now=0.0, until=5.0) == 3
    read_list(b, 0.1, "a", "b")
    exchange_heartbeats(a, b, 0.2)
    assert (share_of(a), share_of(b)) == (2, 0)
    assert upstream_of(a).ledger.is_over_share(0.2)
    exchange_heartbeats(a, b, 5.1)
    assert share_of(b) == 2


def test_removed_members_expire_after_longest_request_timeout() -> None:
    a, b = build_pair()
    read_list(a, 10.0, "a")
    assert share_of(a) == 2
    a.tick(now=129.0, wall=WALL)
    assert len(a.membership.removed_at_by_name) == 1
    a.tick(now=131.0, wall=WALL)
    assert a.membership.removed_at_by_name == {}
    assert share_of(a) == SLOTS


def test_configuration_head_is_not_fresh_after_long_time_without_read() -> None:
    node = build_node("a")
    assert not node.versions.head.is_fresh(0.0)
    node.versions.head.record_read(1.0)
    assert node.versions.head.is_fresh(31.0)
    assert not node.versions.head.is_fresh(31.1)


def test_time_of_last_configuration_read_is_relayed_by_members() -> None:
    a, b = build_pair()
    a.versions.head.record_read(10.0)
    send_heartbeat(a, b, 15.0)
    assert b.versions.head.age_s(16.0) == 6.0
    assert b.versions.head.is_fresh(39.0)
    assert not b.versions.head.is_fresh(41.0)


def test_version_is_never_replaced_by_lower_one() -> None:
    node = build_node("a")
    node.adopt(
        build_configuration(upstreams_by_name={}), version=build_version(3), now=1.0
    )
    node.adopt(build_configuration(), version=build_version(2), now=2.0)
    assert node.version == build_version(3)


def test_undeclared_upstream_gets_no_new_request() -> None:
    node = build_node("a")
    node.tick(now=3.0, wall=WALL)
    node.handle_dispatch("registry", d.RequestArrived(build_ticket(1)), 3.0)
    declared = {"v": build_upstream(slots=1, endpoint=Endpoint("127.0.0.2", 1))}
    node.adopt(
        build_configuration(upstreams_by_name=declared),
        version=build_version(2),
        now=3.1,
    )
    assert upstream_of(node).leaving
    completed = d.AttemptCompleted(
        ticket=build_ticket(1), upstream="u", outcome=d.AttemptOutcome.ANSWERED
    )
    node.handle_dispatch("registry", completed, 3.2)
    node.adopt(
        build_configuration(upstreams_by_name=declared),
        version=build_version(3),
        now=3.3,
    )
    assert set(node.dispatchers_by_service["registry"].upstreams_by_name) == {"v"}
