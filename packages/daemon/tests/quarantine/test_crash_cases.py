"""Tests of the counts of upstreams that ended under requests."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from plankspindle_daemon.quarantine.crash_cases import CONTEST_S
from plankspindle_daemon.quarantine.crash_cases import CRASHES
from plankspindle_daemon.quarantine.crash_cases import EVIDENCE_S
from plankspindle_daemon.quarantine.crash_cases import MAX_CASES
from plankspindle_daemon.quarantine.crash_cases import CrashCases

REQUEST, OTHER = 7, 8
LATER = 10.0


def note(cases: CrashCases, identity: int, *lives: str, at: float = 0.0) -> list[bool]:
    return [cases.note(identity, life, at=at, now=at) for life in lives]


def due(cases: CrashCases, now: float) -> list[int]:
    return [case.identity for case in cases.take_due(now)]


def test_a_request_under_which_three_upstreams_end_is_due_after_a_while() -> None:
    cases = CrashCases()
    assert note(cases, REQUEST, "a", "b", "c") == [False, True, False]
    assert due(cases, CONTEST_S / 2) == []
    assert due(cases, CONTEST_S) == [REQUEST]
    assert due(cases, LATER) == []


def test_one_life_counts_once_however_often_it_is_reported() -> None:
    cases = CrashCases()
    note(cases, REQUEST, "a", "a", "b", "b", "b")
    assert due(cases, LATER) == []


def test_a_request_that_was_answered_begins_anew() -> None:
    cases = CrashCases()
    note(cases, REQUEST, "a", "b", "c")
    cases.clear(REQUEST)
    assert due(cases, LATER) == []
    note(cases, REQUEST, "d", "e", at=LATER)
    assert due(cases, 2 * LATER) == []


def test_an_end_that_another_request_explains_counts_for_no_other() -> None:
    cases = CrashCases()
    note(cases, REQUEST, "a", "b", "c")
    note(cases, OTHER, "a", "b")
    for case in cases.take_due(LATER):
        cases.explain(case.ended_at_by_life)
    note(cases, OTHER, "c", "d", at=LATER)
    assert due(cases, 2 * LATER) == []


def test_ends_of_long_ago_do_not_count() -> None:
    cases = CrashCases()
    note(cases, REQUEST, "a", "b")
    note(cases, REQUEST, "c", at=EVIDENCE_S + 1)
    assert due(cases, EVIDENCE_S + LATER) == []


def test_requests_of_which_no_end_counts_are_forgotten() -> None:
    cases = CrashCases()
    note(cases, REQUEST, "a")
    note(cases, OTHER, "a", at=LATER)
    cases.expire(EVIDENCE_S + LATER / 2)
    assert list(cases.cases_by_identity) == [OTHER]


@given(
    st.lists(st.tuples(st.integers(0, 5), st.sampled_from("abcdefgh"), st.booleans()))
)
def test_none_is_due_with_fewer_ends_since_it_was_answered(
    events: list[tuple[int, str, bool]],
) -> None:
    cases = CrashCases()
    lives_by_request: dict[int, set[str]] = {}
    for now, (request, life, is_answered) in enumerate(events):
        if is_answered:
            cases.clear(request)
            lives_by_request.pop(request, None)
        else:
            cases.note(request, life, at=now, now=now)
            lives_by_request.setdefault(request, set()).add(life)
    found = set(due(cases, len(events) + LATER))
    many = {r for r, lives in lives_by_request.items() if len(lives) >= CRASHES}
    assert found == many


def test_memory_is_bounded() -> None:
    cases = CrashCases()
    for request in range(3 * MAX_CASES):
        note(cases, request, "a", "b")
    assert len(cases.cases_by_identity) == MAX_CASES
