"""Dispatchers beside upstreams that name a limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import Reject
from plankspindle_daemon.dispatch.messages import RejectReason
from plankspindle_daemon.dispatch.messages import RequestArrived
from plankspindle_daemon.dispatch.messages import RequestToken
from plankspindle_daemon.dispatch.messages import TimePassed
from plankspindle_daemon.upstreams.fleet_limiter import TOKEN_LIFETIME_S
from plankspindle_daemon.upstreams.fleet_limiter import TOKEN_WAIT_S
from plankspindle_daemon.upstreams.fleet_limiter import FleetLimiter
from plankspindle_daemon.upstreams.fleet_limiter import incarnation_id_of
from plankspindle_testkit.builders import build_reporting_dispatcher
from plankspindle_testkit.builders import build_ticket

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.dispatcher import Dispatcher

NOW = 10.0
HOLD_UNTIL = NOW + 0.3


def limit(dispatcher: Dispatcher, *names: str) -> list[FleetLimiter]:
    gates = [FleetLimiter(limit_per_s=2.0, announced_at=NOW) for _ in names]
    for name, gate in zip(names, gates, strict=True):
        state = dispatcher.upstreams_by_name[name]
        state.limiter_by_incarnation = {
            incarnation_id_of(name, state.incarnation): gate
        }
    return gates


def arrive(dispatcher: Dispatcher, number: int, now: float = NOW) -> list[object]:
    ticket = build_ticket(number, deadline=NOW + 5, hold_until=HOLD_UNTIL)
    return [*dispatcher.handle(RequestArrived(ticket), now)]


def test_a_request_waits_for_a_token_where_no_other_upstream_is() -> None:
    dispatcher = build_reporting_dispatcher("u")
    (gate,) = limit(dispatcher, "u")
    assert arrive(dispatcher, 1) == [RequestToken(upstream="u", incarnation=0)]
    assert gate.has_pending_request(NOW)
    assert dispatcher.handle(TimePassed(), NOW + 0.01) == []
    gate.add_token(NOW + 0.01)
    (assigned,) = dispatcher.handle(TimePassed(), NOW + 0.01)
    assert isinstance(assigned, Assign)
    assert not gate.has_token(NOW + 0.01)


def test_a_request_goes_elsewhere_at_once_where_another_upstream_has_room() -> None:
    dispatcher = build_reporting_dispatcher("u", "v")
    limit(dispatcher, "u")
    (assigned,) = arrive(dispatcher, 1)
    assert isinstance(assigned, Assign)
    assert assigned.upstream == "v"


def test_a_request_that_no_limit_leaves_room_for_is_rejected_at_once() -> None:
    dispatcher = build_reporting_dispatcher("u", "v")
    first, second = limit(dispatcher, "u", "v")
    first.block(NOW + 3.0)
    second.block(NOW + 2.0)
    (rejected,) = arrive(dispatcher, 1)
    assert isinstance(rejected, Reject)
    assert rejected.reason is RejectReason.WITHHELD
    assert 2.0 <= rejected.retry_after_s <= 3.0


def test_an_unused_token_ends() -> None:
    gate = FleetLimiter(limit_per_s=2.0, announced_at=NOW)
    gate.add_token(NOW)
    assert gate.has_token(NOW + TOKEN_LIFETIME_S - 0.01)
    assert not gate.has_token(NOW + TOKEN_LIFETIME_S)


def test_a_lost_answer_holds_no_request_up_for_long() -> None:
    gate = FleetLimiter(limit_per_s=2.0, announced_at=NOW)
    gate.record_token_request(NOW)
    assert gate.has_pending_request(NOW + TOKEN_WAIT_S / 2)
    assert not gate.may_request_token(NOW + TOKEN_WAIT_S / 2)
    assert gate.may_request_token(NOW + TOKEN_WAIT_S)


def test_no_token_is_asked_for_where_a_request_may_not_run() -> None:
    dispatcher = build_reporting_dispatcher("u")
    limit(dispatcher, "u")
    ticket = build_ticket(
        1, deadline=NOW + 5, hold_until=HOLD_UNTIL, regions=frozenset({"elsewhere"})
    )
    (rejected,) = dispatcher.handle(RequestArrived(ticket), NOW)
    assert isinstance(rejected, Reject)
    assert rejected.reason is RejectReason.NO_UPSTREAM


def test_a_retry_waits_for_no_token() -> None:
    dispatcher = build_reporting_dispatcher("u", "v")
    limit(dispatcher, "u")
    ticket = build_ticket(
        1, deadline=NOW + 5, hold_until=HOLD_UNTIL, excluded=frozenset({"v"})
    )
    assert not any(
        isinstance(each, RequestToken)
        for each in dispatcher.handle(RequestArrived(ticket), NOW)
    )
