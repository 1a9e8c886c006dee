"""Tests of the limit on spill-over to other regions."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import given

from plankspindle_daemon.dispatch.spillover_limiter import FORCED_SPILL_CREDIT
from plankspindle_daemon.dispatch.spillover_limiter import MAX_SHARE_CHANGE_PER_S
from plankspindle_daemon.dispatch.spillover_limiter import UNLIMITED_AFTER_LOSS_S
from plankspindle_daemon.dispatch.spillover_limiter import SpilloverLimiter

WINDOW_S = 2.0


def build_limiter(*, slots: float = 100.0) -> SpilloverLimiter:
    limiter = SpilloverLimiter()
    limiter.set_capacity(slots, 0.0)
    return limiter


def spill_shares_by_window(
    limiter: SpilloverLimiter, *, per_s: int, wanted: list[bool]
) -> list[float]:
    """Return the share of requests that spilled over in each window."""
    shares = []
    now = 100.0
    for wants_spill in wanted:
        spilled = 0
        for _ in range(int(per_s * WINDOW_S)):
            now += 1 / per_s
            spills = limiter.should_spill(now, wants_spill=wants_spill)
            limiter.record_sent(spills=spills)
            spilled += spills
        shares.append(spilled / (per_s * WINDOW_S))
    return shares


@given(
    per_s=st.integers(15, 100),
    wanted=st.lists(st.booleans(), min_size=2, max_size=8),
)
def test_spill_share_changes_at_a_limited_rate(per_s: int, wanted: list[bool]) -> None:
    # The first window includes the start-up time, so it is left out.
    shares = spill_shares_by_window(build_limiter(), per_s=per_s, wanted=wanted)[1:]
    tolerance = (FORCED_SPILL_CREDIT + 1) / (per_s * WINDOW_S)
    for before, after in zip(shares, shares[1:], strict=False):
        assert abs(after - before) <= MAX_SHARE_CHANGE_PER_S * WINDOW_S + tolerance


def test_spill_share_follows_rising_and_falling_demand() -> None:
    wanted = [False] * 2 + [True] * 12 + [False] * 12
    shares = spill_shares_by_window(build_limiter(), per_s=50, wanted=wanted)
    assert shares[1] == 0.0
    assert shares[13] > 0.9
    assert shares[-1] < 0.05


def test_startup_demand_spills_freely_and_then_decreases_slowly() -> None:
    wanted = [True] + [False] * 3
    shares = spill_shares_by_window(build_limiter(), per_s=50, wanted=wanted)
    assert shares[0] == 1.0
    assert 0.8 < shares[1] < 1.0


def test_limit_is_suspended_after_loss_of_capacity() -> None:
    limiter = build_limiter()
    spill_shares_by_window(limiter, per_s=50, wanted=[False])
    limiter.set_capacity(80.0, 103.0)
    assert limiter.should_spill(103.0, wants_spill=True)
    assert limiter.should_spill(102.9 + UNLIMITED_AFTER_LOSS_S, wants_spill=True)
    limiter.should_spill(103.1 + UNLIMITED_AFTER_LOSS_S, wants_spill=False)
    limiter.set_capacity(100.0, 104.0 + UNLIMITED_AFTER_LOSS_S)
    assert not limiter.should_spill(104.0 + UNLIMITED_AFTER_LOSS_S, wants_spill=False)


def test_region_without_capacity_spills_everything() -> None:
    limiter = build_limiter(slots=0.0)
    shares = spill_shares_by_window(limiter, per_s=50, wanted=[False, True])
    assert shares == [0.0, 1.0]
