"""Tests of slots limited by own and reported load, and of cold upstreams."""

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
MAX_REQUESTS = 2 * SLOTS
"""As many requests may wait as run."""


def start(slots: ReportedSlots, count: int, now: float = 0.0) -> None:
    for number in range(count):
        slots.start(ticket=number, now=now, deadline=now + 1.0)


def test_own_requests_may_fill_slots_and_queue_of_same_length() -> None:
    slots = ReportedSlots(slots=SLOTS)
    assert slots.own_allowance(0.0) == MAX_REQUESTS


def test_reported_load_of_others_reduces_allowance_and_decays() -> None:
    slots = ReportedSlots(slots=SLOTS)
    start(slots, 1)
    slots.record_reported_load(4, 0.0)
    assert slots.load(0.0) == 4
    assert slots.own_allowance(0.0) == MAX_REQUESTS - 3
    assert slots.load(60.0) < 1.1
    assert slots.own_allowance(60.0) == MAX_REQUESTS


def report_full_service(average_use: AverageUse, now: float, use: float = 2.0) -> None:
    for _ in range(64):
        average_use.record(use, now)


def test_old_report_decays_to_average_of_service() -> None:
    average_use = AverageUse()
    slots = ReportedSlots(slots=SLOTS, average_use=average_use)
    slots.record_reported_load(0, 0.0)
    report_full_service(average_use, 0.0, use=3.0)
    assert slots.load(0.0) < 0.5
    for tenth in range(60):
        report_full_service(average_use, tenth / 10, use=3.0)
    assert slots.load(6.0) > 2.7 * SLOTS
    assert slots.own_allowance(6.0) == 0
    slots.record_reported_load(1, 6.0)
    assert slots.own_allowance(6.0) == MAX_REQUESTS - 1


def test_vm_without_new_reports_retries_full_service() -> None:
    average_use = AverageUse()
    slots = ReportedSlots(slots=SLOTS, average_use=average_use)
    slots.record_reported_load(2 * SLOTS, 0.0)
    report_full_service(average_use, 0.0)
    assert slots.own_allowance(0.0) == 0
    assert slots.own_allowance(2.0) > 0
    assert slots.own_allowance(20.0) == MAX_REQUESTS


def test_upstream_without_any_answer_still_gets_requests() -> None:
    average_use = AverageUse()
    report_full_service(average_use, 0.0, use=5.0)
    slots = ReportedSlots(slots=SLOTS, average_use=average_use)
    assert slots.load(0.0) == SLOTS
    assert slots.own_allowance(0.0) == MAX_REQUESTS - SLOTS


def test_reports_of_one_upstream_raise_estimate_for_others() -> None:
    average_use = AverageUse()
    first = ReportedSlots(slots=SLOTS, average_use=average_use)
    second = ReportedSlots(slots=SLOTS, average_use=average_use)
    for _ in range(64):
        first.record_reported_load(SLOTS, 0.0)
    assert second.load(0.0) > 0.9 * SLOTS


def test_report_below_own_requests_does_not_lower_load() -> None:
    slots = ReportedSlots(slots=SLOTS)
    start(slots, 3)
    slots.record_reported_load(0, 0.0)
    assert slots.load(0.0) == 3


def test_upstream_that_shed_counts_as_full_for_a_time() -> None:
    slots = ReportedSlots(slots=SLOTS)
    start(slots, 1)
    slots.record_shed(0.0)
    assert slots.own_allowance(0.1) == 1
    assert slots.load(0.1) > SLOTS
    assert slots.own_allowance(FULL_AFTER_SHED_S) == MAX_REQUESTS


def test_oldest_start_is_that_of_longest_running_request() -> None:
    slots = ReportedSlots(slots=SLOTS)
    assert slots.oldest_start() is None
    slots.start(ticket=1, now=1.0, deadline=9.0)
    slots.start(ticket=2, now=2.0, deadline=9.0)
    slots.finish(ticket=1)
    assert slots.oldest_start() == 2.0


@given(
    per_s=st.floats(1.0, 50.0),
    vms=st.integers(1, 40),
    gaps=st.lists(st.floats(0.0, 0.2), min_size=1, max_size=300),
)
def test_all_entry_vms_together_respect_rate_of_cold_upstream(
    per_s: float, vms: int, gaps: list[float]
) -> None:
    names = [f"vm-{number}" for number in range(vms)]
    limiters = [
        ColdLimiter(
            rate_per_s=cold_rate_share(
                vm=name, others=names, upstream="u", total_rate_per_s=per_s
            ),
            until=1e9,
        )
        for name in names
    ]
    now, sent = 1.0, []
    for gap in gaps:
        now += gap
        for limiter in limiters:
            if limiter.allows(now):
                limiter.record_sent(now)
                sent.append(now)
    for first in sent:
        sent_in_a_second = sum(first <= each < first + 1.0 for each in sent)
        assert sent_in_a_second <= MAX_COLD_SENDERS + per_s + 1e-6


def test_warm_upstream_is_not_limited() -> None:
    limiter = ColdLimiter(rate_per_s=0.0, until=5.0)
    assert not limiter.allows(4.9)
    assert limiter.allows(5.0)


def test_cached_rates_match_current_members() -> None:
    members = tuple(f"vm-{number}" for number in range(3 * MAX_COLD_SENDERS))
    cache = ColdRateCache(vm=members[0])
    names = [f"u{number}" for number in range(20)]
    for others in (members, members, members[:MAX_COLD_SENDERS], members):
        for per_s in (8.0, 16.0):
            assert [
                cache.rate_per_s(name, members=others, total_rate_per_s=per_s)
                for name in names
            ] == [
                cold_rate_share(
                    vm=members[0], others=others, upstream=name, total_rate_per_s=per_s
                )
                for name in names
            ]


def test_cache_of_rates_is_bounded_when_upstreams_change() -> None:
    cache = ColdRateCache(vm="a")
    members = ("a", "b")
    for number in range(2 * MAX_CACHED_RATES):
        cache.rate_per_s(f"u{number}", members=members, total_rate_per_s=1.0)
    assert len(cache._rate_by_key) <= MAX_CACHED_RATES
