"""A request that was read and left without an answer is seen, and excused by little."""

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


def lost(
    told: AttemptRecord, *, runs: int = 0, cut: Span | None = None, vm: str = "a"
) -> bool:
    seen = Observations(attempts=[told], runs_by_mark=Counter(k=runs))
    seen.allowed_cuts_by_vm[vm] = [] if cut is None else [cut]
    return [each.guarantee for each in check_lost_requests(seen)] == ["nothing is lost"]


def test_a_cut_request_that_an_upstream_ran_is_lost() -> None:
    assert lost(CUT, runs=1)


def test_a_cut_request_that_was_sent_long_before_is_lost() -> None:
    assert lost(CUT_LATE)


def test_a_request_that_crosses_the_close_is_not_lost() -> None:
    assert not lost(CUT)


def test_a_request_without_answer_whose_connection_stays_open_is_not_lost() -> None:
    assert not lost(evolve(CUT_LATE, is_cut_off=False), runs=1)


@pytest.mark.parametrize("told", [CUT, CUT_LATE])
def test_only_a_fault_that_cuts_at_that_time_excuses(told: AttemptRecord) -> None:
    at = told.completed_at
    assert not lost(told, runs=1, cut=Span(at - 0.1, at + 0.1))
    assert not lost(told, runs=1, cut=Span(at - 0.1))
    assert lost(told, runs=1, cut=Span(at - 0.2, at - 0.1))
    assert lost(told, runs=1, cut=Span(at + 0.1, at + 0.2))
    assert lost(told, runs=1, cut=Span(at - 0.1, at + 0.1), vm="b")
