"""Tests of noticing what is believed newly."""

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


def test_an_upstream_is_told_of_when_its_standing_changes_with_what_was_seen() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 4})
    watch = UpstreamMonitor()
    by_service = {"registry": dispatcher}
    assert watch.observe(by_service, NOW) == []
    for number in range(3):
        ended = AttemptCompleted(
            ticket=build_ticket(number),
            upstream="u",
            outcome=AttemptOutcome.UNREACHABLE,
            cause="no connection: refused",
        )
        dispatcher.handle(ended, NOW)
    (lost,) = watch.observe(by_service, NOW + 0.5)
    assert lost.event == "upstream_standing"
    assert (lost.fields["was"], lost.fields["now"]) == ("well", "backed-off")
    assert lost.fields["seen"] == "unreachable: no connection: refused"
    assert lost.fields["seen_ms_ago"] == 500
    assert watch.ejections_by_service == {"registry": 1}
    assert watch.observe(by_service, NOW + 0.6) == []
    del dispatcher.upstreams_by_name["u"]
    (gone,) = watch.observe(by_service, NOW + 1.0)
    assert (gone.fields["was"], gone.fields["now"]) == ("backed-off", "gone")


def test_members_and_whole_domains_are_told_of_when_they_fall_silent_and_return() -> (
    None
):
    membership, watch = build_membership("own", all_domains=True), MemberMonitor()
    first = build_member("a", failure_domain="ke-1", last_heartbeat_at=NOW)
    second = build_member("b", failure_domain="ke-1", last_heartbeat_at=NOW)
    membership.members_by_name |= {"a": first, "b": second}
    seen = watch.observe(membership, NOW)
    assert [each.fields["now"] for each in seen] == ["heard", "heard"]
    first.last_heartbeat_at = NOW - 50
    (suspected,) = watch.observe(membership, NOW)
    assert suspected.fields["now"] == "suspected"
    assert suspected.fields["silent_ms"] == 50_000
    second.last_heartbeat_at = NOW - 50
    events = [each.event for each in watch.observe(membership, NOW)]
    assert events == ["member_standing", "domain_lost"]
    first.last_heartbeat_at = NOW
    events = [each.event for each in watch.observe(membership, NOW)]
    assert events == ["member_standing", "domain_regained"]
    del membership.members_by_name["b"]
    (removed,) = watch.observe(membership, NOW)
    assert removed.fields["now"] == "removed"


def test_a_restart_of_a_member_is_told_of() -> None:
    membership, watch = build_membership("own", all_domains=True), MemberMonitor()
    member = build_member("a", failure_domain="ke-1", last_heartbeat_at=NOW)
    membership.members_by_name["a"] = member
    watch.observe(membership, NOW)
    member.incarnation = 7
    (told,) = watch.observe(membership, NOW)
    assert told.fields["restarted"]


@pytest.mark.parametrize("failures", [2, 3])
def test_a_platform_that_goes_is_told_of_once(failures: int) -> None:
    calls, watch = BoundedCalls(timeout_s=1.0), StatusMonitor()
    for _ in range(failures):
        calls.breaker.record(failed=True, now=NOW)
    calls.last_failure = "status 503"
    lost = list(watch._platform_changes(calls, NOW))
    assert [each.event for each in lost] == ["platform_lost"] * (failures - 2)
    assert not list(watch._platform_changes(calls, NOW))
    calls.breaker.record(failed=False, now=NOW)
    regained = list(watch._platform_changes(calls, NOW + 1.5))
    assert [each.fields for each in regained] == [{"away_ms": 1_500}] * (failures - 2)


def test_random_state_is_untouched_by_watching() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 4})
    before = dispatcher.random.getstate()
    UpstreamMonitor().observe({"registry": dispatcher}, NOW)
    assert dispatcher.random.getstate() == before


def test_keys_that_begin_to_leave_the_region_are_told_of_with_how_busy_it_is() -> None:
    dispatcher = build_reported_slots_dispatcher("u")
    watch = PlanMonitor()
    by_service = {"registry": dispatcher}
    assert list(watch.observe(by_service)) == []
    plan = dispatcher.placement.plan
    plan.update(local_slots=6.0, remote_slots=66.0, vm_share=1 / 3)
    (told,) = watch.observe(by_service)
    assert told.event == "keys_leaving_region"
    assert told.fields["service"] == "registry"
    assert (told.fields["was"], told.fields["now"]) == (0.0, 0.75)
    assert list(watch.observe(by_service)) == []


def test_what_an_upstream_states_of_itself_is_told_when_it_changes() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 4})
    watch, by_service = UpstreamMonitor(), {"registry": dispatcher}

    def state(statement: UpstreamStatement) -> list[StatusChange]:
        stated = StatementReceived(
            upstream="u", incarnation=0, statement=statement, sent_at=NOW - 0.1
        )
        dispatcher.handle(stated, NOW)
        return watch.observe(by_service, NOW)

    (named,) = state(UpstreamStatement(limit_per_s=4.6))
    assert named.event == "upstream_stated"
    assert named.fields["limit_per_s"] == 4.6
    assert state(UpstreamStatement(limit_per_s=4.6)) == []
    (unread,) = state(UpstreamStatement(unreadable=("x: b'-1'",)))
    assert unread.fields["unreadable"] == "x: b'-1'"
    assert dispatcher.statements_unreadable == 1
