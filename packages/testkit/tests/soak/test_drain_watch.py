"""Work at a drained upstream is held against each VM that nothing excuses."""

from __future__ import annotations

import pytest

from plankspindle_testkit.soak.drain_check import check_drains
from plankspindle_testkit.soak.guarantees import AttemptRecord
from plankspindle_testkit.soak.guarantees import DrainedRuns
from plankspindle_testkit.soak.guarantees import Observations
from plankspindle_testkit.soak.guarantees import Span
from plankspindle_testkit.soak.soak_fault import PLATFORM

RUNS = DrainedRuns(upstream="u", begin=10.0, end=10.5, marks=("m",))


def seen_at(*vms: str) -> Observations:
    told = [
        AttemptRecord(
            mark="m",
            log_id="",
            vm=vm,
            is_idempotent=True,
            outcome=None,
            is_own_answer=False,
            sent_at=10.0,
            completed_at=10.1,
            deadline=12.0,
        )
        for vm in vms
    ]
    return Observations(attempts=told, drained_runs=[RUNS])


def is_broken(seen: Observations) -> bool:
    return [each.guarantee for each in check_drains(seen)] == [
        "drained gets nothing new"
    ]


def test_work_of_an_undisturbed_vm_is_seen() -> None:
    assert is_broken(seen_at("a"))
    assert not is_broken(Observations())


@pytest.mark.parametrize("struck", ["a", "u", PLATFORM])
def test_what_lasts_at_the_vm_the_upstream_or_the_platform_excuses(struck: str) -> None:
    seen = seen_at("a")
    seen.disturbances_by_target[struck] = [Span(0.0, 10.2)]
    assert not is_broken(seen)
    seen.disturbances_by_target[struck] = [Span(0.0, 9.9)]
    assert is_broken(seen)


def test_what_goes_on_elsewhere_excuses_nothing() -> None:
    seen = seen_at("a")
    seen.disturbances_by_target["b"] = seen.disturbances_by_target["v"] = [Span(0.0)]
    assert is_broken(seen)


def test_a_request_tried_at_an_excused_vm_too_may_come_from_there() -> None:
    seen = seen_at("a", "b")
    assert is_broken(seen)
    seen.disturbances_by_target["b"] = [Span(0.0)]
    assert not is_broken(seen)


def test_a_request_is_judged_once_it_is_known_where_it_was_tried() -> None:
    assert not is_broken(Observations(drained_runs=[RUNS]))
    seen = seen_at("a")
    seen.in_flight_marks.add("m")
    assert not is_broken(seen)
