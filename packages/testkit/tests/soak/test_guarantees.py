"""Tests that violations of each guarantee are detected, without false positives."""

from __future__ import annotations

from collections import Counter

import pytest
from attrs import evolve

from plankspindle_core.outcome import Outcome
from plankspindle_testkit.soak.guarantees import MAX_DESCRIPTORS
from plankspindle_testkit.soak.guarantees import MAX_RESIDENT_KB
from plankspindle_testkit.soak.guarantees import AttemptRecord
from plankspindle_testkit.soak.guarantees import Observations
from plankspindle_testkit.soak.guarantees import Span
from plankspindle_testkit.soak.guarantees import check_all
from plankspindle_testkit.soak.guarantees import check_end
from plankspindle_testkit.soak.guarantees import check_growth

WRITE = AttemptRecord(
    mark="w",
    log_id="a/1",
    vm="a",
    is_idempotent=False,
    outcome=Outcome.DONE,
    is_own_answer=True,
    sent_at=10.0,
    completed_at=10.1,
    deadline=12.0,
)
READ = evolve(WRITE, mark="r", is_idempotent=True)


def violations(observations: Observations) -> list[str]:
    return [each.guarantee for each in check_all(observations)]


def test_correct_observations_have_no_violation() -> None:
    observations = Observations(attempts=[WRITE, READ], runs_by_mark=Counter(w=1, r=7))
    observations.versions_by_incarnation["a", 1] = [1, 1, 2]
    observations.versions_by_incarnation["a", 2] = [1, 2]
    assert violations(observations) == []
    assert observations.checks == 1


def test_second_run_of_non_idempotent_request_is_detected() -> None:
    observations = Observations(attempts=[WRITE], runs_by_mark=Counter(w=2))
    assert violations(observations) == ["at most once"]


def test_run_after_answer_not_run_is_detected() -> None:
    attempt = evolve(WRITE, outcome=Outcome.NOT_RUN)
    observations = Observations(attempts=[attempt], runs_by_mark=Counter(w=1))
    assert violations(observations) == ["not-run is true"]


@pytest.mark.parametrize("outcome", [Outcome.UNKNOWN, Outcome.DONE, None])
def test_run_is_allowed_if_another_attempt_may_have_run(
    outcome: Outcome | None,
) -> None:
    attempt = evolve(WRITE, outcome=Outcome.NOT_RUN)
    other = evolve(WRITE, outcome=outcome)
    observations = Observations(attempts=[attempt, other], runs_by_mark=Counter(w=1))
    assert violations(observations) == []


def test_run_is_allowed_while_an_attempt_is_in_flight() -> None:
    attempt = evolve(WRITE, outcome=Outcome.NOT_RUN)
    observations = Observations(
        attempts=[attempt], runs_by_mark=Counter(w=1), in_flight_marks={"w"}
    )
    assert violations(observations) == []


def test_answer_of_another_request_is_detected() -> None:
    attempt = evolve(READ, is_own_answer=False)
    assert violations(Observations(attempts=[attempt])) == ["own answer"]


def test_missing_answer_is_detected_unless_vm_was_disturbed() -> None:
    attempt = evolve(READ, outcome=None, completed_at=14.0)
    observations = Observations(attempts=[attempt])
    assert violations(observations) == ["answered"]
    observations.disturbances_by_target["a"] = [Span(11.0, 12.0)]
    assert violations(observations) == []
    observations.disturbances_by_target["a"] = [Span(11.0)]
    assert violations(observations) == []
    observations.disturbances_by_target["a"] = [Span(0.0, 5.0)]
    assert violations(observations) == ["answered"]


def test_reverted_version_within_incarnation_is_detected() -> None:
    observations = Observations()
    observations.versions_by_incarnation["a", 1] = [3, 2]
    assert violations(observations) == ["versions never revert"]


def test_unexpected_exits_and_cut_requests_are_detected() -> None:
    observations = Observations(
        unexpected_exits=[("a", 70, "crashed")], cut_off_by_stop=[("a", 2)]
    )
    assert violations(observations) == ["runs on", "a stop cuts nothing"]


def test_missing_recovery_is_detected() -> None:
    failed = evolve(READ, outcome=Outcome.NOT_RUN, log_id="a/9")
    observations = Observations(attempts=[READ] * 8 + [failed] * 2)
    (violation,) = check_end(
        observations, recovered_from=9.0, versions={"a": 2}, accepted=2
    )
    assert (violation.guarantee, violation.log_id) == ("recovers", "a/9")
    assert not list(
        check_end(observations, recovered_from=0.0, versions={}, accepted=2)
    )[1:]
    without_reads = list(
        check_end(observations, recovered_from=99.0, versions={}, accepted=2)
    )
    assert [each.guarantee for each in without_reads] == ["recovers"]


def test_vm_without_accepted_version_is_detected() -> None:
    observations = Observations(attempts=[READ])
    versions = {"a": 2, "b": 1}
    (violation,) = check_end(
        observations, recovered_from=0.0, versions=versions, accepted=2
    )
    assert violation.guarantee == "accepted is in force"


@pytest.mark.parametrize(
    ("versions", "holds"),
    [
        ({"a": 2, "b": 2}, True),
        ({"a": 3, "b": 3}, True),
        ({"a": 3, "b": 2}, False),
        ({"a": 4, "b": 4}, False),
    ],
)
def test_unconfirmed_version_must_be_at_all_vms_or_none(
    versions: dict[str, int], holds: bool
) -> None:
    observations = Observations(attempts=[READ])
    found = check_end(
        observations, recovered_from=0.0, versions=versions, accepted=2, unconfirmed=3
    )
    assert (not list(found)) is holds


def test_growth_of_memory_and_descriptors_is_detected() -> None:
    found = check_growth(
        {"a": MAX_RESIDENT_KB + 1, "b": 1}, {"a": MAX_DESCRIPTORS + 1}, {"a": "x"}
    )
    assert [each.guarantee for each in found] == [
        "memory levels off",
        "descriptors level off",
    ]
