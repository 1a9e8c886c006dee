"""Tests of the division of keys between the own region and the others."""

from __future__ import annotations

import hypothesis.strategies as st
import pytest
from hypothesis import given

from plankspindle_daemon.dispatch.region_plan import RegionPlan

THIRD = 1 / 3


def build_plan(
    *, near: float = 6.0, far: float = 66.0, vm_share: float = THIRD
) -> RegionPlan:
    plan = RegionPlan()
    plan.update(local_slots=near, remote_slots=far, vm_share=vm_share)
    return plan


def test_a_region_short_of_upstreams_sends_keys_out_from_the_first_request_on() -> None:
    # 6 of 72 slots for a third of the callers keep a quarter of the keys.
    assert build_plan().remote_share == pytest.approx(0.75)


def test_a_region_with_its_part_of_the_upstreams_keeps_all_keys() -> None:
    assert build_plan(near=30.0, far=42.0).remote_share == 0.0


def test_entry_vms_follow_where_the_callers_are() -> None:
    assert build_plan(vm_share=1 / 12).remote_share == pytest.approx(0.0)


def test_a_region_without_upstreams_sends_every_key_out() -> None:
    plan = build_plan(near=0.0)
    assert plan.is_remote(0.999)


def test_without_upstreams_anywhere_nothing_is_sent_out() -> None:
    assert build_plan(near=0.0, far=0.0).remote_share == 0.0


def test_keys_that_leave_go_on_leaving_as_the_part_grows() -> None:
    plan = build_plan()
    left = {number for number in range(100) if plan.is_remote(number / 100)}
    plan.update(local_slots=3.0, remote_slots=66.0, vm_share=THIRD)
    assert left < {number for number in range(100) if plan.is_remote(number / 100)}


def test_lost_room_moves_keys_at_once_and_its_return_brings_the_same_back() -> None:
    plan = build_plan(near=24.0, far=48.0)
    before = plan.remote_share
    plan.update(local_slots=12.0, remote_slots=48.0, vm_share=THIRD)
    assert plan.remote_share == pytest.approx(1 - 12 / 60 * 3)
    plan.update(local_slots=24.0, remote_slots=48.0, vm_share=THIRD)
    assert plan.remote_share == pytest.approx(before)


@given(near=st.integers(0, 90), far=st.integers(0, 90), vm_share=st.floats(0.05, 1.0))
def test_the_part_balances_slots_with_entry_vms(
    near: int, far: int, vm_share: float
) -> None:
    part = build_plan(near=near, far=far, vm_share=vm_share).remote_share
    assert 0.0 <= part <= 1.0
    if near and far and part > 0.0:
        assert 1.0 - part == pytest.approx(near / (near + far) / vm_share)
