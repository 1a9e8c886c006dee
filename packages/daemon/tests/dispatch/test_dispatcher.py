"""Tests of the dispatcher: queueing, deadlines, slots, probes, loans and health."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.dispatch import messages as d
from plankspindle_daemon.peer_messages.slot_messages import SlotRequest
from plankspindle_daemon.upstreams.health import BackedOff
from plankspindle_daemon.upstreams.health import Ramping
from plankspindle_daemon.upstreams.load_report import LoadReport
from plankspindle_testkit.builders import build_dispatcher
from plankspindle_testkit.builders import build_reported_slots_dispatcher
from plankspindle_testkit.builders import build_ticket

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.dispatcher import Dispatcher

WALL = 1000.0


def arrive(dispatcher: Dispatcher, number: int, now: float = 0.0, **fields: object):  # noqa: ANN201
    return dispatcher.handle(d.RequestArrived(build_ticket(number, **fields)), now)


def assigned(effects: list[d.DispatchEffect]) -> list[tuple[int, str]]:
    return [(e.ticket.id, e.upstream) for e in effects if isinstance(e, d.Assign)]


def rejected(effects: list[d.DispatchEffect]) -> list[tuple[int, d.RejectReason]]:
    return [(e.ticket.id, e.reason) for e in effects if isinstance(e, d.Reject)]


def complete(
    dispatcher: Dispatcher,
    number: int,
    upstream: str,
    now: float,
    outcome: d.AttemptOutcome = d.AttemptOutcome.ANSWERED,
    duration_s: float = 0.1,
) -> list[d.DispatchEffect]:
    completed = d.AttemptCompleted(
        ticket=build_ticket(number),
        upstream=upstream,
        outcome=outcome,
        head_s=duration_s,
        total_s=duration_s,
    )
    return dispatcher.handle(completed, now)


def test_higher_class_is_assigned_first_and_fifo_within_class() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 1})
    arrive(dispatcher, 1)
    for number, rank in ((2, 2), (3, 0), (4, 1), (5, 0)):
        assert not assigned(arrive(dispatcher, number, rank=rank))
    order = []
    running = 1
    for step in range(4):
        effects = complete(dispatcher, running, "u", 0.1 * (step + 1))
        running = assigned(effects)[0][0]
        order.append(running)
    assert order == [3, 5, 4, 2]


def test_full_queue_evicts_lowest_class() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 1}, queue_limit=2)
    for number, rank in ((1, 0), (2, 2), (3, 1)):
        arrive(dispatcher, number, rank=rank)
    assert rejected(arrive(dispatcher, 4, rank=0)) == [(2, d.RejectReason.EVICTED)]
    assert rejected(arrive(dispatcher, 5, rank=1)) == [(5, d.RejectReason.QUEUE_FULL)]


def test_request_that_would_miss_its_deadline_is_rejected_on_arrival() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 1})
    arrive(dispatcher, 1)
    complete(dispatcher, 1, "u", 1.0, duration_s=1.0)
    arrive(dispatcher, 2, now=1.0, deadline=20.0)
    for number in range(3, 8):
        arrive(dispatcher, number, now=1.0, deadline=20.0)
    effects = arrive(dispatcher, 9, now=1.0, deadline=4.0)
    assert rejected(effects) == [(9, d.RejectReason.TOO_LATE)]
    reject = effects[0]
    assert isinstance(reject, d.Reject)
    assert reject.retry_after_s > 1.0


def test_waiting_request_is_rejected_once_too_little_time_is_left() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 1})
    arrive(dispatcher, 1)
    arrive(dispatcher, 2, deadline=1.0)
    assert not rejected(dispatcher.handle(d.TimePassed(), 0.84))
    effects = dispatcher.handle(d.TimePassed(), 0.86)
    assert rejected(effects) == [(2, d.RejectReason.TOO_LATE)]


def test_slot_limits_are_never_exceeded() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 2, "v": 3})
    started = [assigned(arrive(dispatcher, number)) for number in range(20)]
    assert sum(map(len, started)) == 5


def test_false_idle_report_attracts_no_extra_requests() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"correct": 20, "misreporting": 20})
    for name, in_flight in (("correct", 10), ("misreporting", 0)):
        report = LoadReport(in_flight=in_flight, slots=20)
        dispatcher.handle(
            d.ProbeCompleted(upstream=name, report=report, wall=WALL), 0.0
        )
    chosen = [assigned(arrive(dispatcher, number))[0][1] for number in range(30)]
    assert 15 <= chosen.count("misreporting") <= 20
    assert dispatcher.upstreams_by_name["misreporting"].ledger.in_flight <= 20


def test_stale_load_report_is_ignored() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 20, "v": 20})
    report = LoadReport(in_flight=20, slots=20)
    dispatcher.handle(d.ProbeCompleted(upstream="u", report=report, wall=WALL), 0.0)
    fresh = [assigned(arrive(dispatcher, n, now=1.0))[0][1] for n in range(4)]
    assert "u" not in fresh[:1]
    later = [
        assigned(arrive(dispatcher, n, now=9.0, deadline=99.0))[0][1]
        for n in range(10, 20)
    ]
    assert abs(later.count("u") - later.count("v")) <= 4


def test_leaving_upstream_gets_no_new_requests_but_finishes_running_ones() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 2, "v": 1})
    for number in range(3):
        arrive(dispatcher, number)
    report = LoadReport(leaving=True)
    dispatcher.handle(d.ProbeCompleted(upstream="u", report=report, wall=WALL), 0.1)
    assert not assigned(arrive(dispatcher, 9))
    in_u = list(dispatcher.upstreams_by_name["u"].ledger.deadlines_by_ticket)
    assert len(in_u) == 2
    assert not assigned(complete(dispatcher, in_u[0], "u", 0.2))
    in_v = list(dispatcher.upstreams_by_name["v"].ledger.deadlines_by_ticket)
    assert assigned(complete(dispatcher, in_v[0], "v", 0.3)) == [(9, "v")]


def test_request_is_rejected_on_arrival_without_any_upstream() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 2})
    dispatcher.upstreams_by_name["u"].leaving = True
    effects = arrive(dispatcher, 1)
    assert rejected(effects) == [(1, d.RejectReason.NO_UPSTREAM)]


def test_request_avoids_upstream_that_leaves_before_its_expected_end() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"leaves": 9, "stays": 1})
    report = LoadReport(leaves_at=WALL + 5.0)
    dispatcher.handle(
        d.ProbeCompleted(upstream="leaves", report=report, wall=WALL), 0.0
    )
    long_request = arrive(dispatcher, 1, expected_s=60.0, deadline=120.0)
    assert assigned(long_request) == [(1, "stays")]
    assert not assigned(arrive(dispatcher, 2, expected_s=60.0, deadline=120.0))
    assert assigned(arrive(dispatcher, 3, expected_s=0.1)) == [(3, "leaves")]


def test_no_request_is_assigned_after_a_pause_until_a_probe_is_answered() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 2})
    effects = dispatcher.handle(d.ProcessPaused(), 100.0)
    assert [e.upstream for e in effects if isinstance(e, d.SendProbe)] == ["u"]
    ledger = dispatcher.upstreams_by_name["u"].ledger
    assert ledger.share == 0
    ledger.grow_share(2)
    assert not assigned(arrive(dispatcher, 1, now=100.0, deadline=110.0))
    report = LoadReport(leaving=True)
    probed = d.ProbeCompleted(upstream="u", report=report, wall=WALL)
    assert not assigned(dispatcher.handle(probed, 100.1))
    probed = d.ProbeCompleted(upstream="u", report=LoadReport(), wall=WALL)
    assert assigned(dispatcher.handle(probed, 101.0)) == [(1, "u")]


@pytest.mark.parametrize("outcome", [d.AttemptOutcome.SHED, d.AttemptOutcome.FAILED])
def test_failing_upstream_returns_after_probe_and_ramps_up(
    outcome: d.AttemptOutcome,
) -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 9})
    arrive(dispatcher, 1)
    complete(dispatcher, 1, "u", 0.0, outcome)
    upstream = dispatcher.upstreams_by_name["u"]
    assert isinstance(upstream.health.state, BackedOff)
    assert not assigned(arrive(dispatcher, 2, now=0.01))
    effects = dispatcher.handle(d.TimePassed(), 0.5)
    assert any(isinstance(effect, d.SendProbe) for effect in effects)
    probed = d.ProbeCompleted(upstream="u", report=LoadReport(), wall=WALL)
    assert len(assigned(dispatcher.handle(probed, 0.5))) == 1
    assert isinstance(upstream.health.state, Ramping)
    assert not assigned(arrive(dispatcher, 3, now=0.5))
    assert upstream.usable_slots(1.5) == 5
    assert upstream.usable_slots(2.5) == 9


def test_only_consecutive_timeouts_back_off_an_upstream() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 9})
    health = dispatcher.upstreams_by_name["u"].health
    for number, outcome in enumerate(
        [
            d.AttemptOutcome.TIMED_OUT,
            d.AttemptOutcome.TIMED_OUT,
            d.AttemptOutcome.ANSWERED,
        ]
        * 3
    ):
        arrive(dispatcher, number)
        complete(dispatcher, number, "u", 0.1, outcome)
        assert not isinstance(health.state, BackedOff)
    for number in range(10, 13):
        arrive(dispatcher, number)
        complete(dispatcher, number, "u", 1.0, d.AttemptOutcome.TIMED_OUT)
    assert not isinstance(health.state, BackedOff)
    arrive(dispatcher, 13, now=1.1)
    complete(dispatcher, 13, "u", 1.1, d.AttemptOutcome.TIMED_OUT)
    assert isinstance(health.state, BackedOff)


def test_back_off_grows_while_probes_cannot_connect() -> None:
    dispatcher = build_dispatcher(slots_by_upstream={"u": 9})
    health = dispatcher.upstreams_by_name["u"].health
    waits = []
    now = 0.0
    unreachable = d.ProbeCompleted(upstream="u", report=None, wall=WALL, reached=False)
    for _ in range(8):
        dispatcher.handle(unreachable, now)
        assert isinstance(health.state, BackedOff)
        waits.append(health.state.until - now)
        now = health.state.until
    assert waits[0] <= 0.2
    assert 5.0 <= waits[-1] <= 10.0


def test_idle_slots_are_lent_once_and_return_when_the_loan_expires() -> None:
    lender = build_dispatcher(slots_by_upstream={"u": 4}, vm="lender")
    request = SlotRequest(
        sender="borrower",
        request_id=5,
        upstream="u",
        count=4,
        duration_ms=1000,
        incarnation=9,
    )
    requested = d.SlotsRequested(request=request, reply_to=Endpoint("127.0.0.1", 1))
    granted = lender.handle(requested, 0.0)
    assert [e.grant.count for e in granted if isinstance(e, d.GrantSlots)] == [2]
    assert lender.handle(requested, 0.0) == []
    assert lender.free_slots(0.5) == 2
    assert lender.free_slots(1.1) == 4


def test_borrowed_slots_run_only_requests_that_end_before_the_loan() -> None:
    borrower = build_dispatcher(slots_by_upstream={"u": 4})
    borrower.upstreams_by_name["u"].ledger.share = 1
    arrive(borrower, 1)
    effects = arrive(borrower, 2, deadline=0.8)
    requests = [e.request for e in effects if isinstance(e, d.RequestSlots)]
    assert len(requests) == 1
    lender = build_dispatcher(slots_by_upstream={"u": 4}, vm="lender")
    requested = d.SlotsRequested(request=requests[0], reply_to=Endpoint("127.0.0.1", 1))
    grants = [e for e in lender.handle(requested, 0.0) if isinstance(e, d.GrantSlots)]
    effects = borrower.handle(d.SlotsGranted(grants[0].grant), 0.1)
    assert assigned(effects) == [(2, "u")]
    assert borrower.handle(d.SlotsGranted(grants[0].grant), 0.1) == []
    assert not assigned(arrive(borrower, 3, now=0.2, deadline=5.0))


def test_same_seed_gives_same_choices() -> None:
    def choices() -> list[tuple[int, str]]:
        dispatcher = build_dispatcher(slots_by_upstream={"u": 5, "v": 5, "w": 5})
        dispatcher.random = Random(3)
        return [assigned(arrive(dispatcher, number))[0] for number in range(10)]

    assert choices() == choices()


def test_request_is_rejected_with_retry_after_when_its_hold_time_ends() -> None:
    dispatcher = build_reported_slots_dispatcher("u")
    for number in range(2):
        assert assigned(arrive(dispatcher, number))
    assert not arrive(dispatcher, 9, queue_deadline=0.2)
    assert not rejected(dispatcher.handle(d.TimePassed(), 0.1))
    effects = dispatcher.handle(d.TimePassed(), 0.2)
    assert rejected(effects) == [(9, d.RejectReason.BUSY)]
    assert isinstance(effects[0], d.Reject)
    assert effects[0].retry_after_s >= 0.3


def test_request_runs_only_in_its_permitted_regions() -> None:
    dispatcher = build_reported_slots_dispatcher("u")
    assert assigned(arrive(dispatcher, 1, allowed_regions=frozenset({"bratislava"})))
    effects = arrive(dispatcher, 2, allowed_regions=frozenset({"kosice"}))
    assert rejected(effects) == [(2, d.RejectReason.NO_UPSTREAM)]


def test_shedding_upstream_is_avoided_briefly() -> None:
    dispatcher = build_reported_slots_dispatcher("u")
    arrive(dispatcher, 1)
    complete(dispatcher, 1, "u", 0.1, d.AttemptOutcome.SHED)
    assert not assigned(arrive(dispatcher, 2, now=0.2))
    assert assigned(dispatcher.handle(d.TimePassed(), 0.6)) == [(2, "u")]


def test_shedding_upstream_that_reports_free_slots_is_not_avoided() -> None:
    dispatcher = build_reported_slots_dispatcher("u")
    arrive(dispatcher, 1)
    completed = d.AttemptCompleted(
        ticket=build_ticket(1),
        upstream="u",
        outcome=d.AttemptOutcome.SHED,
        reported_load=0,
    )
    dispatcher.handle(completed, 0.1)
    assert assigned(arrive(dispatcher, 2, now=0.2)) == [(2, "u")]


def test_consecutive_connection_losses_back_off_until_one_request_retries() -> None:
    dispatcher = build_reported_slots_dispatcher("u")
    for number in range(3):
        assert assigned(arrive(dispatcher, number, now=0.0))
        complete(dispatcher, number, "u", 0.0, d.AttemptOutcome.FAILED)
    assert not assigned(arrive(dispatcher, 4, now=0.0))
    assert assigned(dispatcher.handle(d.TimePassed(), 0.3)) == [(4, "u")]
    assert not assigned(arrive(dispatcher, 5, now=0.3))


def test_occasional_connection_losses_do_not_back_off() -> None:
    dispatcher = build_reported_slots_dispatcher("u")
    for number in range(12):
        assert assigned(arrive(dispatcher, number, now=0.0))
        is_lost = number % 3 == 0
        outcome = d.AttemptOutcome.FAILED if is_lost else d.AttemptOutcome.ANSWERED
        complete(dispatcher, number, "u", 0.0, outcome)


def test_connect_time_sets_round_trip_time_of_the_domain() -> None:
    dispatcher = build_reported_slots_dispatcher("u")
    ticket = build_ticket(1)
    dispatcher.handle(d.RequestArrived(ticket), 0.0)
    completed = d.AttemptCompleted(
        ticket=ticket,
        upstream="u",
        outcome=d.AttemptOutcome.ANSWERED,
        head_s=0.1,
        total_s=0.1,
        connect_s=0.004,
        reported_load=3,
    )
    dispatcher.handle(completed, 0.1)
    assert dispatcher.placement is not None
    assert dispatcher.placement.distances.rtt_s("ba-1") == 0.004
    assert dispatcher.upstreams_by_name["u"].load(0.1) == 3


def test_retry_waits_beyond_its_hold_time_instead_of_being_rejected() -> None:
    dispatcher = build_reported_slots_dispatcher("u", "v")
    for number in range(4):
        assert assigned(arrive(dispatcher, number))
    retry = build_ticket(9, queue_deadline=0.2).excluding(frozenset({"v"}))
    assert not dispatcher.handle(d.RequestArrived(retry), 0.3)
    assert not rejected(dispatcher.handle(d.TimePassed(), 0.4))
    assert assigned(
        complete(dispatcher, 0, "u", 0.5) + complete(dispatcher, 1, "u", 0.5)
    )


def test_request_can_move_only_to_an_upstream_with_free_slots() -> None:
    single = build_dispatcher(slots_by_upstream={"u": 4})
    assert not single.could_place_elsewhere(build_ticket(1), "u", 0.0)
    full = build_dispatcher(slots_by_upstream={"u": 4, "v": 1})
    assert full.could_place_elsewhere(build_ticket(1), "u", 0.0)
    full.upstreams_by_name["v"].start(ticket=2, now=0.0, deadline=10.0)
    assert not full.could_place_elsewhere(build_ticket(1), "u", 0.0)


def test_upstream_that_answered_misdirected_gets_no_more_requests() -> None:
    dispatcher = build_reported_slots_dispatcher("u", "v")
    ((_, first),) = assigned(arrive(dispatcher, 1))
    complete(dispatcher, 1, first, 0.1, d.AttemptOutcome.MISDIRECTED)
    for number in range(2, 10):
        now = 10.0 * number
        ((_, chosen),) = assigned(arrive(dispatcher, number, now, deadline=now + 9.0))
        assert chosen != first
        complete(dispatcher, number, chosen, now + 0.1)
    misdirected = dispatcher.upstreams_by_name[first]
    misdirected.apply_listing(leaving=False, leaves_at=None, now=99.0, wall_time=99.0)
    assert misdirected.status(99.0).value == "misplaced"
