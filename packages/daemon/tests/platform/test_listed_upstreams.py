"""Tests that listed upstreams are retained through outages of the platform."""

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


def test_missing_entry_is_removed_at_once_without_an_outage() -> None:
    upstreams = ListedUpstreams()
    upstreams.apply([listed("a"), listed("b")], 0.0)
    upstreams.apply([listed("a")], 1.0)
    assert set(upstreams.by_name) == {"a"}


def test_entries_that_expired_in_a_read_gap_are_retained_for_the_grace_period() -> None:
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


def test_entry_that_became_unreadable_in_an_outage_is_not_retained() -> None:
    upstreams = ListedUpstreams()
    upstreams.apply([listed("a"), listed("b"), listed("c")], 0.0)
    upstreams.record_read_failure()
    upstreams.set_unreadable(frozenset({"b"}))
    upstreams.apply([], 1.0)
    assert set(upstreams.by_name) == {"a", "c"}


def test_missing_entries_are_retained_after_a_failed_read() -> None:
    upstreams = ListedUpstreams()
    upstreams.apply([listed("a"), listed("b")], 0.0)
    upstreams.record_read_failure()
    upstreams.apply([listed("a")], 1.0)
    assert upstreams.is_in_grace_period(1.0)
    assert set(upstreams.by_name) == {"a", "b"}
    upstreams.apply([listed("a")], 1.0 + REENTRY_GRACE_S)
    assert set(upstreams.by_name) == {"a"}


def test_few_missing_entries_are_removed_after_a_network_failure_of_this_vm() -> None:
    upstreams = ListedUpstreams()
    names = [f"u{number}" for number in range(10)]
    upstreams.apply([listed(name) for name in names], 0.0)
    upstreams.record_read_failure()
    upstreams.apply([listed(name) for name in names[2:]], MAX_READ_GAP_S + 1.0)
    assert set(upstreams.by_name) == set(names[2:])


def test_list_with_retained_entries_needs_reapplying() -> None:
    upstreams = ListedUpstreams()
    upstreams.apply([listed("a"), listed("b")], 0.0)
    assert not upstreams.needs_reapplying
    upstreams.record_read_failure()
    assert upstreams.needs_reapplying
    upstreams.apply([listed("a")], 1.0)
    assert upstreams.needs_reapplying
    upstreams.apply([listed("a")], 1.0 + REENTRY_GRACE_S)
    assert not upstreams.needs_reapplying


def test_confirming_the_list_as_current_prevents_a_read_gap() -> None:
    upstreams = ListedUpstreams()
    upstreams.apply([listed("a"), listed("b")], 0.0)
    upstreams.confirm_current(MAX_READ_GAP_S)
    upstreams.apply([], MAX_READ_GAP_S + 1.0)
    assert upstreams.by_name == {}


def test_missing_entries_are_removed_before_the_recovery_limit() -> None:
    """A failed long poll proves an outage only at its start, where the limit begins."""
    upstreams = ListedUpstreams(recovery_s=4.0)
    upstreams.apply([listed("a"), listed("b")], 0.0)
    upstreams.record_read_failure()
    upstreams.apply([listed("a")], 3.0)
    assert set(upstreams.by_name) == {"a", "b"}
    assert upstreams.retained_until == 4.0 - REMOVAL_MARGIN_S
    upstreams.apply([listed("a")], 4.0 - REMOVAL_MARGIN_S)
    assert set(upstreams.by_name) == {"a"}
    assert upstreams.retained_until is None


def test_grace_period_counts_from_the_last_sign_of_unavailability() -> None:
    upstreams = ListedUpstreams(recovery_s=4.0)
    upstreams.apply([listed("a"), listed("b")], 0.0)
    upstreams.record_read_failure()
    upstreams.record_read_failure(unavailable_at=9.0)
    upstreams.record_read_failure(unavailable_at=2.0)
    upstreams.apply([listed("a")], 9.2)
    assert upstreams.retained_until == 9.2 + REENTRY_GRACE_S


def test_received_grace_period_is_not_extended_by_repeated_updates() -> None:
    upstreams = ListedUpstreams()
    upstreams.apply([listed("a"), listed("b")], 0.0)
    for now in (1.0, 1.5, 1.9):
        upstreams.set_grace_until(2.0)
        upstreams.apply([listed("a")], now)
        assert set(upstreams.by_name) == {"a", "b"}
    upstreams.apply([listed("a")], 2.0)
    assert set(upstreams.by_name) == {"a"}
