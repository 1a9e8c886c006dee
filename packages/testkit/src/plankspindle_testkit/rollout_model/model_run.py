"""One modelled roll-out: stages as the coordinator sets them, counts as VMs report."""

from __future__ import annotations

import math
from collections import deque
from random import Random
from typing import TYPE_CHECKING
from typing import Protocol

from attrs import Factory
from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.peer_messages.rollout_messages import UpstreamOutcomes
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes
from plankspindle_daemon.rollouts.canary_share import canary_share_of
from plankspindle_daemon.rollouts.judgement import Evidence
from plankspindle_daemon.rollouts.judgement import Judgement
from plankspindle_daemon.rollouts.judgement import Verdict
from plankspindle_daemon.rollouts.rollout_participant import CANARY_SHARE
from plankspindle_daemon.rollouts.rollout_participant import MOVE_POWER
from plankspindle_daemon.rollouts.rollout_participant import SETTLE_S
from plankspindle_testkit.rollout_model.load import DOMAINS
from plankspindle_testkit.rollout_model.load import SECONDS
from plankspindle_testkit.rollout_model.load import SHARE_BY_OPERATION
from plankspindle_testkit.rollout_model.load import USUAL_BAD_SHARE
from plankspindle_testkit.rollout_model.load import ModelFault

if TYPE_CHECKING:
    from collections.abc import Iterable

STEP_S = 0.25
EXPOSURE_SLACK = 50
CANARY_FROM_S = 3.2
MOVE_FROM_S = 9.2
MOVED_BY_S = 10.7
LATEST_MOVE_S = 10.2
REPORT_STEPS = 3
"""Steps from an answer to the coordinator that judges it."""
STOP_STEPS = 2
"""Steps from a halt to the last request that a VM sends the target."""
ALL_UPSTREAMS = 200
MAX_REPORTED_UPSTREAMS = 8
MIN_CANARY_UPSTREAMS = 3
"""Upstreams of the target that get requests in the canary: one of each region."""
SMALL_MEAN = 12.0
"""Mean up to which counts are drawn exactly, not by a normal distribution."""


class Judge(Protocol):
    """Decides from sums of counts whether the target version is bad.

    Attributes
    ----------
    is_in_doubt, is_suspicious : bool
        Whether more answers are wanted, and whether the next stage must not begin.
    """

    @property
    def is_in_doubt(self) -> bool:
        """Whether more answers are wanted."""

    @property
    def is_suspicious(self) -> bool:
        """Whether the next stage must not begin."""

    def is_bad(
        self,
        outcomes: Iterable[VersionOutcomes],
        bad_upstreams: Iterable[UpstreamOutcomes],
        *,
        target_upstreams: int,
        now: float,
    ) -> bool:
        """Take the sums since the order, and return whether the target is bad."""


@define(kw_only=True)
class SequentialJudge:
    """The judgement of the daemon."""

    judgement: Judgement = Factory(Judgement)
    _evidence: Evidence = Factory(lambda: Evidence(verdict=Verdict.UNDECIDED))

    @property
    def is_in_doubt(self) -> bool:
        """Whether more answers are wanted."""
        return self._evidence.is_doubtful

    @property
    def is_suspicious(self) -> bool:
        """Whether the next stage must not begin."""
        return self._evidence.is_suspicious

    def is_bad(
        self,
        outcomes: Iterable[VersionOutcomes],
        bad_upstreams: Iterable[UpstreamOutcomes],
        *,
        target_upstreams: int,
        now: float,
    ) -> bool:
        """Take the sums since the order, and return whether the target is bad."""
        self._evidence = self.judgement.update(
            outcomes, bad_upstreams, target_upstreams=target_upstreams, now=now
        )
        return self._evidence.verdict is Verdict.BAD


@define(kw_only=True)
class ThresholdJudge:
    """Fixed threshold on the share of bad answers of all operations together.

    Parameters
    ----------
    share : float
        Share of bad answers from which the target is bad.
    min_answers : int
        Answers that it must have given.
    """

    share: float = 0.1
    min_answers: int = 30
    is_in_doubt: bool = False
    is_suspicious: bool = False

    def is_bad(
        self,
        outcomes: Iterable[VersionOutcomes],
        bad_upstreams: Iterable[UpstreamOutcomes],
        *,
        target_upstreams: int,
        now: float,
    ) -> bool:
        """Take the sums since the order, and return whether the target is bad."""
        found = list(outcomes)
        answers = sum(each.target_answers for each in found)
        bad = sum(each.target_bad for each in found)
        return answers >= self.min_answers and bad > self.share * answers


