"""Tests of the counts of upstreams that ended under requests."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from plankspindle_daemon.quarantine.crash_records import CLEARANCE_WINDOW_S
from plankspindle_daemon.quarantine.crash_records import CRASH_RETENTION_S
from plankspindle_daemon.quarantine.crash_records import MAX_RECORDS
from plankspindle_daemon.quarantine.crash_records import QUARANTINE_AFTER_CRASHES
from plankspindle_daemon.quarantine.crash_records import CrashRecords

REQUEST, OTHER = 7, 8
LATER = 10.0


def note(
    cases: CrashRecords, identity: int, *lives: str, at: float = 0.0
) -> list[bool]:
    return [cases.record_crash(identity, life, at=at, now=at) for life in lives]


def due(cases: CrashRecords, now: float) -> list[int]:
    return [case.identity for case in cases.pop_due(now)]


def test_a_request_under_which_three_upstreams_end_is_due_after_a_while() -> None:
    cases = CrashRecords()
    assert note(cases, REQUEST, "a", "b", "c") == [False, True, False]
    assert due(cases, CLEARANCE_WINDOW_S / 2) == []
    assert due(cases, CLEARANCE_WINDOW_S) == [REQUEST]
    assert due(cases, LATER) == []


def test_one_life_counts_once_however_often_it_is_reported() -> None:
    cases = CrashRecords()
    note(cases, REQUEST, "a", "a", "b", "b", "b")
    assert due(cases, LATER) == []


def test_a_request_that_was_answered_begins_anew() -> None:
    cases = CrashRecords()
    note(cases, REQUEST, "a", "b", "c")
    cases.clear(REQUEST)
    assert due(cases, LATER) == []
    note(cases, REQUEST, "d", "e", at=LATER)
    assert due(cases, 2 * LATER) == []


def test_an_end_that_another_request_explains_counts_for_no_other() -> None:
    cases = CrashRecords()
    note(cases, REQUEST, "a", "b", "c")
    note(cases, OTHER, "a", "b")
    for case in cases.pop_due(LATER):
        cases.attribute_crashes(case.crashed_at_by_incarnation)
    note(cases, OTHER, "c", "d", at=LATER)
    assert due(cases, 2 * LATER) == []


def test_ends_of_long_ago_do_not_count() -> None:
    cases = CrashRecords()
    note(cases, REQUEST, "a", "b")
    note(cases, REQUEST, "c", at=CRASH_RETENTION_S + 1)
    assert due(cases, CRASH_RETENTION_S + LATER) == []


def test_requests_of_which_no_end_counts_are_forgotten() -> None:
    cases = CrashRecords()
    note(cases, REQUEST, "a")
    note(cases, OTHER, "a", at=LATER)
    cases.expire(CRASH_RETENTION_S + LATER / 2)
    assert list(cases.records_by_identity) == [OTHER]


@given(
    st.lists(st.tuples(st.integers(0, 5), st.sampled_from("abcdefgh"), st.booleans()))
)
def test_none_is_due_with_fewer_ends_since_it_was_answered(
    events: list[tuple[int, str, bool]],
) -> None:
    cases = CrashRecords()
    lives_by_request: dict[int, set[str]] = {}
    for now, (request, life, is_answered) in enumerate(events):
        if is_answered:
            cases.clear(request)
            lives_by_request.pop(request, None)
        else:
            cases.record_crash(request, life, at=now, now=now)
            lives_by_request.setdefault(request, set()).add(life)
    found = set(due(cases, len(events) + LATER))
    many = {
        r
        for r, lives in lives_by_request.items()
        if len(lives) >= QUARANTINE_AFTER_CRASHES
    }
    assert found == many


def test_memory_is_bounded() -> None:
    cases = CrashRecords()
    for request in range(3 * MAX_RECORDS):
        note(cases, request, "a", "b")
    assert len(cases.records_by_identity) == MAX_RECORDS
