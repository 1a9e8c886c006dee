"""Statements of an upstream are valid for its incarnation, whatever lists contain."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from plankspindle_core.configuration.service import SlotSharing
from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import DispatchEffect
from plankspindle_daemon.dispatch.messages import Reject
from plankspindle_daemon.dispatch.messages import RejectReason
from plankspindle_daemon.dispatch.messages import RequestArrived
from plankspindle_daemon.dispatch.messages import StatementReceived
from plankspindle_daemon.membership.messages import LiveListRead
from plankspindle_daemon.node.effects import ServiceEffect
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_service
from plankspindle_testkit.builders import build_ticket
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.trial.trial_vm import TrialVm
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from plankspindle_daemon.node.node import Node

PLACE = VmAddresses(name="a", failure_domain="ba-1", host="127.0.1.1", base_port=7000)
FIRST, SECOND = 1_700_000_000_000, 1_700_000_009_000
LEAVING = UpstreamStatement(is_leaving=True)
RETRY_LATER = UpstreamStatement(retry_after_s=3.0)


def build_node() -> Node:
    node = TrialVm.start(PLACE, seeds=[PLACE], random=Random(1), now=0.0).node
    services = {
        name: build_service(slot_sharing=SlotSharing.REPORTED)
        for name in ("registry", "documents")
    }
    configuration = build_configuration(services_by_name=services, upstreams_by_name={})
    node.adopt(configuration, version=build_version(1), now=0.0)
    return node


def read_list(
    node: Node, now: float, incarnation: int | None, service: str = "registry"
) -> None:
    """Read a list with one upstream, or none."""
    vms = ()
    if incarnation is not None:
        upstream = build_upstream(slots=4, service=service)
        vms = (
            ListedVm(
                name="u",
                kind=VmKind.UPSTREAM,
                failure_domain="ba-1",
                upstream=upstream,
                incarnation=incarnation,
            ),
        )
    node.handle_membership(LiveListRead(vms), now=now, wall=1000.0 + now)


def send(node: Node, now: float, service: str = "registry") -> DispatchEffect:
    ticket = build_ticket(int(now * 1000), deadline=now + 9.0, queue_deadline=now + 0.1)
    (effect,) = node.handle_dispatch(service, RequestArrived(ticket), now)
    assert isinstance(effect, ServiceEffect)
    return effect.effect


def send_statement(
    node: Node,
    now: float,
    statement: UpstreamStatement,
    incarnation: int = FIRST,
    service: str = "registry",
) -> None:
    stated = StatementReceived(
        upstream="u", incarnation=incarnation, statement=statement, sent_at=now - 0.1
    )
    node.handle_dispatch(service, stated, now)


def assert_refused(effect: DispatchEffect) -> None:
    assert isinstance(effect, Reject)
    assert effect.reason is RejectReason.NO_UPSTREAM


def test_upstream_that_states_leaving_gets_no_request_while_still_listed() -> None:
    node = build_node()
    read_list(node, 1.0, FIRST)
    assert isinstance(send(node, 1.0), Assign)
    send_statement(node, 1.2, LEAVING)
    assert_refused(send(node, 1.3))
    read_list(node, 2.0, FIRST)
    assert_refused(send(node, 2.1))


def test_upstream_is_still_leaving_after_list_entry_lapses_and_returns() -> None:
    node = build_node()
    read_list(node, 1.0, FIRST)
    send_statement(node, 1.2, LEAVING)
    for now in (20.0, 40.0, 60.0):
        read_list(node, now, None)
    read_list(node, 61.0, FIRST)
    assert_refused(send(node, 61.1))


def test_upstream_is_still_leaving_after_move_to_another_service() -> None:
    node = build_node()
    read_list(node, 1.0, FIRST)
    send(node, 1.0)
    read_list(node, 1.5, FIRST, service="documents")
    send_statement(node, 1.6, LEAVING)
    assert_refused(send(node, 1.7, service="documents"))
    read_list(node, 2.0, FIRST, service="documents")
    assert_refused(send(node, 2.1, service="documents"))


def test_next_incarnation_of_leaving_upstream_is_used() -> None:
    node = build_node()
    read_list(node, 1.0, FIRST)
    send_statement(node, 1.2, LEAVING)
    read_list(node, 5.0, SECOND)
    assert isinstance(send(node, 5.1), Assign)
    send_statement(node, 5.2, LEAVING, incarnation=FIRST)
    assert isinstance(send(node, 5.3), Assign)


def test_unreadable_leaving_statement_is_ignored() -> None:
    node = build_node()
    read_list(node, 1.0, FIRST)
    send_statement(node, 1.2, UpstreamStatement(unreadable=("server-leaving: b'x'",)))
    assert isinstance(send(node, 1.3), Assign)


def assert_blocked(effect: DispatchEffect, min_retry_after_s: float) -> None:
    assert isinstance(effect, Reject)
    assert effect.reason is RejectReason.WITHHELD
    assert effect.retry_after_s >= min_retry_after_s


def test_upstream_gets_no_request_during_retry_after_period() -> None:
    node = build_node()
    read_list(node, 1.0, FIRST)
    send_statement(node, 1.2, RETRY_LATER)
    assert_blocked(send(node, 1.3), 2.8)
    assert_blocked(send(node, 4.0), 0.1)
    assert isinstance(send(node, 4.2), Assign)


def test_single_request_probes_upstream_after_retry_after_period() -> None:
    node = build_node()
    read_list(node, 1.0, FIRST)
    send_statement(node, 1.2, RETRY_LATER)
    assert isinstance(send(node, 4.2), Assign)
    ticket = build_ticket(7, deadline=13.0, queue_deadline=4.5)
    assert node.handle_dispatch("registry", RequestArrived(ticket), 4.25) == []
    send_statement(node, 4.3, RETRY_LATER)
    assert_blocked(send(node, 5.0), 2.2)


def test_shorter_retry_after_does_not_end_longer_one() -> None:
    node = build_node()
    read_list(node, 1.0, FIRST)
    send_statement(node, 1.2, RETRY_LATER)
    send_statement(node, 1.4, UpstreamStatement(retry_after_s=0.1))
    assert_blocked(send(node, 2.0), 2.1)


def test_retry_after_period_continues_after_list_entry_lapses_and_returns() -> None:
    node = build_node()
    read_list(node, 1.0, FIRST)
    send_statement(node, 1.2, UpstreamStatement(retry_after_s=90.0))
    for now in (20.0, 40.0, 60.0):
        read_list(node, now, None)
    read_list(node, 61.0, FIRST)
    assert_blocked(send(node, 61.1), 30.0)


def test_next_incarnation_ignores_retry_after_of_previous_one() -> None:
    node = build_node()
    read_list(node, 1.0, FIRST)
    send_statement(node, 1.2, RETRY_LATER)
    read_list(node, 2.0, SECOND)
    assert isinstance(send(node, 2.1), Assign)


def test_leaving_stated_while_list_entry_is_missing_is_kept() -> None:
    node = build_node()
    read_list(node, 1.0, FIRST)
    send(node, 1.0)
    # This is what a list without the entry does while requests run at the upstream.
    node.dispatchers_by_service["registry"].upstreams_by_name["u"].leaving = True
    send_statement(node, 1.5, LEAVING)
    read_list(node, 2.0, FIRST)
    assert_refused(send(node, 2.1))
