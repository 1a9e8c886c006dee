"""Tests of the share of keys that are planned for remote regions."""

from __future__ import annotations

import hypothesis.strategies as st
import pytest
from hypothesis import given

from plankspindle_daemon.dispatch.region_plan import RegionPlan

THIRD = 1 / 3


def build_plan(
    *, local_slots: float = 6.0, remote_slots: float = 66.0, vm_share: float = THIRD
) -> RegionPlan:
    plan = RegionPlan()
    plan.update(local_slots=local_slots, remote_slots=remote_slots, vm_share=vm_share)
    return plan


def test_short_region_plans_remote_keys_from_the_first_update() -> None:
    # 6 of 72 slots for a third of the entry VMs keep a quarter of the keys.
    assert build_plan().remote_share == pytest.approx(0.75)


def test_region_with_its_share_of_slots_keeps_all_keys() -> None:
    assert build_plan(local_slots=30.0, remote_slots=42.0).remote_share == 0.0


def test_remote_share_is_zero_for_a_small_share_of_entry_vms() -> None:
    assert build_plan(vm_share=1 / 12).remote_share == pytest.approx(0.0)


def test_region_without_upstreams_makes_every_key_remote() -> None:
    plan = build_plan(local_slots=0.0)
    assert plan.is_remote(0.999)


def test_no_key_is_remote_without_any_upstream() -> None:
    assert build_plan(local_slots=0.0, remote_slots=0.0).remote_share == 0.0


def test_remote_keys_stay_remote_as_the_share_grows() -> None:
    plan = build_plan()
    remote = {number for number in range(100) if plan.is_remote(number / 100)}
    plan.update(local_slots=3.0, remote_slots=66.0, vm_share=THIRD)
    assert remote < {number for number in range(100) if plan.is_remote(number / 100)}


def test_remote_share_follows_lost_and_restored_capacity_at_once() -> None:
    plan = build_plan(local_slots=24.0, remote_slots=48.0)
    before = plan.remote_share
    plan.update(local_slots=12.0, remote_slots=48.0, vm_share=THIRD)
    assert plan.remote_share == pytest.approx(1 - 12 / 60 * 3)
    plan.update(local_slots=24.0, remote_slots=48.0, vm_share=THIRD)
    assert plan.remote_share == pytest.approx(before)


@given(
    local_slots=st.integers(0, 90),
    remote_slots=st.integers(0, 90),
    vm_share=st.floats(0.05, 1.0),
)
def test_remote_share_balances_slots_with_entry_vms(
    local_slots: int, remote_slots: int, vm_share: float
) -> None:
    share = build_plan(
        local_slots=local_slots, remote_slots=remote_slots, vm_share=vm_share
    ).remote_share
    assert 0.0 <= share <= 1.0
    if local_slots and remote_slots and share > 0.0:
        assert 1.0 - share == pytest.approx(
            local_slots / (local_slots + remote_slots) / vm_share
        )
