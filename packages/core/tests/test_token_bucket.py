"""Tests of the token bucket."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from plankspindle_core.token_bucket import TokenBucket


@settings(derandomize=True)
@given(
    per_s=st.floats(0.5, 50.0),
    burst=st.floats(1.0, 20.0),
    gaps=st.lists(st.floats(0.0, 2.0), max_size=100),
)
def test_no_interval_holds_more_than_burst_and_rate_allow(
    per_s: float, burst: float, gaps: list[float]
) -> None:
    bucket = TokenBucket(per_s=per_s, burst=burst)
    now = 0.0
    taken: list[float] = []
    for gap in gaps:
        now += gap
        if bucket.take(now):
            taken.append(now)
    for first in range(len(taken)):
        for last in range(first, len(taken)):
            allowed = burst + per_s * (taken[last] - taken[first])
            assert last - first + 1 <= allowed + 1e-6
    assert len(taken) + bucket.refused == len(gaps)


def test_clock_that_goes_backwards_refills_nothing() -> None:
    bucket = TokenBucket(per_s=1.0, burst=1.0)
    assert bucket.take(10.0)
    assert not bucket.take(5.0)
    assert not bucket.take(5.5)
