"""Tests of detecting requests that VMs send to a drained upstream."""

from __future__ import annotations

import pytest

from plankspindle_testkit.soak.drain_check import check_drains
from plankspindle_testkit.soak.guarantees import AttemptRecord
from plankspindle_testkit.soak.guarantees import DrainedRuns
from plankspindle_testkit.soak.guarantees import Observations
from plankspindle_testkit.soak.guarantees import Span
from plankspindle_testkit.soak.soak_fault import PLATFORM

RUNS = DrainedRuns(upstream="u", begin=10.0, end=10.5, marks=("m",))


def observed_at(*vms: str) -> Observations:
    attempts = [
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
    return Observations(attempts=attempts, drained_runs=[RUNS])


def is_violated(observations: Observations) -> bool:
    return [each.guarantee for each in check_drains(observations)] == [
        "drained gets nothing new"
    ]


def test_request_of_undisturbed_vm_is_a_violation() -> None:
    assert is_violated(observed_at("a"))
    assert not is_violated(Observations())


@pytest.mark.parametrize("target", ["a", "u", PLATFORM])
def test_disturbance_of_vm_upstream_or_platform_exempts(target: str) -> None:
    observations = observed_at("a")
    observations.disturbances_by_target[target] = [Span(0.0, 10.2)]
    assert not is_violated(observations)
    observations.disturbances_by_target[target] = [Span(0.0, 9.9)]
    assert is_violated(observations)


def test_disturbance_elsewhere_does_not_exempt() -> None:
    observations = observed_at("a")
    observations.disturbances_by_target["b"] = observations.disturbances_by_target[
        "v"
    ] = [Span(0.0)]
    assert is_violated(observations)


def test_request_with_attempt_at_exempt_vm_is_no_violation() -> None:
    observations = observed_at("a", "b")
    assert is_violated(observations)
    observations.disturbances_by_target["b"] = [Span(0.0)]
    assert not is_violated(observations)


def test_request_is_checked_once_its_attempts_are_known() -> None:
    assert not is_violated(Observations(drained_runs=[RUNS]))
    observations = observed_at("a")
    observations.in_flight_marks.add("m")
    assert not is_violated(observations)
