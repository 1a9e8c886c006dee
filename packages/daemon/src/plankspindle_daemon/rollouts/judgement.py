"""Sequential test whether a software version is worse than the one in force."""

from __future__ import annotations

import math
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes
from plankspindle_daemon.rollouts.baseline_shares import BaselineShares
from plankspindle_daemon.rollouts.baseline_shares import Group
from plankspindle_daemon.rollouts.baseline_shares import NewAnswers
from plankspindle_daemon.rollouts.baseline_shares import total_of

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from plankspindle_daemon.peer_messages.rollout_messages import UpstreamOutcomes

BAD_SHARES = (0.05, 0.1, 0.2, 0.4, 0.8)
"""Shares of bad answers, above those of the baseline, that are tested for."""
FALSE_ALARM_PROBABILITY = 0.002
"""Probability of a false alarm for one operation at any one time."""
DOUBT_SHARE = 0.4
"""Part of the threshold above which the canary gets more requests."""
SUSPICION_SHARE = 0.7
"""Part of the threshold above which a version is not moved to.

The threshold is for an alarm at any time; this is for the few times at which the next
stage is decided on.
"""
COMPARE_AFTER_S = 0.5
"""Time for which the target's answers wait for the baseline's of the same time, in s.

Where requests are few, a disturbance that hits both versions shows in the baseline only
after some of its answers.
"""
MIN_NEW_ANSWERS = 15
"""Baseline answers of the same operation, place and time that spare this wait."""
MIN_UPSTREAMS_TO_EXCLUDE_ONE = 3
"""Upstreams of the target that must have answered for the worst not to count."""
MIN_RATIO_TO_SECOND = 2.0
"""Bad answers of the worst upstream for that, beside those of the second worst.

Where several upstreams answer badly, leaving one out would only hide the version.
"""


class Verdict(Enum):
    """What the answers so far say of the target version."""

    UNDECIDED = "undecided"
    BAD = "bad"


@frozen(kw_only=True)
class Evidence:
    """Verdict, with the counts that decided it.

    Parameters
    ----------
    verdict : Verdict
        The verdict.
    operation : str
        Operation with the strongest evidence against the target; empty for all, and
        ``TIMING_SUFFIX`` for the times of all.
    log_ratio, threshold : float
        Its log-likelihood ratio, and the one from which the target is bad.
    """

    verdict: Verdict
    operation: str = ""
    log_ratio: float = 0.0
    threshold: float = 0.0

    @property
    def is_doubtful(self) -> bool:
        """Whether more answers are wanted before a version is moved to."""
        return self.log_ratio > DOUBT_SHARE * self.threshold

    @property
    def is_suspicious(self) -> bool:
        """Whether it speaks against a version, though it is no proof yet."""
        return self.log_ratio > SUSPICION_SHARE * self.threshold


@frozen(kw_only=True)
class _TargetAnswers:
    """New answers of the target by group, which are not compared yet.

    Parameters
    ----------
    at : float
        When they were reported, monotonic seconds.
    answers_by_group : dict of (str, str) to NewAnswers
        Answers by operation and failure domain, without excluded ones.
    """

    at: float
    answers_by_group: dict[Group, NewAnswers]


