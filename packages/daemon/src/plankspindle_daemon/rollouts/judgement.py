"""Sequential test whether a software version is worse than the one in force."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.peer_messages.rollout_messages import TIMING_SUFFIX
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes
from plankspindle_daemon.rollouts.baseline_shares import BaselineShares
from plankspindle_daemon.rollouts.baseline_shares import NewAnswers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_daemon.peer_messages.rollout_messages import UpstreamOutcomes
    from plankspindle_daemon.rollouts.baseline_shares import Group

BAD_SHARES = (0.05, 0.1, 0.2, 0.4, 0.8)
"""Shares of bad answers, above those of the baseline, that are tested for."""
FALSE_ALARM_PROBABILITY = 1e-3
"""Probability of a false alarm for one operation at any one time."""
MIN_UPSTREAMS_TO_EXCLUDE_ONE = 3
"""Upstreams of the target that must have answered for the worst not to count."""


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
    domain or a burst, which both versions bear, is no evidence. The target's worst
    upstream does not count if at least ``MIN_UPSTREAMS_TO_EXCLUDE_ONE`` have answered,
    as one failing upstream is no bad version.
    """

    _previous_by_group: dict[tuple[str, str], VersionOutcomes] = Factory(dict)
    _previous_by_upstream: dict[tuple[str, str], tuple[int, int]] = Factory(dict)
    _baseline: BaselineShares = Factory(BaselineShares)
    _log_ratios_by_operation: dict[str, list[float]] = Factory(dict)
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
        steps_by_operation: dict[str, list[float]] = {}
        found = list(outcomes)
        target_by_group = self._take_increments(found, elapsed_s)
        for each in found:
            new = target_by_group[each.operation, each.failure_domain]
            answers, bad = new.answers, new.bad
            out_answers, out_bad = excluded.pop(each.operation, (0, 0))
            used = min(answers, out_answers), min(bad, out_bad)
            excluded[each.operation] = (out_answers - used[0], out_bad - used[1])
            answers, bad = answers - used[0], bad - used[1]
            steps = self._steps(each, answers=answers, bad=min(bad, answers))
            for name in (each.operation, TIMING_SUFFIX if each.is_of_timing else ""):
                sums = steps_by_operation.setdefault(name, [0.0] * len(BAD_SHARES))
                steps_by_operation[name] = [
                    total + step for total, step in zip(sums, steps, strict=True)
                ]
        return self._evidence(steps_by_operation)

    def _take_increments(
        self, outcomes: list[VersionOutcomes], elapsed_s: float
    ) -> dict[Group, NewAnswers]:
        """Record the baseline's new answers, and return the target's."""
        baseline: dict[Group, NewAnswers] = {}
        target: dict[Group, NewAnswers] = {}
        for each in outcomes:
            group = (each.operation, each.failure_domain)
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
        self._baseline.record(baseline, elapsed_s)
        return target

    def _worst_upstream_increments(
        self, bad_upstreams: Iterable[UpstreamOutcomes]
    ) -> dict[str, tuple[int, int]]:
        """Return new answers of the upstream with the most bad ones, by operation."""
        found = list(bad_upstreams)
        bad_by_name: dict[str, int] = {}
        for each in found:
            bad_by_name[each.upstream] = bad_by_name.get(each.upstream, 0) + each.bad
        worst = max(bad_by_name, key=lambda name: bad_by_name[name], default=None)
        increments: dict[str, tuple[int, int]] = {}
        for each in found:
            key = (each.operation, each.upstream)
            answers, bad = self._previous_by_upstream.get(key, (0, 0))
            self._previous_by_upstream[key] = (each.answers, each.bad)
            if each.upstream == worst:
                increments[each.operation] = (
                    max(0, each.answers - answers),
                    max(0, each.bad - bad),
                )
        return increments

    def _steps(
        self, outcomes: VersionOutcomes, *, answers: int, bad: int
    ) -> list[float]:
        """Return what new answers of one group add to each log-likelihood ratio."""
        group = (outcomes.operation, outcomes.failure_domain)
        usual = self._baseline.usual_share(group)
        steps = []
        for above in BAD_SHARES:
            tested = usual + (1 - usual) * above
            steps.append(
                bad * math.log(tested / usual)
                + (answers - bad) * math.log((1 - tested) / (1 - usual))
            )
        return steps

    def _evidence(self, steps_by_operation: dict[str, list[float]]) -> Evidence:
        strongest = Evidence(verdict=Verdict.UNDECIDED)
        operations = self._log_ratios_by_operation.keys() | steps_by_operation.keys()
        tests = max(1, len(operations)) * len(BAD_SHARES)
        threshold = math.log(tests / FALSE_ALARM_PROBABILITY)
        for operation, steps in steps_by_operation.items():
            sums = self._log_ratios_by_operation.setdefault(
                operation, [0.0] * len(BAD_SHARES)
            )
            for index, step in enumerate(steps):
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
