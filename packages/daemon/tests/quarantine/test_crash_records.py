"""Tests of the counts of upstreams that crashed under requests."""

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


def record(
    records: CrashRecords, identity: int, *incarnation_ids: str, at: float = 0.0
) -> list[bool]:
    return [
        records.record_crash(identity, incarnation_id, at=at, now=at)
        for incarnation_id in incarnation_ids
    ]


def due(records: CrashRecords, now: float) -> list[int]:
    return [each.identity for each in records.pop_due(now)]


def test_request_is_due_a_clearance_window_after_crashing_three_upstreams() -> None:
    records = CrashRecords()
    assert record(records, REQUEST, "a", "b", "c") == [False, True, False]
    assert due(records, CLEARANCE_WINDOW_S / 2) == []
    assert due(records, CLEARANCE_WINDOW_S) == [REQUEST]
    assert due(records, LATER) == []


def test_repeated_reports_of_one_incarnation_count_once() -> None:
    records = CrashRecords()
    record(records, REQUEST, "a", "a", "b", "b", "b")
    assert due(records, LATER) == []


def test_completion_resets_the_count_of_a_request() -> None:
    records = CrashRecords()
    record(records, REQUEST, "a", "b", "c")
    records.clear(REQUEST)
    assert due(records, LATER) == []
    record(records, REQUEST, "d", "e", at=LATER)
    assert due(records, 2 * LATER) == []


def test_crash_attributed_to_one_request_counts_for_no_other() -> None:
    records = CrashRecords()
    record(records, REQUEST, "a", "b", "c")
    record(records, OTHER, "a", "b")
    for each in records.pop_due(LATER):
        records.attribute_crashes(each.crashed_at_by_incarnation)
    record(records, OTHER, "c", "d", at=LATER)
    assert due(records, 2 * LATER) == []


def test_crashes_past_retention_do_not_count() -> None:
    records = CrashRecords()
    record(records, REQUEST, "a", "b")
    record(records, REQUEST, "c", at=CRASH_RETENTION_S + 1)
    assert due(records, CRASH_RETENTION_S + LATER) == []


def test_requests_without_counted_crashes_are_discarded() -> None:
    records = CrashRecords()
    record(records, REQUEST, "a")
    record(records, OTHER, "a", at=LATER)
    records.expire(CRASH_RETENTION_S + LATER / 2)
    assert list(records.records_by_identity) == [OTHER]


@given(
    st.lists(st.tuples(st.integers(0, 5), st.sampled_from("abcdefgh"), st.booleans()))
)
def test_only_requests_with_enough_crashes_since_completion_are_due(
    events: list[tuple[int, str, bool]],
) -> None:
    records = CrashRecords()
    incarnations_by_request: dict[int, set[str]] = {}
    for now, (request, incarnation_id, is_answered) in enumerate(events):
        if is_answered:
            records.clear(request)
            incarnations_by_request.pop(request, None)
        else:
            records.record_crash(request, incarnation_id, at=now, now=now)
            incarnations_by_request.setdefault(request, set()).add(incarnation_id)
    found = set(due(records, len(events) + LATER))
    expected = {
        r
        for r, incarnations in incarnations_by_request.items()
        if len(incarnations) >= QUARANTINE_AFTER_CRASHES
    }
    assert found == expected


def test_number_of_records_is_bounded() -> None:
    records = CrashRecords()
    for request in range(3 * MAX_RECORDS):
        record(records, request, "a", "b")
    assert len(records.records_by_identity) == MAX_RECORDS