@define(kw_only=True)
class Judgement:
    """Compare the target's answers with the baseline's of the same time and place.

    Notes
    -----
    For each operation, and for all together, one cumulative sum per share of bad
    answers that is tested for: the log-likelihood ratio of the target's answers under
    that share against the baseline's, summed over failure domains and reset to zero
    when it falls below (CUSUM). Slow answers of all operations have a sum of their own,
    as the good answers of a slow version that never fails would hide them. Earlier good
    answers do not hide that a version turns bad later. The baseline's share is that of
    the same time and failure domain (:class:`BaselineShares`), so that a slow failure
    domain or a burst, which both versions bear, is no evidence. Answers wait for it
    where the baseline has few. The target's worst upstream does not count if at least
    ``MIN_UPSTREAMS_TO_EXCLUDE_ONE`` have answered and it gave far more bad answers
    than any other, as one failing upstream is no bad version.
    """

    _previous_by_group: dict[tuple[str, str], VersionOutcomes] = Factory(dict)
    _previous_by_upstream: dict[tuple[str, str], NewAnswers] = Factory(dict)
    _baseline: BaselineShares = Factory(BaselineShares)
    _log_ratios_by_operation: dict[str, list[float]] = Factory(dict)
    _waiting: deque[_TargetAnswers] = Factory(deque)
    _updated_at: float | None = None

    def update(
        self,
        outcomes: Iterable[VersionOutcomes],
        bad_upstreams: Iterable[UpstreamOutcomes],
        *,
        target_upstreams: int,
        now: float,
    ) -> Evidence:
        """Take the sums over all entry VMs since the order, and return the verdict.

        Parameters
        ----------
        outcomes : iterable of VersionOutcomes
            Answers by operation and failure domain; counts only grow.
        bad_upstreams : iterable of UpstreamOutcomes
            The target's upstreams with bad answers.
        target_upstreams : int
            Upstreams of the target that get requests.
        now : float
            Monotonic seconds.
        """
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        excluded = (
            self._worst_upstream_increments(bad_upstreams)
            if target_upstreams >= MIN_UPSTREAMS_TO_EXCLUDE_ONE
            else {}
        )
        found = list(outcomes)
        baseline_by_group, target_by_group = self._take_increments(found)
        self._baseline.record(baseline_by_group, elapsed_s)
        _exclude(target_by_group, excluded)
        compared = {
            group: new
            for group, new in target_by_group.items()
            if baseline_by_group[group].answers >= MIN_NEW_ANSWERS
        }
        waiting = {
            group: new
            for group, new in target_by_group.items()
            if group not in compared
        }
        self._waiting.append(_TargetAnswers(at=now, answers_by_group=waiting))
        steps_by_operation: dict[str, list[float]] = {}
        self._compare(compared, baseline_by_group, steps_by_operation)
        for each in self._take_waiting(now):
            self._compare(each, {}, steps_by_operation)
        return self._evidence(steps_by_operation)

    def _take_waiting(self, now: float) -> list[dict[Group, NewAnswers]]:
        """Return what has waited long enough."""
        taken = []
        while self._waiting and self._waiting[0].at <= now - COMPARE_AFTER_S:
            taken.append(self._waiting.popleft().answers_by_group)
        return taken

    def _compare(
        self,
        target_by_group: Mapping[Group, NewAnswers],
        baseline_by_group: Mapping[Group, NewAnswers],
        steps_by_operation: dict[str, list[float]],
    ) -> None:
        """Add to the steps of the log-likelihood ratios, by operation.

        Parameters
        ----------
        target_by_group : mapping of (str, str) to NewAnswers
            Answers of the target.
        baseline_by_group : mapping of (str, str) to NewAnswers
            Answers of the baseline at the same time, if they are compared at once.
        steps_by_operation : dict of str to list of float
            Sums of the steps for each tested share.
        """
        for group, new in target_by_group.items():
            baseline = baseline_by_group.get(group, NewAnswers())
            steps = self._steps(new, self._baseline.usual_share(group, baseline))
            for name in (group[0], total_of(group[0])):
                sums = steps_by_operation.setdefault(name, [0.0] * len(BAD_SHARES))
                steps_by_operation[name] = [
                    total + step for total, step in zip(sums, steps, strict=True)
                ]

    def _take_increments(
        self, outcomes: list[VersionOutcomes]
    ) -> tuple[dict[Group, NewAnswers], dict[Group, NewAnswers]]:
        """Return the new answers of the baseline and of the target."""
        baseline: dict[Group, NewAnswers] = {}
        target: dict[Group, NewAnswers] = {}
        for each in outcomes:
            group = (each.operation, each.failure_domain)
            for name in (each.operation, total_of(each.operation)):
                self._log_ratios_by_operation.setdefault(name, [0.0] * len(BAD_SHARES))
            before = self._previous_by_group.get(
                group, VersionOutcomes(operation=group[0], failure_domain=group[1])
            )
            self._previous_by_group[group] = each
            baseline[group] = NewAnswers(
                answers=max(0, each.baseline_answers - before.baseline_answers),
                bad=max(0, each.baseline_bad - before.baseline_bad),
            )
            target[group] = NewAnswers(
                answers=max(0, each.target_answers - before.target_answers),
                bad=max(0, each.target_bad - before.target_bad),
            )
        return baseline, target

    def _worst_upstream_increments(
        self, bad_upstreams: Iterable[UpstreamOutcomes]
    ) -> dict[str, NewAnswers]:
        """Return new answers of the upstream with the most bad ones, by operation."""
        found = list(bad_upstreams)
        bad_by_name: dict[str, int] = {}
        for each in found:
            bad_by_name[each.upstream] = bad_by_name.get(each.upstream, 0) + each.bad
        worst = max(bad_by_name, key=lambda name: bad_by_name[name], default=None)
        most, second, *_ = [*sorted(bad_by_name.values(), reverse=True), 0, 0]
        if most < MIN_RATIO_TO_SECOND * second:
            worst = None
        increments: dict[str, NewAnswers] = {}
        for each in found:
            key = (each.operation, each.upstream)
            before = self._previous_by_upstream.get(key, NewAnswers())
            sums = NewAnswers(answers=each.answers, bad=each.bad)
            self._previous_by_upstream[key] = sums
            if each.upstream == worst:
                increments[each.operation] = sums.since(before)
        return increments

    def _steps(self, new: NewAnswers, usual: float) -> list[float]:
        """Return what answers add to the ratios, given the baseline's share."""
        steps = []
        for above in BAD_SHARES:
            tested = usual + (1 - usual) * above
            steps.append(
                new.bad * math.log(tested / usual)
                + (new.answers - new.bad) * math.log((1 - tested) / (1 - usual))
            )
        return steps

    def _evidence(self, steps_by_operation: dict[str, list[float]]) -> Evidence:
        tests = max(1, len(self._log_ratios_by_operation)) * len(BAD_SHARES)
        threshold = math.log(tests / FALSE_ALARM_PROBABILITY)
        strongest = Evidence(verdict=Verdict.UNDECIDED, threshold=threshold)
        for operation, sums in self._log_ratios_by_operation.items():
            for index, step in enumerate(steps_by_operation.get(operation, ())):
                sums[index] = max(0.0, sums[index] + step)
            if max(sums) >= strongest.log_ratio:
                is_bad = max(sums) >= threshold
                strongest = Evidence(
                    verdict=Verdict.BAD if is_bad else Verdict.UNDECIDED,
                    operation=operation,
                    log_ratio=max(sums),
                    threshold=threshold,
                )
        return strongest


def _exclude(
    answers_by_group: dict[Group, NewAnswers],
    excluded_by_operation: dict[str, NewAnswers],
) -> None:
    """Take answers of an excluded upstream out, whatever its failure domain is."""
    left_by_operation = dict(excluded_by_operation)
    for group, new in answers_by_group.items():
        excluded = left_by_operation.get(group[0], NewAnswers())
        used = NewAnswers(
            answers=min(new.answers, excluded.answers), bad=min(new.bad, excluded.bad)
        )
        left_by_operation[group[0]] = excluded.since(used)
        left = new.answers - used.answers
        answers_by_group[group] = NewAnswers(
            answers=left, bad=min(new.bad - used.bad, left)
        )
