"""Tests of the division of keys between the own region and the others."""

from __future__ import annotations

import hypothesis.strategies as st
import pytest
from hypothesis import given

from plankspindle_daemon.dispatch.region_plan import FULL
from plankspindle_daemon.dispatch.region_plan import QUICK_PER_S
from plankspindle_daemon.dispatch.region_plan import RegionPlan

THIRD = 1 / 3
PERIOD_S = 0.25


def build_plan(
    *, near: float = 6.0, far: float = 66.0, vm_share: float = THIRD
) -> RegionPlan:
    plan = RegionPlan()
    plan.note_room(near=near, far=far, vm_share=vm_share, now=0.0)
    return plan


def run(
    plan: RegionPlan,
    *,
    near_use: float,
    far_use: float,
    seconds: float,
    began: float = 0.0,
    near: float = 6.0,
    far: float = 66.0,
) -> float:
    """Let upstreams answer for a while, and give the time at the end."""
    now = began
    for _ in range(int(seconds / PERIOD_S)):
        now += PERIOD_S
        for _ in range(20):
            plan.note_use(near_use, is_near=True, now=now)
            plan.note_use(far_use, is_near=False, now=now)
        plan.note_room(near=near, far=far, vm_share=THIRD, now=now)
    return now


def test_a_region_short_of_upstreams_sends_keys_out_from_the_first_request_on() -> None:
    # 6 of 72 slots for a third of the callers keep a quarter of the keys.
    assert build_plan().part == pytest.approx(0.75)


def test_a_region_with_its_part_of_the_upstreams_keeps_all_keys() -> None:
    assert build_plan(near=30.0, far=42.0).part == 0.0


def test_entry_vms_follow_where_the_callers_are() -> None:
    assert build_plan(vm_share=1 / 12).part == pytest.approx(0.0)


def test_a_region_without_upstreams_sends_every_key_out() -> None:
    plan = build_plan(near=0.0)
    assert plan.leaves(0.999)


def test_without_upstreams_anywhere_nothing_is_sent_out() -> None:
    assert build_plan(near=0.0, far=0.0).part == 0.0


def test_keys_that_leave_go_on_leaving_as_the_part_grows() -> None:
    plan = build_plan()
    left = {number for number in range(100) if plan.leaves(number / 100)}
    plan.note_room(near=3.0, far=66.0, vm_share=THIRD, now=1.0)
    assert left < {number for number in range(100) if plan.leaves(number / 100)}


def test_lost_room_moves_keys_at_once_and_its_return_brings_the_same_back() -> None:
    plan = build_plan(near=24.0, far=48.0)
    now = run(plan, near_use=0.5, far_use=0.5, seconds=2.0, near=24.0, far=48.0)
    before = plan.part
    plan.note_room(near=12.0, far=48.0, vm_share=THIRD, now=now + PERIOD_S)
    assert plan.part == pytest.approx(1 - 12 / 60 * 3)
    plan.note_room(near=24.0, far=48.0, vm_share=THIRD, now=now + 2 * PERIOD_S)
    assert plan.part == pytest.approx(before)


def test_a_full_region_sends_more_out_where_others_have_room() -> None:
    plan = build_plan()
    run(plan, near_use=1.2, far_use=0.4, seconds=4.0)
    assert plan.part == pytest.approx(0.75 + 4.0 * QUICK_PER_S)


def test_a_region_that_kept_all_keys_sends_some_out_as_soon_as_it_is_full() -> None:
    plan = build_plan(near=60.0, far=12.0)
    run(plan, near_use=1.2, far_use=0.2, seconds=3.0, near=60.0, far=12.0)
    assert plan.part > 0.03


def test_a_full_region_keeps_its_keys_when_the_others_are_as_full() -> None:
    plan = build_plan()
    run(plan, near_use=1.2, far_use=1.2, seconds=10.0)
    assert plan.part == pytest.approx(0.75)


def test_keys_come_back_once_a_region_is_no_longer_the_fuller_one() -> None:
    plan = build_plan()
    now = run(plan, near_use=1.2, far_use=0.4, seconds=4.0)
    run(plan, near_use=0.3, far_use=0.4, seconds=12.0, began=now)
    assert plan.part == pytest.approx(0.75, abs=QUICK_PER_S)


def test_a_region_with_nothing_to_do_takes_keys_back_slowly() -> None:
    plan = build_plan()
    run(plan, near_use=0.05, far_use=0.05, seconds=10.0)
    assert 0.6 < plan.part < 0.7


def test_a_moderately_busy_region_moves_no_key() -> None:
    plan = build_plan()
    run(plan, near_use=FULL - 0.1, far_use=0.1, seconds=20.0)
    assert plan.part == pytest.approx(0.75)


@given(
    uses=st.lists(
        st.tuples(st.floats(0, 4), st.floats(0, 4), st.floats(0.01, 0.5)),
        max_size=60,
    ),
    near=st.integers(1, 90),
    far=st.integers(1, 90),
    vm_share=st.floats(0.05, 1.0),
)
def test_with_the_same_room_the_part_never_moves_faster_than_its_bound(
    uses: list[tuple[float, float, float]], near: int, far: int, vm_share: float
) -> None:
    plan = build_plan(near=near, far=far, vm_share=vm_share)
    now = 0.0
    for near_use, far_use, elapsed_s in uses:
        before = plan.part
        now += elapsed_s
        for _ in range(8):
            plan.note_use(near_use, is_near=True, now=now)
            plan.note_use(far_use, is_near=False, now=now)
        plan.note_room(near=near, far=far, vm_share=vm_share, now=now)
        assert 0.0 <= plan.part <= 1.0
        assert abs(plan.part - before) <= QUICK_PER_S * elapsed_s + 1e-9
