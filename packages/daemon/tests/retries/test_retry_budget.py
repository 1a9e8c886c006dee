"""Tests of the retry budget."""

from __future__ import annotations

from plankspindle_daemon.retries.retry_budget import DEFAULT_BURST
from plankspindle_daemon.retries.retry_budget import RetryBudget


def test_retries_are_a_share_of_fresh_requests() -> None:
    budget = RetryBudget(percent=10)
    taken = 0
    for _ in range(10_000):
        budget.record_fresh()
        taken += budget.acquire()
    assert taken <= DEFAULT_BURST + 1_000
    assert taken >= 1_000


def test_a_configuration_that_allows_fewer_retries_stops_nothing() -> None:
    budget = RetryBudget(percent=50, burst=1_000.0)
    for _ in range(1_000):
        budget.record_fresh()
    assert sum(budget.acquire() for _ in range(300)) == 300
    budget.percent = 5
    budget.burst = DEFAULT_BURST
    budget.record_fresh()
    assert sum(budget.acquire() for _ in range(100)) == DEFAULT_BURST


def test_without_fresh_requests_only_the_burst_is_left() -> None:
    budget = RetryBudget(percent=100)
    assert sum(budget.acquire() for _ in range(100)) == DEFAULT_BURST
