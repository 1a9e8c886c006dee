"""Tests of the detection of status changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from plankspindle_daemon.dispatch.messages import AttemptCompleted
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.dispatch.messages import StatementReceived
from plankspindle_daemon.platform.bounded_calls import BoundedCalls
from plankspindle_daemon.status_changes.member_monitor import MemberMonitor
from plankspindle_daemon.status_changes.plan_monitor import PlanMonitor
from plankspindle_daemon.status_changes.status_monitor import StatusMonitor
from plankspindle_daemon.status_changes.upstream_monitor import UpstreamMonitor
from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement
from plankspindle_testkit.builders import build_dispatcher
from plankspindle_testkit.builders import build_member
from plankspindle_testkit.builders import build_membership
from plankspindle_testkit.builders import build_reported_slots_dispatcher
from plankspindle_testkit.builders import build_ticket

if TYPE_CHECKING:
    from plankspindle_daemon.status_changes.status_change import StatusChange

NOW = 100.0


def test_status_change_of_upstream_is_reported_with_evidence() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 4})
    monitor = UpstreamMonitor()
    by_service = {"registry": dispatcher}
    assert monitor.observe(by_service, NOW) == []
    for number in range(3):
        ended = AttemptCompleted(
            ticket=build_ticket(number),
            upstream="u",
            outcome=AttemptOutcome.UNREACHABLE,
            cause="no connection: refused",
        )
        dispatcher.handle(ended, NOW)
    (lost,) = monitor.observe(by_service, NOW + 0.5)
    assert lost.event == "upstream_standing"
    assert (lost.fields["was"], lost.fields["now"]) == ("well", "backed-off")
    assert lost.fields["seen"] == "unreachable: no connection: refused"
    assert lost.fields["seen_ms_ago"] == 500
    assert monitor.ejections_by_service == {"registry": 1}
    assert monitor.observe(by_service, NOW + 0.6) == []
    del dispatcher.upstreams_by_name["u"]
    (gone,) = monitor.observe(by_service, NOW + 1.0)
    assert (gone.fields["was"], gone.fields["now"]) == ("backed-off", "gone")


def test_loss_and_return_of_members_and_domains_are_reported() -> None:
    membership, monitor = build_membership("own", all_domains=True), MemberMonitor()
    first = build_member("a", failure_domain="ke-1", last_heartbeat_at=NOW)
    second = build_member("b", failure_domain="ke-1", last_heartbeat_at=NOW)
    membership.members_by_name |= {"a": first, "b": second}
    seen = monitor.observe(membership, NOW)
    assert [each.fields["now"] for each in seen] == ["heard", "heard"]
    first.last_heartbeat_at = NOW - 50
    (suspected,) = monitor.observe(membership, NOW)
    assert suspected.fields["now"] == "suspected"
    assert suspected.fields["silent_ms"] == 50_000
    second.last_heartbeat_at = NOW - 50
    events = [each.event for each in monitor.observe(membership, NOW)]
    assert events == ["member_standing", "domain_lost"]
    first.last_heartbeat_at = NOW
    events = [each.event for each in monitor.observe(membership, NOW)]
    assert events == ["member_standing", "domain_regained"]
    del membership.members_by_name["b"]
    (removed,) = monitor.observe(membership, NOW)
    assert removed.fields["now"] == "removed"


def test_restart_of_member_is_reported() -> None:
    membership, monitor = build_membership("own", all_domains=True), MemberMonitor()
    member = build_member("a", failure_domain="ke-1", last_heartbeat_at=NOW)
    membership.members_by_name["a"] = member
    monitor.observe(membership, NOW)
    member.incarnation = 7
    (change,) = monitor.observe(membership, NOW)
    assert change.fields["restarted"]


@pytest.mark.parametrize("failures", [2, 3])
def test_platform_outage_is_reported_once(failures: int) -> None:
    calls, monitor = BoundedCalls(timeout_s=1.0), StatusMonitor()
    for _ in range(failures):
        calls.breaker.record(failed=True, now=NOW)
    calls.last_failure = "status 503"
    lost = list(monitor._platform_changes(calls, NOW))
    assert [each.event for each in lost] == ["platform_lost"] * (failures - 2)
    assert not list(monitor._platform_changes(calls, NOW))
    calls.breaker.record(failed=False, now=NOW)
    regained = list(monitor._platform_changes(calls, NOW + 1.5))
    assert [each.fields for each in regained] == [{"away_ms": 1_500}] * (failures - 2)


def test_observing_does_not_change_random_state() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 4})
    before = dispatcher.random.getstate()
    UpstreamMonitor().observe({"registry": dispatcher}, NOW)
    assert dispatcher.random.getstate() == before


def test_share_of_keys_leaving_region_is_reported_when_it_changes() -> None:
    dispatcher = build_reported_slots_dispatcher("u")
    monitor = PlanMonitor()
    by_service = {"registry": dispatcher}
    assert list(monitor.observe(by_service)) == []
    plan = dispatcher.placement.plan
    plan.update(local_slots=6.0, remote_slots=66.0, vm_share=1 / 3)
    (change,) = monitor.observe(by_service)
    assert change.event == "keys_leaving_region"
    assert change.fields["service"] == "registry"
    assert (change.fields["was"], change.fields["now"]) == (0.0, 0.75)
    assert list(monitor.observe(by_service)) == []


def test_upstream_statement_is_reported_when_it_changes() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 4})
    monitor, by_service = UpstreamMonitor(), {"registry": dispatcher}

    def state(statement: UpstreamStatement) -> list[StatusChange]:
        stated = StatementReceived(
            upstream="u", incarnation=0, statement=statement, sent_at=NOW - 0.1
        )
        dispatcher.handle(stated, NOW)
        return monitor.observe(by_service, NOW)

    (named,) = state(UpstreamStatement(limit_per_s=4.6))
    assert named.event == "upstream_stated"
    assert named.fields["limit_per_s"] == 4.6
    assert state(UpstreamStatement(limit_per_s=4.6)) == []
    (unreadable,) = state(UpstreamStatement(unreadable=("x: b'-1'",)))
    assert unreadable.fields["unreadable"] == "x: b'-1'"
    assert dispatcher.statements_unreadable == 1
