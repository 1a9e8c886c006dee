"""Tests of the bound on requests that leave their region."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import given

from plankspindle_daemon.dispatch.spillover_limiter import FORCED_SPILL_CREDIT
from plankspindle_daemon.dispatch.spillover_limiter import MAX_SHARE_CHANGE_PER_S
from plankspindle_daemon.dispatch.spillover_limiter import UNLIMITED_AFTER_LOSS_S
from plankspindle_daemon.dispatch.spillover_limiter import SpilloverLimiter

WINDOW_S = 2.0


def build_limiter(*, room: float = 100.0) -> SpilloverLimiter:
    limiter = SpilloverLimiter()
    limiter.set_capacity(room, 0.0)
    return limiter


def parts_by_window(
    limiter: SpilloverLimiter, *, per_s: int, wanted: list[bool]
) -> list[float]:
    """Send requests that want to leave or not by window, and count those that do."""
    parts = []
    now = 100.0
    for wants in wanted:
        left = 0
        for _ in range(int(per_s * WINDOW_S)):
            now += 1 / per_s
            leaves = limiter.should_spill(now, wants_spill=wants)
            limiter.record_sent(spills=leaves)
            left += leaves
        parts.append(left / (per_s * WINDOW_S))
    return parts


@given(
    per_s=st.integers(15, 100),
    wanted=st.lists(st.booleans(), min_size=2, max_size=8),
)
def test_no_window_differs_much_from_the_one_before(
    per_s: int, wanted: list[bool]
) -> None:
    # The first window finds the part in its first half, so it is left out.
    parts = parts_by_window(build_limiter(), per_s=per_s, wanted=wanted)[1:]
    few = (FORCED_SPILL_CREDIT + 1) / (per_s * WINDOW_S)
    for before, after in zip(parts, parts[1:], strict=False):
        assert abs(after - before) <= MAX_SHARE_CHANGE_PER_S * WINDOW_S + few


def test_a_flood_gets_through_in_time_and_ebbs_in_time() -> None:
    wanted = [False] * 2 + [True] * 12 + [False] * 12
    parts = parts_by_window(build_limiter(), per_s=50, wanted=wanted)
    assert parts[1] == 0.0
    assert parts[13] > 0.9
    assert parts[-1] < 0.05


def test_what_wants_to_leave_at_the_start_may_and_ebbs_slowly() -> None:
    wanted = [True] + [False] * 3
    parts = parts_by_window(build_limiter(), per_s=50, wanted=wanted)
    assert parts[0] == 1.0
    assert 0.8 < parts[1] < 1.0


def test_there_is_no_bound_for_a_while_when_room_is_lost() -> None:
    limiter = build_limiter()
    parts_by_window(limiter, per_s=50, wanted=[False])
    limiter.set_capacity(80.0, 103.0)
    assert limiter.should_spill(103.0, wants_spill=True)
    assert limiter.should_spill(102.9 + UNLIMITED_AFTER_LOSS_S, wants_spill=True)
    limiter.should_spill(103.1 + UNLIMITED_AFTER_LOSS_S, wants_spill=False)
    limiter.set_capacity(100.0, 104.0 + UNLIMITED_AFTER_LOSS_S)
    assert not limiter.should_spill(104.0 + UNLIMITED_AFTER_LOSS_S, wants_spill=False)


def test_a_region_without_room_lets_everything_leave() -> None:
    limiter = build_limiter(room=0.0)
    parts = parts_by_window(limiter, per_s=50, wanted=[False, True])
    assert parts == [0.0, 1.0]
