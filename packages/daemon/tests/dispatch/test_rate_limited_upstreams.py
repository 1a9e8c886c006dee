"""Tests of the dispatcher with upstreams that state a rate limit."""

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
from plankspindle_testkit.builders import build_reported_slots_dispatcher
from plankspindle_testkit.builders import build_ticket

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.dispatcher import Dispatcher

NOW = 10.0
HOLD_UNTIL = NOW + 0.3


def limit(dispatcher: Dispatcher, *names: str) -> list[FleetLimiter]:
    limiters = [FleetLimiter(limit_per_s=2.0, announced_at=NOW) for _ in names]
    for name, limiter in zip(names, limiters, strict=True):
        state = dispatcher.upstreams_by_name[name]
        state.limiter_by_incarnation = {
            incarnation_id_of(name, state.incarnation): limiter
        }
    return limiters


def arrive(dispatcher: Dispatcher, number: int, now: float = NOW) -> list[object]:
    ticket = build_ticket(number, deadline=NOW + 5, queue_deadline=HOLD_UNTIL)
    return [*dispatcher.handle(RequestArrived(ticket), now)]


def test_request_waits_for_token_without_another_upstream() -> None:
    dispatcher = build_reported_slots_dispatcher("u")
    (limiter,) = limit(dispatcher, "u")
    assert arrive(dispatcher, 1) == [RequestToken(upstream="u", incarnation=0)]
    assert limiter.has_pending_request(NOW)
    assert dispatcher.handle(TimePassed(), NOW + 0.01) == []
    limiter.add_token(NOW + 0.01)
    (assigned,) = dispatcher.handle(TimePassed(), NOW + 0.01)
    assert isinstance(assigned, Assign)
    assert not limiter.has_token(NOW + 0.01)


def test_request_goes_to_unlimited_upstream_without_waiting() -> None:
    dispatcher = build_reported_slots_dispatcher("u", "v")
    limit(dispatcher, "u")
    (assigned,) = arrive(dispatcher, 1)
    assert isinstance(assigned, Assign)
    assert assigned.upstream == "v"


def test_request_is_rejected_on_arrival_if_all_limits_are_exhausted() -> None:
    dispatcher = build_reported_slots_dispatcher("u", "v")
    first, second = limit(dispatcher, "u", "v")
    first.block(NOW + 3.0)
    second.block(NOW + 2.0)
    (rejected,) = arrive(dispatcher, 1)
    assert isinstance(rejected, Reject)
    assert rejected.reason is RejectReason.WITHHELD
    assert 2.0 <= rejected.retry_after_s <= 3.0


def test_unused_token_expires() -> None:
    limiter = FleetLimiter(limit_per_s=2.0, announced_at=NOW)
    limiter.add_token(NOW)
    assert limiter.has_token(NOW + TOKEN_LIFETIME_S - 0.01)
    assert not limiter.has_token(NOW + TOKEN_LIFETIME_S)


def test_token_can_be_requested_again_after_a_lost_answer() -> None:
    limiter = FleetLimiter(limit_per_s=2.0, announced_at=NOW)
    limiter.record_token_request(NOW)
    assert limiter.has_pending_request(NOW + TOKEN_WAIT_S / 2)
    assert not limiter.may_request_token(NOW + TOKEN_WAIT_S / 2)
    assert limiter.may_request_token(NOW + TOKEN_WAIT_S)


def test_no_token_is_requested_for_a_forbidden_region() -> None:
    dispatcher = build_reported_slots_dispatcher("u")
    limit(dispatcher, "u")
    ticket = build_ticket(
        1,
        deadline=NOW + 5,
        queue_deadline=HOLD_UNTIL,
        allowed_regions=frozenset({"elsewhere"}),
    )
    (rejected,) = dispatcher.handle(RequestArrived(ticket), NOW)
    assert isinstance(rejected, Reject)
    assert rejected.reason is RejectReason.NO_UPSTREAM


def test_retry_does_not_wait_for_a_token() -> None:
    dispatcher = build_reported_slots_dispatcher("u", "v")
    limit(dispatcher, "u")
    ticket = build_ticket(
        1,
        deadline=NOW + 5,
        queue_deadline=HOLD_UNTIL,
        excluded_upstreams=frozenset({"v"}),
    )
    assert not any(
        isinstance(each, RequestToken)
        for each in dispatcher.handle(RequestArrived(ticket), NOW)
    )
