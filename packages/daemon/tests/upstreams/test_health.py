"""Tests of the health of an upstream."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import AttemptCompleted
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.dispatch.messages import RequestArrived
from plankspindle_daemon.upstreams.health import MAX_BACK_OFF_S
from plankspindle_daemon.upstreams.health import RAMP_S
from plankspindle_daemon.upstreams.health import BackedOff
from plankspindle_daemon.upstreams.health import UpstreamHealth
from plankspindle_daemon.upstreams.health import Warm
from plankspindle_testkit.builders import build_dispatcher
from plankspindle_testkit.builders import build_ticket

if TYPE_CHECKING:
    from plankspindle_daemon.admission.ticket import Ticket

SHARE = 9


def build_health() -> UpstreamHealth:
    return UpstreamHealth(random=Random(1), state=Warm(), needs_probe=False)


def back_off(health: UpstreamHealth, now: float) -> float:
    """Back off the upstream, and return when a probe attempt is allowed."""
    health.record_failure(now)
    assert isinstance(health.state, BackedOff)
    return health.state.until


def test_backed_off_upstream_gets_one_probe_attempt_until_it_answers() -> None:
    health = build_health()
    until = back_off(health, 0.0)
    assert health.usable_share(SHARE, until - 0.01) == 0
    assert health.usable_share(SHARE, until) == 1
    assert health.usable_share(SHARE, until + 10 * RAMP_S) == 1
    health.record_success(until + 10 * RAMP_S)
    assert health.usable_share(SHARE, until + 10 * RAMP_S) == 1
    assert health.usable_share(SHARE, until + 11 * RAMP_S) == SHARE


@pytest.mark.parametrize("failure", ["timeout", "connection-loss"])
def test_first_failure_of_probe_attempt_extends_back_off(failure: str) -> None:
    health = build_health()
    now, waits = 0.0, []
    until = back_off(health, now)
    for _ in range(12):
        assert health.usable_share(SHARE, until) == 1
        now = until + 2.0
        if failure == "timeout":
            health.record_timeout(now)
        else:
            health.record_connection_loss(now)
        assert isinstance(health.state, BackedOff)
        waits.append(health.state.until - now)
        until = health.state.until
    assert max(waits) > 20 * waits[0]
    assert max(waits) <= MAX_BACK_OFF_S


def test_single_timeout_does_not_back_off_warm_upstream() -> None:
    health = build_health()
    health.record_success(0.0)
    health.record_timeout(5.0)
    assert isinstance(health.state, Warm)


def ended(
    ticket: Ticket, verdict: AttemptOutcome, waited_s: float | None = None
) -> AttemptCompleted:
    return AttemptCompleted(
        ticket=ticket, upstream="u", outcome=verdict, waited_s=waited_s
    )


@pytest.mark.parametrize(("waited_s", "counts"), [(0.15, False), (3.0, True)])
def test_cancellation_counts_as_failure_only_after_long_wait(
    waited_s: float, counts: bool
) -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 4})
    for number in range(3):
        ticket = build_ticket(number, deadline=100.0)
        (assigned,) = dispatcher.handle(RequestArrived(ticket), 10.0)
        assert isinstance(assigned, Assign)
    for number in range(3):
        ticket = build_ticket(number, deadline=100.0)
        left = ended(ticket, AttemptOutcome.CANCELLED, waited_s)
        dispatcher.handle(left, 10.0 + waited_s)
    state = dispatcher.upstreams_by_name["u"].health.state
    assert isinstance(state, BackedOff) is counts


def test_cancellations_do_not_back_off_upstream_that_answers_others() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 4})
    for number in range(4):
        dispatcher.handle(RequestArrived(build_ticket(number, deadline=100.0)), 10.0)
    answered = ended(build_ticket(3, deadline=100.0), AttemptOutcome.ANSWERED)
    dispatcher.handle(answered, 12.0)
    for number in range(3):
        ticket = build_ticket(number, deadline=100.0)
        dispatcher.handle(ended(ticket, AttemptOutcome.CANCELLED, 3.0), 13.0)
    assert isinstance(dispatcher.upstreams_by_name["u"].health.state, Warm)
