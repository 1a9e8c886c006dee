"""Tests of the retry budget."""

from __future__ import annotations

from plankspindle_daemon.retries.retry_budget import DEFAULT_BURST
from plankspindle_daemon.retries.retry_budget import RetryBudget


def test_retries_are_limited_to_a_share_of_fresh_requests() -> None:
    budget = RetryBudget(percent=10)
    acquired = 0
    for _ in range(10_000):
        budget.record_fresh()
        acquired += budget.acquire()
    assert acquired <= DEFAULT_BURST + 1_000
    assert acquired >= 1_000


def test_lowered_budget_limits_retries_without_violating_the_invariant() -> None:
    budget = RetryBudget(percent=50, burst=1_000.0)
    for _ in range(1_000):
        budget.record_fresh()
    assert sum(budget.acquire() for _ in range(300)) == 300
    budget.percent = 5
    budget.burst = DEFAULT_BURST
    budget.record_fresh()
    assert sum(budget.acquire() for _ in range(100)) == DEFAULT_BURST


def test_only_the_burst_is_available_without_fresh_requests() -> None:
    budget = RetryBudget(percent=100)
    assert sum(budget.acquire() for _ in range(100)) == DEFAULT_BURST
