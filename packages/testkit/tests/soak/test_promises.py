"""Each promise of the soak can be seen broken, and is not where it holds."""

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


def broken(seen: Observations) -> list[str]:
    return [each.guarantee for each in check_all(seen)]


def test_what_holds_breaks_nothing() -> None:
    seen = Observations(attempts=[WRITE, READ], runs_by_mark=Counter(w=1, r=7))
    seen.versions_by_incarnation["a", 1] = [1, 1, 2]
    seen.versions_by_incarnation["a", 2] = [1, 2]
    assert broken(seen) == []
    assert seen.checks == 1


def test_a_second_run_is_seen() -> None:
    seen = Observations(attempts=[WRITE], runs_by_mark=Counter(w=2))
    assert broken(seen) == ["at most once"]


def test_a_run_of_what_was_told_not_run_is_seen() -> None:
    told = evolve(WRITE, outcome=Outcome.NOT_RUN)
    seen = Observations(attempts=[told], runs_by_mark=Counter(w=1))
    assert broken(seen) == ["not-run is true"]


@pytest.mark.parametrize("outcome", [Outcome.UNKNOWN, Outcome.DONE, None])
def test_a_run_is_no_lie_if_another_try_left_it_open(outcome: Outcome | None) -> None:
    told = evolve(WRITE, outcome=Outcome.NOT_RUN)
    other = evolve(WRITE, outcome=outcome)
    seen = Observations(attempts=[told, other], runs_by_mark=Counter(w=1))
    assert broken(seen) == []


def test_a_run_is_no_lie_while_a_try_is_on_its_way() -> None:
    told = evolve(WRITE, outcome=Outcome.NOT_RUN)
    seen = Observations(
        attempts=[told], runs_by_mark=Counter(w=1), in_flight_marks={"w"}
    )
    assert broken(seen) == []


def test_the_answer_of_another_request_is_seen() -> None:
    told = evolve(READ, is_own_answer=False)
    assert broken(Observations(attempts=[told])) == ["own answer"]


def test_a_request_without_answer_is_seen_unless_its_vm_was_struck() -> None:
    told = evolve(READ, outcome=None, completed_at=14.0)
    seen = Observations(attempts=[told])
    assert broken(seen) == ["answered"]
    seen.disturbances_by_target["a"] = [Span(11.0, 12.0)]
    assert broken(seen) == []
    seen.disturbances_by_target["a"] = [Span(11.0)]
    assert broken(seen) == []
    seen.disturbances_by_target["a"] = [Span(0.0, 5.0)]
    assert broken(seen) == ["answered"]


def test_a_version_that_goes_back_in_one_life_is_seen() -> None:
    seen = Observations()
    seen.versions_by_incarnation["a", 1] = [3, 2]
    assert broken(seen) == ["versions never revert"]


def test_ends_and_cuts_are_seen() -> None:
    seen = Observations(
        unexpected_exits=[("a", 70, "crashed")], cut_off_by_stop=[("a", 2)]
    )
    assert broken(seen) == ["runs on", "a stop cuts nothing"]


def test_a_fleet_that_does_not_recover_is_seen() -> None:
    failed = evolve(READ, outcome=Outcome.NOT_RUN, log_id="a/9")
    seen = Observations(attempts=[READ] * 8 + [failed] * 2)
    (found,) = check_end(seen, recovered_from=9.0, versions={"a": 2}, accepted=2)
    assert (found.guarantee, found.log_id) == ("recovers", "a/9")
    assert not list(check_end(seen, recovered_from=0.0, versions={}, accepted=2))[1:]
    none_asked = list(check_end(seen, recovered_from=99.0, versions={}, accepted=2))
    assert [each.guarantee for each in none_asked] == ["recovers"]


def test_a_vm_without_the_accepted_version_is_seen() -> None:
    seen = Observations(attempts=[READ])
    versions = {"a": 2, "b": 1}
    (found,) = check_end(seen, recovered_from=0.0, versions=versions, accepted=2)
    assert found.guarantee == "accepted is in force"


@pytest.mark.parametrize(
    ("versions", "holds"),
    [
        ({"a": 2, "b": 2}, True),
        ({"a": 3, "b": 3}, True),
        ({"a": 3, "b": 2}, False),
        ({"a": 4, "b": 4}, False),
    ],
)
def test_a_version_in_doubt_is_in_force_everywhere_or_nowhere(
    versions: dict[str, int], holds: bool
) -> None:
    seen = Observations(attempts=[READ])
    found = check_end(
        seen, recovered_from=0.0, versions=versions, accepted=2, unconfirmed=3
    )
    assert (not list(found)) is holds


def test_growth_is_seen() -> None:
    found = check_growth(
        {"a": MAX_RESIDENT_KB + 1, "b": 1}, {"a": MAX_DESCRIPTORS + 1}, {"a": "x"}
    )
    assert [each.guarantee for each in found] == [
        "memory levels off",
        "descriptors level off",
    ]
