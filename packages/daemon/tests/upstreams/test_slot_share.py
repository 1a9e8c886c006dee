"""Tests of the division of slots among members."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from plankspindle_daemon.upstreams.slot_share import share_of


@given(count=st.integers(1, 40), slots=st.integers(1, 64), upstream=st.text(max_size=8))
def test_shares_add_up_to_slots_and_differ_by_at_most_one(
    count: int, slots: int, upstream: str
) -> None:
    members = [f"vm-{number:02}" for number in range(count)]
    shares = [
        share_of(vm=vm, members=members, upstream=upstream, slots=slots)
        for vm in members
    ]
    assert sum(shares) == slots
    assert max(shares) - min(shares) <= 1


def test_remainder_goes_to_different_members_per_upstream() -> None:
    members = ["a", "b", "c"]
    members_with_remainder = {
        vm
        for number in range(20)
        for vm in members
        if share_of(vm=vm, members=members, upstream=f"u{number}", slots=1)
    }
    assert members_with_remainder == set(members)
