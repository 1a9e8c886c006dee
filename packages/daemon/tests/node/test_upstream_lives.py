"""An upstream that starts again under its name is a new one."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import evolve

from plankspindle_core.configuration.service import SlotSharing
from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import AttemptCompleted
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.dispatch.messages import RequestArrived
from plankspindle_daemon.membership.messages import HeartbeatReceived
from plankspindle_daemon.membership.messages import LiveListRead
from plankspindle_daemon.node.effects import ServiceEffect
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.upstreams.health import Warm
from plankspindle_testkit.builders import VmPlace
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_service
from plankspindle_testkit.builders import build_ticket
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.trial.trial_vm import TrialVm

if TYPE_CHECKING:
    from plankspindle_daemon.node.node import Node
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

PLACES = [
    VmPlace(name=name, failure_domain="ba-1", host="127.0.1.1", base_port=port)
    for name, port in (("a", 7000), ("b", 7100))
]
FIRST, SECOND = 1_700_000_000_000, 1_700_000_009_000


def build_node(place: VmPlace = PLACES[0]) -> Node:
    node = TrialVm.start(place, seeds=PLACES, random=Random(1), now=0.0).node
    service = build_service(
        slot_sharing=SlotSharing.REPORTED, cold_requests_per_s=8.0, cold_ms=3_000
    )
    configuration = build_configuration(
        services_by_name={"registry": service}, upstreams_by_name={}
    )
    node.adopt(configuration, version=1, now=0.0)
    return node


def listed(incarnation: int, **fields: object) -> ListedVm:
    return ListedVm(
        name="u",
        kind=VmKind.UPSTREAM,
        failure_domain="ba-1",
        upstream=build_upstream(slots=4),
        incarnation=incarnation,
        **fields,
    )


def read_list(node: Node, now: float, *vms: ListedVm) -> None:
    node.handle_membership(LiveListRead(vms), now=now, wall=1000.0 + now)


def state_of(node: Node) -> UpstreamState:
    return node.dispatchers_by_service["registry"].upstreams_by_name["u"]


def send(node: Node, number: int, now: float, **fields: object) -> Assign:
    ticket = build_ticket(number, deadline=now + 9.0, **fields)
    (effect,) = node.handle_dispatch("registry", RequestArrived(ticket), now)
    assert isinstance(effect, ServiceEffect)
    assert isinstance(effect.effect, Assign)
    return effect.effect


def end(node: Node, assigned: Assign, verdict: AttemptOutcome, now: float) -> None:
    ended = AttemptCompleted(
        ticket=assigned.ticket,
        upstream=assigned.upstream,
        incarnation=assigned.incarnation,
        outcome=verdict,
        head_s=0.1,
        total_s=0.1,
        reported_load=3,
    )
    node.handle_dispatch("registry", ended, now)


def test_another_life_knows_nothing_of_the_one_before() -> None:
    node = build_node()
    read_list(node, 1.0, listed(FIRST))
    for number in range(3):
        end(node, send(node, number, 1.0), AttemptOutcome.UNREACHABLE, 1.0)
        state_of(node).health.state = Warm()
    state_of(node).mark_misdirected()
    read_list(node, 2.0, listed(SECOND))
    again = state_of(node)
    assert not again.is_misdirected
    assert again.incarnation == SECOND
    assert again.ledger.in_flight == 0
    assert again.answered_at == 0.0


def test_what_ran_in_the_life_before_says_nothing_of_the_next() -> None:
    node = build_node()
    read_list(node, 1.0, listed(FIRST))
    before = [send(node, number, 1.0) for number in range(2)]
    read_list(node, 2.0, listed(SECOND))
    end(node, before[0], AttemptOutcome.UNREACHABLE, 2.1)
    end(node, before[1], AttemptOutcome.ANSWERED, 2.1)
    again = state_of(node)
    assert isinstance(again.health.state, Warm)
    assert again.answered_at == 0.0
    assert again.report_age_ms(2.1) is None


def test_another_life_is_cold() -> None:
    node = build_node()
    read_list(node, 1.0, listed(FIRST))
    read_list(node, 2.0, listed(SECOND))
    cold = state_of(node).cold_limiter
    assert cold is not None
    assert cold.until == 5.0


def test_another_life_has_seen_no_keys() -> None:
    node = build_node()
    read_list(node, 1.0, listed(FIRST))
    end(node, send(node, 1, 1.0, affinity="k"), AttemptOutcome.ANSWERED, 1.1)
    placement = node.dispatchers_by_service["registry"].placement
    assert placement is not None
    assert placement.has_seen("k", "u", 1.2)
    read_list(node, 2.0, listed(SECOND))
    assert not placement.has_seen("k", "u", 2.0)


def test_a_row_of_an_earlier_life_changes_nothing() -> None:
    node = build_node()
    read_list(node, 1.0, listed(SECOND))
    known = state_of(node)
    read_list(node, 2.0, listed(FIRST, leaving=True, cold_until=9.0))
    assert state_of(node) is known
    assert not known.leaving
    assert known.cold_limiter is None


def test_a_life_that_is_told_late_is_no_other_one() -> None:
    node = build_node()
    read_list(node, 1.0, listed(0))
    known = state_of(node)
    read_list(node, 2.0, listed(FIRST))
    read_list(node, 3.0, listed(0))
    assert state_of(node) is known
    assert known.incarnation == FIRST


def test_a_hint_on_an_earlier_life_is_passed_over() -> None:
    teller, node = (build_node(place) for place in PLACES)
    read_list(teller, 1.0, listed(FIRST))
    send(teller, 1, 1.0)
    told = teller.heartbeat(now=4.0)
    assert told.silent_upstreams == ("u",)
    assert told.silent_incarnations == (FIRST,)
    for now, incarnation, is_silent in ((3.0, FIRST, True), (4.0, SECOND, False)):
        read_list(node, now, listed(incarnation))
        for sender, domain in (("c", "ba-1"), ("d", "ke-1")):
            heard = evolve(told, sender=sender, failure_domain=domain)
            node.handle_membership(HeartbeatReceived(heard), now=4.0, wall=0.0)
        assert (state_of(node).unresponsive_s(4.0) > 0) is is_silent
