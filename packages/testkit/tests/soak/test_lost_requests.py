"""Tests of detecting requests that were read and left without an answer."""

from __future__ import annotations

from collections import Counter

import pytest
from attrs import evolve

from plankspindle_testkit.soak.guarantees import AttemptRecord
from plankspindle_testkit.soak.guarantees import Observations
from plankspindle_testkit.soak.guarantees import Span
from plankspindle_testkit.soak.lost_requests import MAX_UNREAD_S
from plankspindle_testkit.soak.lost_requests import check_lost_requests

CUT = AttemptRecord(
    mark="k",
    log_id="",
    vm="a",
    is_idempotent=True,
    outcome=None,
    is_own_answer=False,
    sent_at=10.0,
    completed_at=10.2,
    deadline=12.0,
    is_cut_off=True,
)
CUT_LATE = evolve(CUT, completed_at=CUT.sent_at + MAX_UNREAD_S + 0.1)


def is_lost(
    attempt: AttemptRecord, *, runs: int = 0, cut: Span | None = None, vm: str = "a"
) -> bool:
    observations = Observations(attempts=[attempt], runs_by_mark=Counter(k=runs))
    observations.allowed_cuts_by_vm[vm] = [] if cut is None else [cut]
    return [each.guarantee for each in check_lost_requests(observations)] == [
        "nothing is lost"
    ]


def test_cut_request_that_ran_is_lost() -> None:
    assert is_lost(CUT, runs=1)


def test_request_cut_long_after_sending_is_lost() -> None:
    assert is_lost(CUT_LATE)


def test_request_sent_during_close_is_not_lost() -> None:
    assert not is_lost(CUT)


def test_unanswered_request_on_open_connection_is_not_lost() -> None:
    assert not is_lost(evolve(CUT_LATE, is_cut_off=False), runs=1)


@pytest.mark.parametrize("attempt", [CUT, CUT_LATE])
def test_only_a_simultaneous_fault_of_the_vm_exempts_a_cut(
    attempt: AttemptRecord,
) -> None:
    at = attempt.completed_at
    assert not is_lost(attempt, runs=1, cut=Span(at - 0.1, at + 0.1))
    assert not is_lost(attempt, runs=1, cut=Span(at - 0.1))
    assert is_lost(attempt, runs=1, cut=Span(at - 0.2, at - 0.1))
    assert is_lost(attempt, runs=1, cut=Span(at + 0.1, at + 0.2))
    assert is_lost(attempt, runs=1, cut=Span(at - 0.1, at + 0.1), vm="b")
