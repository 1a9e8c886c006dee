"""An upstream that restarts under the same name is treated as a new one."""

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
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_service
from plankspindle_testkit.builders import build_ticket
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.trial.trial_vm import TrialVm
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from plankspindle_daemon.node.node import Node
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

PLACES = [
    VmAddresses(name=name, failure_domain="ba-1", host="127.0.1.1", base_port=port)
    for name, port in (("a", 7000), ("b", 7100))
]
FIRST, SECOND = 1_700_000_000_000, 1_700_000_009_000


def build_node(place: VmAddresses = PLACES[0]) -> Node:
    node = TrialVm.start(place, seeds=PLACES, random=Random(1), now=0.0).node
    service = build_service(
        slot_sharing=SlotSharing.REPORTED, cold_requests_per_s=8.0, cold_ms=3_000
    )
    configuration = build_configuration(
        services_by_name={"registry": service}, upstreams_by_name={}
    )
    node.adopt(configuration, version=build_version(1), now=0.0)
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


def complete(node: Node, assigned: Assign, outcome: AttemptOutcome, now: float) -> None:
    completed = AttemptCompleted(
        ticket=assigned.ticket,
        upstream=assigned.upstream,
        incarnation=assigned.incarnation,
        outcome=outcome,
        head_s=0.1,
        total_s=0.1,
        reported_load=3,
    )
    node.handle_dispatch("registry", completed, now)


def test_new_incarnation_starts_without_state_of_previous_one() -> None:
    node = build_node()
    read_list(node, 1.0, listed(FIRST))
    for number in range(3):
        complete(node, send(node, number, 1.0), AttemptOutcome.UNREACHABLE, 1.0)
        state_of(node).health.state = Warm()
    state_of(node).mark_misdirected()
    read_list(node, 2.0, listed(SECOND))
    restarted = state_of(node)
    assert not restarted.is_misdirected
    assert restarted.incarnation == SECOND
    assert restarted.ledger.in_flight == 0
    assert restarted.answered_at == 0.0


def test_completions_of_previous_incarnation_do_not_affect_new_one() -> None:
    node = build_node()
    read_list(node, 1.0, listed(FIRST))
    before = [send(node, number, 1.0) for number in range(2)]
    read_list(node, 2.0, listed(SECOND))
    complete(node, before[0], AttemptOutcome.UNREACHABLE, 2.1)
    complete(node, before[1], AttemptOutcome.ANSWERED, 2.1)
    restarted = state_of(node)
    assert isinstance(restarted.health.state, Warm)
    assert restarted.answered_at == 0.0
    assert restarted.report_age_ms(2.1) is None


def test_new_incarnation_is_cold() -> None:
    node = build_node()
    read_list(node, 1.0, listed(FIRST))
    read_list(node, 2.0, listed(SECOND))
    cold = state_of(node).cold_limiter
    assert cold is not None
    assert cold.until == 5.0


def test_new_incarnation_has_seen_no_affinity_keys() -> None:
    node = build_node()
    read_list(node, 1.0, listed(FIRST))
    complete(node, send(node, 1, 1.0, affinity="k"), AttemptOutcome.ANSWERED, 1.1)
    placement = node.dispatchers_by_service["registry"].placement
    assert placement is not None
    assert placement.has_seen("k", "u", 1.2)
    read_list(node, 2.0, listed(SECOND))
    assert not placement.has_seen("k", "u", 2.0)


def test_list_entry_of_earlier_incarnation_is_ignored() -> None:
    node = build_node()
    read_list(node, 1.0, listed(SECOND))
    known = state_of(node)
    read_list(node, 2.0, listed(FIRST, leaving=True, cold_until=9.0))
    assert state_of(node) is known
    assert not known.leaving
    assert known.cold_limiter is None


def test_incarnation_listed_later_is_not_a_restart() -> None:
    node = build_node()
    read_list(node, 1.0, listed(0))
    known = state_of(node)
    read_list(node, 2.0, listed(FIRST))
    read_list(node, 3.0, listed(0))
    assert state_of(node) is known
    assert known.incarnation == FIRST


def test_hint_on_earlier_incarnation_is_ignored() -> None:
    reporter, node = (build_node(place) for place in PLACES)
    read_list(reporter, 1.0, listed(FIRST))
    send(reporter, 1, 1.0)
    heartbeat = reporter.heartbeat(now=4.0)
    assert heartbeat.silent_upstreams == ("u",)
    assert heartbeat.silent_incarnations == (FIRST,)
    for now, incarnation, is_silent in ((3.0, FIRST, True), (4.0, SECOND, False)):
        read_list(node, now, listed(incarnation))
        for sender, domain in (("c", "ba-1"), ("d", "ke-1")):
            received = evolve(heartbeat, sender=sender, failure_domain=domain)
            node.handle_membership(HeartbeatReceived(received), now=4.0, wall=0.0)
        assert (state_of(node).unresponsive_s(4.0) > 0) is is_silent
