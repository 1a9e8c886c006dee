"""Tests of listed upstreams through outages of the platform."""

from __future__ import annotations

from plankspindle_daemon.platform.listed_upstreams import MAX_READ_GAP_S
from plankspindle_daemon.platform.listed_upstreams import REENTRY_GRACE_S
from plankspindle_daemon.platform.listed_upstreams import REMOVAL_MARGIN_S
from plankspindle_daemon.platform.listed_upstreams import ListedUpstreams
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_testkit.builders import build_upstream


def listed(name: str, *, leaving: bool = False) -> ListedVm:
    return ListedVm(
        name=name,
        kind=VmKind.UPSTREAM,
        failure_domain="ba-1",
        leaving=leaving,
        upstream=build_upstream(),
    )


def test_an_entry_that_is_missing_is_gone_at_once() -> None:
    upstreams = ListedUpstreams()
    upstreams.apply([listed("a"), listed("b")], 0.0)
    upstreams.apply([listed("a")], 1.0)
    assert set(upstreams.by_name) == {"a"}


def test_entries_that_lapsed_in_an_outage_have_time_to_come_back() -> None:
    upstreams = ListedUpstreams()
    upstreams.apply([listed("a"), listed("b")], 0.0)
    back = MAX_READ_GAP_S + 1.0
    upstreams.apply([], back)
    assert set(upstreams.by_name) == {"a", "b"}
    upstreams.apply([listed("a", leaving=True)], back + 1.0)
    assert set(upstreams.by_name) == {"a", "b"}
    assert upstreams.by_name["a"].leaving
    upstreams.apply([listed("a")], back + REENTRY_GRACE_S)
    assert set(upstreams.by_name) == {"a"}


def test_an_entry_that_turned_unreadable_in_an_outage_is_not_kept() -> None:
    upstreams = ListedUpstreams()
    upstreams.apply([listed("a"), listed("b"), listed("c")], 0.0)
    upstreams.record_read_failure()
    upstreams.set_unreadable(frozenset({"b"}))
    upstreams.apply([], 1.0)
    assert set(upstreams.by_name) == {"a", "c"}


def test_a_failed_read_is_an_outage_too() -> None:
    upstreams = ListedUpstreams()
    upstreams.apply([listed("a"), listed("b")], 0.0)
    upstreams.record_read_failure()
    upstreams.apply([listed("a")], 1.0)
    assert upstreams.is_in_grace_period(1.0)
    assert set(upstreams.by_name) == {"a", "b"}
    upstreams.apply([listed("a")], 1.0 + REENTRY_GRACE_S)
    assert set(upstreams.by_name) == {"a"}


def test_a_vm_that_was_cut_off_does_not_keep_the_few_that_left_meanwhile() -> None:
    upstreams = ListedUpstreams()
    names = [f"u{number}" for number in range(10)]
    upstreams.apply([listed(name) for name in names], 0.0)
    upstreams.record_read_failure()
    upstreams.apply([listed(name) for name in names[2:]], MAX_READ_GAP_S + 1.0)
    assert set(upstreams.by_name) == set(names[2:])


def test_a_list_that_keeps_missing_entries_is_to_be_taken_again() -> None:
    upstreams = ListedUpstreams()
    upstreams.apply([listed("a"), listed("b")], 0.0)
    assert not upstreams.needs_reapplying
    upstreams.record_read_failure()
    assert upstreams.needs_reapplying
    upstreams.take([listed("a")], 1.0)
    assert upstreams.is_to_be_taken_again
    upstreams.take([listed("a")], 1.0 + REENTRY_GRACE_S)
    assert not upstreams.is_to_be_taken_again


def test_a_list_that_is_known_to_be_current_leaves_no_gap() -> None:
    upstreams = ListedUpstreams()
    upstreams.apply([listed("a"), listed("b")], 0.0)
    upstreams.confirm_current(MAX_READ_GAP_S)
    upstreams.apply([], MAX_READ_GAP_S + 1.0)
    assert upstreams.by_name == {}


def test_missing_entries_are_gone_before_the_bounds_hold_again() -> None:
    """A lost wait tells of the time at which it was begun, not of its end."""
    upstreams = ListedUpstreams(recovery_s=4.0)
    upstreams.apply([listed("a"), listed("b")], 0.0)
    upstreams.record_read_failure()
    upstreams.apply([listed("a")], 3.0)
    assert set(upstreams.by_name) == {"a", "b"}
    assert upstreams.retained_until == 4.0 - REMOVAL_MARGIN_S
    upstreams.apply([listed("a")], 4.0 - REMOVAL_MARGIN_S)
    assert set(upstreams.by_name) == {"a"}
    assert upstreams.retained_until is None


def test_a_call_that_found_the_platform_away_lets_entries_come_back() -> None:
    upstreams = ListedUpstreams(recovery_s=4.0)
    upstreams.apply([listed("a"), listed("b")], 0.0)
    upstreams.record_read_failure()
    upstreams.record_read_failure(unavailable_at=9.0)
    upstreams.record_read_failure(unavailable_at=2.0)
    upstreams.apply([listed("a")], 9.2)
    assert upstreams.retained_until == 9.2 + REENTRY_GRACE_S


def test_a_time_that_is_told_is_not_begun_anew_by_each_word_of_it() -> None:
    upstreams = ListedUpstreams()
    upstreams.apply([listed("a"), listed("b")], 0.0)
    for now in (1.0, 1.5, 1.9):
        upstreams.set_grace_until(2.0)
        upstreams.apply([listed("a")], now)
        assert set(upstreams.by_name) == {"a", "b"}
    upstreams.apply([listed("a")], 2.0)
    assert set(upstreams.by_name) == {"a"}
