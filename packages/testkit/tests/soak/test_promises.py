"""Each promise of the soak can be seen broken, and is not where it holds."""

from __future__ import annotations

from collections import Counter

import pytest
from attrs import evolve

from plankspindle_core.outcome import Outcome
from plankspindle_testkit.soak.promises import MOST_DESCRIPTORS
from plankspindle_testkit.soak.promises import MOST_RESIDENT_KB
from plankspindle_testkit.soak.promises import Observations
from plankspindle_testkit.soak.promises import Span
from plankspindle_testkit.soak.promises import Told
from plankspindle_testkit.soak.promises import check_all
from plankspindle_testkit.soak.promises import check_end
from plankspindle_testkit.soak.promises import check_growth

WRITE = Told(
    mark="w",
    request="a/1",
    vm="a",
    may_repeat=False,
    outcome=Outcome.DONE,
    is_own=True,
    asked_at=10.0,
    told_at=10.1,
    deadline=12.0,
)
READ = evolve(WRITE, mark="r", may_repeat=True)


def broken(seen: Observations) -> list[str]:
    return [each.promise for each in check_all(seen)]


def test_what_holds_breaks_nothing() -> None:
    seen = Observations(told=[WRITE, READ], runs_by_mark=Counter(w=1, r=7))
    seen.versions_by_life["a", 1] = [1, 1, 2]
    seen.versions_by_life["a", 2] = [1, 2]
    assert broken(seen) == []
    assert seen.checks == 1


def test_a_second_run_is_seen() -> None:
    seen = Observations(told=[WRITE], runs_by_mark=Counter(w=2))
    assert broken(seen) == ["at most once"]


def test_a_run_of_what_was_told_not_run_is_seen() -> None:
    told = evolve(WRITE, outcome=Outcome.NOT_RUN)
    seen = Observations(told=[told], runs_by_mark=Counter(w=1))
    assert broken(seen) == ["not-run is true"]


@pytest.mark.parametrize("outcome", [Outcome.UNKNOWN, Outcome.DONE, None])
def test_a_run_is_no_lie_if_another_try_left_it_open(outcome: Outcome | None) -> None:
    told = evolve(WRITE, outcome=Outcome.NOT_RUN)
    other = evolve(WRITE, outcome=outcome)
    seen = Observations(told=[told, other], runs_by_mark=Counter(w=1))
    assert broken(seen) == []


def test_a_run_is_no_lie_while_a_try_is_on_its_way() -> None:
    told = evolve(WRITE, outcome=Outcome.NOT_RUN)
    seen = Observations(told=[told], runs_by_mark=Counter(w=1), open_marks={"w"})
    assert broken(seen) == []


def test_the_answer_of_another_request_is_seen() -> None:
    told = evolve(READ, is_own=False)
    assert broken(Observations(told=[told])) == ["own answer"]


def test_a_request_without_answer_is_seen_unless_its_vm_was_struck() -> None:
    told = evolve(READ, outcome=None, told_at=14.0)
    seen = Observations(told=[told])
    assert broken(seen) == ["answered"]
    seen.spans_by_struck["a"] = [Span(11.0, 12.0)]
    assert broken(seen) == []
    seen.spans_by_struck["a"] = [Span(11.0)]
    assert broken(seen) == []
    seen.spans_by_struck["a"] = [Span(0.0, 5.0)]
    assert broken(seen) == ["answered"]


def test_a_version_that_goes_back_in_one_life_is_seen() -> None:
    seen = Observations()
    seen.versions_by_life["a", 1] = [3, 2]
    assert broken(seen) == ["versions never revert"]


def test_ends_and_cuts_are_seen() -> None:
    seen = Observations(ends=[("a", 70, "crashed")], cut_off=[("a", 2)])
    assert broken(seen) == ["runs on", "a stop cuts nothing"]


def test_a_fleet_that_does_not_recover_is_seen() -> None:
    failed = evolve(READ, outcome=Outcome.NOT_RUN, request="a/9")
    seen = Observations(told=[READ] * 8 + [failed] * 2)
    (found,) = check_end(seen, calm_from=9.0, versions={"a": 2}, accepted=2)
    assert (found.promise, found.request) == ("recovers", "a/9")
    assert not list(check_end(seen, calm_from=0.0, versions={}, accepted=2))[1:]
    none_asked = list(check_end(seen, calm_from=99.0, versions={}, accepted=2))
    assert [each.promise for each in none_asked] == ["recovers"]


def test_a_vm_without_the_accepted_version_is_seen() -> None:
    seen = Observations(told=[READ])
    versions = {"a": 2, "b": 1}
    (found,) = check_end(seen, calm_from=0.0, versions=versions, accepted=2)
    assert found.promise == "accepted is in force"


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
    seen = Observations(told=[READ])
    found = check_end(seen, calm_from=0.0, versions=versions, accepted=2, doubtful=3)
    assert (not list(found)) is holds


def test_growth_is_seen() -> None:
    found = check_growth(
        {"a": MOST_RESIDENT_KB + 1, "b": 1}, {"a": MOST_DESCRIPTORS + 1}, {"a": "x"}
    )
    assert [each.promise for each in found] == [
        "memory levels off",
        "descriptors level off",
    ]