@frozen(kw_only=True)
class ModelResult:
    """Result of one run.

    Parameters
    ----------
    halted_at : float, optional
        When the target was halted, in seconds after the order; None if it was not.
    requests, exposed : int
        Requests until the deadline, and those that the target got.
    fiftieth_bad_at : float, optional
        When the target gave its fiftieth bad answer.
    last_sent_at : float
        When the last request was sent to the target.
    """

    halted_at: float | None
    requests: int
    exposed: int
    fiftieth_bad_at: float | None
    last_sent_at: float


@define(kw_only=True)
class ModelRun:
    """One roll-out under a load and a fault.

    Parameters
    ----------
    fault : ModelFault
        What is wrong.
    per_s : float
        Requests a second of all VMs.
    judge : Judge
        Decides on the counts.
    seed : int
        Seed of all draws.
    upstreams : int
        Upstreams of the target version.
    """

    fault: ModelFault
    per_s: float
    judge: Judge
    seed: int
    upstreams: int = ALL_UPSTREAMS
    _random: Random = field(init=False)
    _canary_share: float = field(init=False)
    _move_from_s: float = MOVE_FROM_S
    _totals: dict[tuple[str, int], list[int]] = Factory(dict)
    _by_upstream: dict[tuple[str, str], list[int]] = Factory(dict)
    _target_bad: int = 0
    _fiftieth_bad_at: float | None = None

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)
        self._canary_share = self._share_of_canary(is_in_doubt=False)

    def _share_of_canary(self, *, is_in_doubt: bool) -> float:
        return canary_share_of(
            CANARY_SHARE,
            exposure_slack=EXPOSURE_SLACK,
            per_s=self.per_s,
            canary_s=MOVE_FROM_S - CANARY_FROM_S,
            is_in_doubt=is_in_doubt,
        )

    def run(self) -> ModelResult:
        """Run from the order to its deadline."""
        in_transit: deque[tuple[list[VersionOutcomes], list[UpstreamOutcomes]]] = (
            deque()
        )
        halted_at: float | None = None
        requests = exposed = 0
        last_sent_at = 0.0
        for step in range(round(SECONDS / STEP_S)):
            now = step * STEP_S
            share = self._target_share(now, halted_at)
            sent, to_target = self._serve(now, share)
            requests, exposed = requests + sent, exposed + to_target
            last_sent_at = now if to_target else last_sent_at
            in_transit.append(self._report())
            if len(in_transit) <= REPORT_STEPS or halted_at is not None:
                continue
            outcomes, bad_upstreams = in_transit.popleft()
            is_moving = now >= self._move_from_s
            if self.judge.is_bad(
                outcomes,
                bad_upstreams,
                target_upstreams=self._used_upstreams(is_canary=not is_moving),
                now=now,
            ):
                halted_at = now
            elif self.judge.is_in_doubt and not is_moving:
                self._canary_share = self._share_of_canary(is_in_doubt=True)
            if self.judge.is_suspicious and halted_at is None:
                halted_at = self._hold(now)
        return ModelResult(
            halted_at=halted_at,
            requests=requests,
            exposed=exposed,
            fiftieth_bad_at=self._fiftieth_bad_at,
            last_sent_at=last_sent_at,
        )

    def _hold(self, now: float) -> float | None:
        """Hold the move back while answers are suspicious.

        Returns
        -------
        float or None
            When the roll-out is given up, in seconds.
        """
        if now + STEP_S < self._move_from_s:
            return None
        if now < self._move_from_s and now < LATEST_MOVE_S:
            self._move_from_s = now + 2 * STEP_S
            return None
        is_decided_on = now < self._move_from_s or now >= MOVED_BY_S + SETTLE_S
        return now if is_decided_on else None

    def _target_share(self, now: float, halted_at: float | None) -> float:
        has_stopped = halted_at is not None and now >= halted_at + STOP_STEPS * STEP_S
        if has_stopped or now < CANARY_FROM_S:
            return 0.0
        canary_share = self._canary_share
        if now < self._move_from_s:
            return canary_share
        moved = min(1.0, (now - self._move_from_s) / (MOVED_BY_S - self._move_from_s))
        return canary_share + (1 - canary_share) * moved**MOVE_POWER

    def _used_upstreams(self, *, is_canary: bool) -> int:
        """Return how many of the target's upstreams get requests."""
        if not is_canary:
            return self.upstreams
        return max(MIN_CANARY_UPSTREAMS, round(self._canary_share * self.upstreams))

    def _serve(self, now: float, share: float) -> tuple[int, int]:
        """Serve the requests of one step; return how many, and those at the target."""
        requests = to_target = 0
        for operation, part in SHARE_BY_OPERATION.items():
            for domain in range(DOMAINS):
                mean = self.per_s * STEP_S * part / DOMAINS
                sent = self._draw(mean * (1 - share))
                exposed = self._draw(mean * share)
                self._answer(operation, domain, sent, exposed, now, share)
                requests += sent + exposed
                to_target += exposed
        return requests, to_target

    def _answer(
        self,
        operation: str,
        domain: int,
        sent: int,
        exposed: int,
        now: float,
        share: float,
    ) -> None:
        is_canary = share <= self._canary_share
        load = 1.0 if is_canary else share
        holds = self.fault.applies(operation, domain, now, load)
        usual, faulty = USUAL_BAD_SHARE, self.fault.bad_share()
        baseline_share = faulty if holds and self.fault.hits_baseline else usual
        target_share = faulty if holds and not self.fault.grey_upstreams else usual
        bad = self._draw_share(exposed, target_share)
        used = self._used_upstreams(is_canary=is_canary)
        self._spread(operation, exposed, bad, used)
        if holds and self.fault.grey_upstreams:
            bad += self._answer_grey(operation, exposed, used, faulty)
        totals = self._totals.setdefault((operation, domain), [0, 0, 0, 0])
        totals[0] += sent
        totals[1] += self._draw_share(sent, baseline_share)
        totals[2] += exposed
        totals[3] += min(bad, exposed)
        self._target_bad += bad if holds and self.fault.is_bad else 0
        if self._target_bad >= 50 and self._fiftieth_bad_at is None:
            self._fiftieth_bad_at = now

    def _spread(self, operation: str, answers: int, bad: int, used: int) -> None:
        """Count the answers of the target for upstreams drawn at random."""
        for number in range(answers):
            upstream = f"upstream-{self._random.randrange(used)}"
            self._count_upstream(operation, upstream, 1, int(number < bad))

    def _answer_grey(
        self, operation: str, exposed: int, used: int, faulty: float
    ) -> int:
        """Return the bad answers of grey upstreams, and count them for each."""
        bad = 0
        for number in range(self.fault.grey_upstreams):
            answers = self._draw_share(exposed, 1 / used)
            found = self._draw_share(answers, faulty)
            self._count_upstream(operation, f"upstream-{number}", answers, found)
            bad += found
        return bad

    def _count_upstream(
        self, operation: str, upstream: str, answers: int, bad: int
    ) -> None:
        counts = self._by_upstream.setdefault((operation, upstream), [0, 0])
        counts[0] += answers
        counts[1] += bad

    def _report(self) -> tuple[list[VersionOutcomes], list[UpstreamOutcomes]]:
        outcomes = [
            VersionOutcomes(
                operation=operation,
                failure_domain=str(domain),
                baseline_answers=counts[0],
                baseline_bad=counts[1],
                target_answers=counts[2],
                target_bad=counts[3],
            )
            for (operation, domain), counts in self._totals.items()
        ]
        bad = [each for each in self._by_upstream.items() if each[1][1]]
        bad.sort(key=lambda each: (-each[1][1], each[0]))
        bad_upstreams = [
            UpstreamOutcomes(
                operation=operation, upstream=name, answers=counts[0], bad=counts[1]
            )
            for (operation, name), counts in bad[:MAX_REPORTED_UPSTREAMS]
        ]
        return outcomes, bad_upstreams

    def _draw(self, mean: float) -> int:
        """Return a count of independent arrivals."""
        if mean > SMALL_MEAN:
            return max(0, round(self._random.gauss(mean, math.sqrt(mean))))
        limit, product, count = math.exp(-mean), self._random.random(), 0
        while product > limit:
            product *= self._random.random()
            count += 1
        return count

    def _draw_share(self, count: int, share: float) -> int:
        """Return how many of a count are drawn, each with the same probability."""
        mean = count * share
        if min(mean, count - mean) > SMALL_MEAN:
            drawn = self._random.gauss(mean, math.sqrt(mean * (1 - share)))
            return min(count, max(0, round(drawn)))
        if count > 50 and share < 0.1:
            return min(count, self._draw(mean))
        return sum(self._random.random() < share for _ in range(count))
