"""Tests of the sequential judgement of a target version."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from attrs import define
from attrs import field

from plankspindle_daemon.peer_messages.rollout_messages import TIMING_SUFFIX
from plankspindle_daemon.peer_messages.rollout_messages import UpstreamOutcomes
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes
from plankspindle_daemon.rollouts.judgement import Evidence
from plankspindle_daemon.rollouts.judgement import Judgement
from plankspindle_daemon.rollouts.judgement import Verdict

PERIOD_S = 0.25
OPERATIONS = ("fetch", "record", "release")
DOMAINS = ("ba-1", "ke-1")
UPSTREAMS = 5
BASELINE_PER_PERIOD = 20
TARGET_PER_PERIOD = 2
"""Answers to each operation in each failure domain, of each version."""


@define
class Answers:
    """Random answers of both versions, judged each period."""

    seed: int
    baseline_bad: float = 0.01
    target_bad: dict[str, float] = field(factory=dict)
    bad_upstream: str = ""
    judgement: Judgement = field(factory=Judgement)
    target_answers: int = 0
    target_bad_answers: int = 0
    now: float = 0.0
    _counts: Counter[tuple[str, ...]] = field(factory=Counter)

    def run(self, seconds: float) -> Evidence:
        """Answer until the target is found bad, or the time is over."""
        random = Random(f"{self.seed} {self.now}")
        until = self.now + seconds
        evidence = Evidence(verdict=Verdict.UNDECIDED)
        while self.now < until and evidence.verdict is Verdict.UNDECIDED:
            self.now += PERIOD_S
            self._answer(random)
            evidence = self.judgement.update(
                self._outcomes(),
                self._bad_upstreams(),
                target_upstreams=UPSTREAMS,
                now=self.now,
            )
        return evidence

    def _answer(self, random: Random) -> None:
        for operation in OPERATIONS:
            for domain in DOMAINS:
                for _ in range(BASELINE_PER_PERIOD):
                    is_bad = random.random() < self.baseline_bad
                    self._counts[operation, domain, "baseline"] += 1
                    self._counts[operation, domain, "baseline bad"] += is_bad
                for _ in range(TARGET_PER_PERIOD):
                    self._answer_of_target(random, operation, domain)

    def _answer_of_target(self, random: Random, operation: str, domain: str) -> None:
        upstream = f"u{random.randrange(UPSTREAMS)}"
        share = self.target_bad.get(operation, self.baseline_bad)
        is_bad = upstream == self.bad_upstream or random.random() < share
        self.target_answers += 1
        self.target_bad_answers += is_bad
        self._counts[operation, domain, "target"] += 1
        self._counts[operation, domain, "target bad"] += is_bad
        self._counts[operation, upstream] += 1
        self._counts[operation, upstream, "", "bad"] += is_bad

    def _outcomes(self) -> list[VersionOutcomes]:
        return [
            VersionOutcomes(
                operation=operation,
                failure_domain=domain,
                baseline_answers=self._counts[operation, domain, "baseline"],
                baseline_bad=self._counts[operation, domain, "baseline bad"],
                target_answers=self._counts[operation, domain, "target"],
                target_bad=self._counts[operation, domain, "target bad"],
            )
            for operation in OPERATIONS
            for domain in DOMAINS
        ]

    def _bad_upstreams(self) -> list[UpstreamOutcomes]:
        return [
            UpstreamOutcomes(
                operation=operation,
                upstream=f"u{number}",
                answers=self._counts[operation, f"u{number}"],
                bad=bad,
            )
            for operation in OPERATIONS
            for number in range(UPSTREAMS)
            if (bad := self._counts[operation, f"u{number}", "", "bad"])
        ]


def all_operations(share: float) -> dict[str, float]:
    return dict.fromkeys(OPERATIONS, share)


@pytest.mark.parametrize("seed", range(5))
def test_version_as_good_as_the_baseline_is_not_bad(seed: int) -> None:
    assert Answers(seed).run(120).verdict is Verdict.UNDECIDED


@pytest.mark.parametrize(
    ("share", "max_bad"), [(0.2, 60), (0.5, 30), (1.0, 25)], ids=str
)
@pytest.mark.parametrize("seed", range(5))
def test_failing_version_is_bad_after_few_answers(
    seed: int, share: float, max_bad: int
) -> None:
    answers = Answers(seed, target_bad=all_operations(share))
    assert answers.run(120).verdict is Verdict.BAD
    assert answers.target_bad_answers <= max_bad


@pytest.mark.parametrize("seed", range(5))
def test_version_that_turns_bad_late_is_bad(seed: int) -> None:
    answers = Answers(seed)
    assert answers.run(60).verdict is Verdict.UNDECIDED
    answers.target_bad, before = all_operations(0.5), answers.target_bad_answers
    assert answers.run(10).verdict is Verdict.BAD
    assert answers.target_bad_answers - before <= 40


@pytest.mark.parametrize("seed", range(5))
def test_version_bad_in_one_operation_is_bad(seed: int) -> None:
    answers = Answers(seed, target_bad={"record": 0.5})
    evidence = answers.run(60)
    assert evidence.verdict is Verdict.BAD
    assert evidence.operation in ("record", "")
    assert answers.target_bad_answers <= 50


@pytest.mark.parametrize("seed", range(5))
def test_one_failing_upstream_is_no_bad_version(seed: int) -> None:
    answers = Answers(seed, bad_upstream="u3")
    assert answers.run(60).verdict is Verdict.UNDECIDED


@pytest.mark.parametrize("seed", range(5))
def test_disturbance_of_both_versions_is_no_bad_version(seed: int) -> None:
    answers = Answers(seed)
    answers.run(10)
    answers.baseline_bad = 0.4
    assert answers.run(60).verdict is Verdict.UNDECIDED


def test_counts_that_decrease_are_no_evidence() -> None:
    answers = Answers(1)
    answers.run(10)
    answers._counts.clear()
    assert answers.run(30).verdict is Verdict.UNDECIDED


def test_slow_version_is_bad_though_it_never_fails() -> None:
    """Each operation alone has too few answers whose times were compared."""
    outcomes = [
        VersionOutcomes(
            operation=operation + suffix,
            failure_domain="ba-1",
            baseline_answers=200,
            target_answers=3 if suffix else 30,
            target_bad=2 if suffix else 0,
        )
        for operation in ("a", "b", "c", "d", "e", "f")
        for suffix in ("", TIMING_SUFFIX)
    ]
    judgement = Judgement()
    judgement.update([], [], target_upstreams=1, now=0.0)
    evidence = judgement.update(outcomes, [], target_upstreams=1, now=PERIOD_S)
    assert evidence.verdict is Verdict.BAD
    assert evidence.operation == TIMING_SUFFIX


def test_first_answers_are_judged_for_as_many_operations_as_later_ones() -> None:
    outcomes = [
        VersionOutcomes(operation=operation, failure_domain="ba-1", target_answers=1)
        for operation in OPERATIONS
    ]
    judgement = Judgement()
    first, later = (
        judgement.update(outcomes, [], target_upstreams=1, now=now)
        for now in (0.0, PERIOD_S)
    )
    assert first.threshold == later.threshold > 0
