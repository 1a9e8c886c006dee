"""Tests of slots counted by own and reported load, and of the bound for cold ones."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import given

from plankspindle_daemon.upstreams.average_use import AverageUse
from plankspindle_daemon.upstreams.cold_limiter import MAX_CACHED_RATES
from plankspindle_daemon.upstreams.cold_limiter import MAX_COLD_SENDERS
from plankspindle_daemon.upstreams.cold_limiter import ColdLimiter
from plankspindle_daemon.upstreams.cold_limiter import ColdRateCache
from plankspindle_daemon.upstreams.cold_limiter import cold_rate_share
from plankspindle_daemon.upstreams.reported_slots import FULL_AFTER_SHED_S
from plankspindle_daemon.upstreams.reported_slots import ReportedSlots

SLOTS = 4
MOST = 2 * SLOTS
"""As many requests may wait as run."""


def start(slots: ReportedSlots, count: int, now: float = 0.0) -> None:
    for number in range(count):
        slots.start(ticket=number, now=now, deadline=now + 1.0)


def test_own_requests_may_fill_the_slots_and_a_queue_as_long() -> None:
    slots = ReportedSlots(slots=SLOTS)
    assert slots.own_allowance(0.0) == MOST


def test_what_others_run_leaves_less_and_fades() -> None:
    slots = ReportedSlots(slots=SLOTS)
    start(slots, 1)
    slots.record_reported_load(4, 0.0)
    assert slots.load(0.0) == 4
    assert slots.own_allowance(0.0) == MOST - 3
    assert slots.load(60.0) < 1.1
    assert slots.own_allowance(60.0) == MOST


def report_of_a_full_service(usual: AverageUse, now: float, use: float = 2.0) -> None:
    for _ in range(64):
        usual.record(use, now)


def test_an_old_report_fades_to_what_is_usual_among_the_services_upstreams() -> None:
    usual = AverageUse()
    slots = ReportedSlots(slots=SLOTS, average_use=usual)
    slots.record_reported_load(0, 0.0)
    report_of_a_full_service(usual, 0.0, use=3.0)
    assert slots.load(0.0) < 0.5
    for tenth in range(60):
        report_of_a_full_service(usual, tenth / 10, use=3.0)
    assert slots.load(6.0) > 2.7 * SLOTS
    assert slots.own_allowance(6.0) == 0
    slots.record_reported_load(1, 6.0)
    assert slots.own_allowance(6.0) == MOST - 1


def test_a_vm_that_hears_nothing_more_tries_a_full_service_again() -> None:
    usual = AverageUse()
    slots = ReportedSlots(slots=SLOTS, average_use=usual)
    slots.record_reported_load(2 * SLOTS, 0.0)
    report_of_a_full_service(usual, 0.0)
    assert slots.own_allowance(0.0) == 0
    assert slots.own_allowance(2.0) > 0
    assert slots.own_allowance(20.0) == MOST


def test_an_upstream_that_never_answered_gets_a_request_that_finds_out() -> None:
    usual = AverageUse()
    report_of_a_full_service(usual, 0.0, use=5.0)
    slots = ReportedSlots(slots=SLOTS, average_use=usual)
    assert slots.load(0.0) == SLOTS
    assert slots.own_allowance(0.0) == MOST - SLOTS


def test_reports_of_one_upstream_are_heard_by_the_others() -> None:
    usual = AverageUse()
    first = ReportedSlots(slots=SLOTS, average_use=usual)
    second = ReportedSlots(slots=SLOTS, average_use=usual)
    for _ in range(64):
        first.record_reported_load(SLOTS, 0.0)
    assert second.load(0.0) > 0.9 * SLOTS


def test_a_report_that_tells_less_than_own_requests_gains_nothing() -> None:
    slots = ReportedSlots(slots=SLOTS)
    start(slots, 3)
    slots.record_reported_load(0, 0.0)
    assert slots.load(0.0) == 3


def test_an_upstream_that_shed_gets_nothing_more_for_a_while() -> None:
    slots = ReportedSlots(slots=SLOTS)
    start(slots, 1)
    slots.record_shed(0.0)
    assert slots.own_allowance(0.1) == 1
    assert slots.load(0.1) > SLOTS
    assert slots.own_allowance(FULL_AFTER_SHED_S) == MOST


def test_the_oldest_running_request_is_known() -> None:
    slots = ReportedSlots(slots=SLOTS)
    assert slots.oldest_start() is None
    slots.start(ticket=1, now=1.0, deadline=9.0)
    slots.start(ticket=2, now=2.0, deadline=9.0)
    slots.finish(ticket=1)
    assert slots.oldest_start() == 2.0


@given(
    per_s=st.floats(1.0, 50.0),
    vms=st.integers(1, 40),
    tries=st.lists(st.floats(0.0, 0.2), min_size=1, max_size=300),
)
def test_all_entry_vms_together_keep_the_bound_of_a_cold_upstream(
    per_s: float, vms: int, tries: list[float]
) -> None:
    names = [f"vm-{number}" for number in range(vms)]
    gates = [
        ColdLimiter(
            rate_per_s=cold_rate_share(
                vm=name, others=names, upstream="u", total_rate_per_s=per_s
            ),
            until=1e9,
        )
        for name in names
    ]
    now, sent = 1.0, []
    for gap in tries:
        now += gap
        for gate in gates:
            if gate.allows(now):
                gate.record_sent(now)
                sent.append(now)
    for first in sent:
        in_a_second = sum(first <= each < first + 1.0 for each in sent)
        assert in_a_second <= MAX_COLD_SENDERS + per_s + 1e-6


def test_a_warm_upstream_is_not_bound() -> None:
    gate = ColdLimiter(rate_per_s=0.0, until=5.0)
    assert not gate.allows(4.9)
    assert gate.allows(5.0)


def test_remembered_parts_are_those_of_the_present_members() -> None:
    members = tuple(f"vm-{number}" for number in range(3 * MAX_COLD_SENDERS))
    parts = ColdRateCache(vm=members[0])
    names = [f"u{number}" for number in range(20)]
    for others in (members, members, members[:MAX_COLD_SENDERS], members):
        for per_s in (8.0, 16.0):
            assert [
                parts.rate_per_s(name, members=others, total_rate_per_s=per_s)
                for name in names
            ] == [
                cold_rate_share(
                    vm=members[0], others=others, upstream=name, total_rate_per_s=per_s
                )
                for name in names
            ]


def test_parts_of_upstreams_that_come_and_go_are_forgotten() -> None:
    parts = ColdRateCache(vm="a")
    members = ("a", "b")
    for number in range(2 * MAX_CACHED_RATES):
        parts.rate_per_s(f"u{number}", members=members, total_rate_per_s=1.0)
    assert len(parts._part_by_place) <= MAX_CACHED_RATES
