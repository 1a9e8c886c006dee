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
from plankspindle_testkit.builders import VmPlace
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_ticket
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.trial.trial_vm import TrialVm

if TYPE_CHECKING:
    import pytest

    from plankspindle_daemon.node.node import Node
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

WALL = 1000.0
SLOTS = 4
LONG_AGO = -10.0
PLACES = {
    name: VmPlace(name=name, failure_domain="ba-1", host="127.0.0.1", base_port=port)
    for name, port in (("a", 7000), ("b", 7100))
}


def build_node(name: str, *, now: float = LONG_AGO) -> Node:
    node = TrialVm.start(PLACES[name], seeds=[], random=Random(name), now=now).node
    upstreams = {"u": build_upstream(slots=SLOTS)}
    configuration = build_configuration(upstreams_by_name=upstreams)
    node.adopt(configuration, version=1, now=now)
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


def greet(sender: Node, receiver: Node, now: float, *, left: bool = False) -> None:
    heartbeat = sender.heartbeat(now=now, left=left)
    receiver.handle_membership(m.HeartbeatReceived(heartbeat), now=now, wall=WALL)


def agree(a: Node, b: Node, now: float) -> None:
    for _ in range(2):
        greet(a, b, now)
        greet(b, a, now)


def upstream_of(node: Node) -> UpstreamState:
    return node.dispatchers_by_service["registry"].upstreams_by_name["u"]


def share_of(node: Node) -> int:
    return upstream_of(node).ledger.share


def build_pair() -> tuple[Node, Node]:
    a, b = build_node("a"), build_node("b")
    read_list(a, 0.0, "a", "b")
    read_list(b, 0.0, "a", "b")
    agree(a, b, 0.1)
    return a, b


def test_a_new_process_takes_no_slots_before_it_knows_its_peers() -> None:
    node = build_node("a", now=0.0)
    read_list(node, 0.1, "a")
    node.tick(now=1.9, wall=WALL)
    assert share_of(node) == 0
    node.tick(now=2.1, wall=WALL)
    assert share_of(node) == SLOTS


def test_members_that_agree_share_all_slots() -> None:
    a, b = build_pair()
    assert (share_of(a), share_of(b)) == (2, 2)


def test_a_share_shrinks_at_once_when_a_member_joins() -> None:
    a, b = build_node("a"), build_node("b")
    read_list(a, 0.0, "a")
    assert share_of(a) == SLOTS
    greet(b, a, 0.1)
    assert share_of(a) == 2


def test_the_joining_member_waits_while_work_runs_in_its_share() -> None:
    a, b = build_node("a"), build_node("b")
    read_list(a, 0.0, "a")
    for number in range(3):
        a.handle_dispatch("registry", d.RequestArrived(build_ticket(number)), 0.0)
    read_list(b, 0.1, "a", "b")
    agree(a, b, 0.2)
    assert (share_of(a), share_of(b)) == (2, 0)
    ended = d.AttemptCompleted(
        ticket=build_ticket(0), upstream="u", outcome=d.AttemptOutcome.CANCELLED
    )
    a.handle_dispatch("registry", ended, 0.3)
    greet(a, b, 0.3)
    assert share_of(b) == 2


def test_a_member_that_grew_at_once_would_pass_the_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Membership, "may_grow_share", lambda *_, **__: True)
    a, b = build_node("a"), build_node("b")
    read_list(a, 0.0, "a")
    for number in range(3):
        a.handle_dispatch("registry", d.RequestArrived(build_ticket(number)), 0.0)
    read_list(b, 0.1, "a", "b")
    agree(a, b, 0.2)
    assert upstream_of(a).ledger.in_flight + share_of(b) > SLOTS


def test_after_a_pause_a_share_is_taken_again_only_with_agreement() -> None:
    a, b = build_pair()
    a.recover_from_pause(now=60.0, wall=WALL)
    assert share_of(a) == 0
    read_list(a, 62.1, "a", "b")
    assert share_of(a) == 0
    greet(b, a, 62.2)
    assert share_of(a) == 2


def test_a_woken_process_that_kept_its_share_would_pass_the_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(SlotLedger, "release_all", lambda self: None)
    a, b = build_pair()
    read_list(b, 10.0, "b")
    read_list(b, 200.0, "b")
    assert share_of(b) == SLOTS
    a.recover_from_pause(now=200.0, wall=WALL)
    assert share_of(a) + share_of(b) > SLOTS


def test_after_a_pause_a_process_alone_listens_before_it_takes_slots() -> None:
    node = build_node("a")
    node.tick(now=3.0, wall=WALL)
    node.recover_from_pause(now=60.0, wall=WALL)
    node.tick(now=61.0, wall=WALL)
    assert share_of(node) == 0
    node.tick(now=62.1, wall=WALL)
    assert share_of(node) == SLOTS


def ask(node: Node, sender: str, now: float) -> list[object]:
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
    assert ask(a, "stranger", 1.0) == []
    lent = ask(a, "b", 1.1)
    assert [type(e.effect) for e in lent if isinstance(e, ServiceEffect)] == [
        d.GrantSlots
    ]
    a.leave.begin(1.2)
    assert ask(a, "b", 1.3) == []


def test_a_loan_ends_when_the_share_grows_by_the_lender_leaving() -> None:
    a, b = build_pair()
    for number in range(2):
        b.handle_dispatch("registry", d.RequestArrived(build_ticket(number)), 0.2)
    third = b.handle_dispatch(
        "registry", d.RequestArrived(build_ticket(2, deadline=2.0)), 0.2
    )
    asked = third[0]
    assert isinstance(asked, ServiceEffect)
    assert isinstance(asked.effect, d.RequestSlots)
    granted = a.shared_slots.lend(asked.effect.request, Endpoint("127.0.0.1", 1), 0.2)
    effect = granted[0]
    assert isinstance(effect, ServiceEffect)
    assert isinstance(effect.effect, d.GrantSlots)
    b.handle_dispatch("registry", d.SlotsGranted(effect.effect.grant), 0.3)
    assert upstream_of(b).ledger.in_flight == 3
    greet(a, b, 0.4, left=True)
    assert upstream_of(b).ledger.allowance(0.4, 0.5) == SLOTS


def test_slots_that_were_lent_before_a_share_shrank_leave_no_room() -> None:
    a, b = build_node("a"), build_node("b")
    read_list(a, 0.0, "a")
    ledger = upstream_of(a).ledger
    assert ledger.lend(request_id=1, count=3, now=0.0, until=5.0) == 3
    read_list(b, 0.1, "a", "b")
    agree(a, b, 0.2)
    assert (share_of(a), share_of(b)) == (2, 0)
    assert upstream_of(a).ledger.is_over_share(0.2)
    agree(a, b, 5.1)
    assert share_of(b) == 2


def test_removed_members_are_forgotten_once_their_work_must_have_ended() -> None:
    a, b = build_pair()
    read_list(a, 10.0, "a")
    assert share_of(a) == 2
    a.tick(now=129.0, wall=WALL)
    assert len(a.membership.removed_at_by_name) == 1
    a.tick(now=131.0, wall=WALL)
    assert a.membership.removed_at_by_name == {}
    assert share_of(a) == SLOTS


def test_shifts_stop_when_the_platform_was_not_heard_for_long() -> None:
    node = build_node("a")
    assert not node.versions.head.is_fresh(0.0)
    node.versions.head.note_read(1.0)
    assert node.versions.head.is_fresh(31.0)
    assert not node.versions.head.is_fresh(31.1)


def test_word_of_the_platform_is_passed_on_by_members() -> None:
    a, b = build_pair()
    a.versions.head.note_read(10.0)
    greet(a, b, 15.0)
    assert b.versions.head.ago_s(16.0) == 6.0
    assert b.versions.head.is_fresh(39.0)
    assert not b.versions.head.is_fresh(41.0)


def test_a_version_is_never_replaced_by_a_lower_one() -> None:
    node = build_node("a")
    node.adopt(build_configuration(upstreams_by_name={}), version=3, now=1.0)
    node.adopt(build_configuration(), version=2, now=2.0)
    assert node.version == 3


def test_an_upstream_that_is_no_longer_declared_gets_nothing_new() -> None:
    node = build_node("a")
    node.tick(now=3.0, wall=WALL)
    node.handle_dispatch("registry", d.RequestArrived(build_ticket(1)), 3.0)
    others = {"v": build_upstream(slots=1, endpoint=Endpoint("127.0.0.2", 1))}
    node.adopt(build_configuration(upstreams_by_name=others), version=2, now=3.1)
    assert upstream_of(node).leaving
    ended = d.AttemptCompleted(
        ticket=build_ticket(1), upstream="u", outcome=d.AttemptOutcome.ANSWERED
    )
    node.handle_dispatch("registry", ended, 3.2)
    node.adopt(build_configuration(upstreams_by_name=others), version=3, now=3.3)
    assert set(node.dispatchers_by_service["registry"].upstreams_by_name) == {"v"}
