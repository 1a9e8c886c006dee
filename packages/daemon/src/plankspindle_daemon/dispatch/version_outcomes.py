"""Judged answers of a service's upstreams by software version, at one VM."""

from __future__ import annotations

from collections import Counter
from collections import deque
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.dispatch.version_counts import MAX_BAD_UPSTREAMS
from plankspindle_daemon.peer_messages.rollout_messages import TIMING_SUFFIX
from plankspindle_daemon.peer_messages.rollout_messages import UpstreamOutcomes
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.messages import AttemptCompleted

SLOW_FACTOR = 2.0
"""Usual times to the head above which an answer is slow."""
UNCAPPED_SLOW_FACTOR = 1.5 * SLOW_FACTOR
"""The same while the share of the target version grows without a limit.

Its upstreams then get keys that they have not seen, and more load each second.
"""
USUAL_QUANTILE = 0.75
"""Quantile of the baseline's times to the head that counts as usual."""
MAX_SAMPLES = 64
MIN_SAMPLES = 8
"""Baseline answers to an operation that are kept, and that are needed to compare."""
MIN_ERROR_STATUS = 500


@frozen(kw_only=True)
class StartedAttempt:
    """An attempt whose answer is to be judged.

    Parameters
    ----------
    upstream, failure_domain : str
        Upstream that it runs on, and its failure domain.
    is_target : bool
        Whether that runs the target version.
    is_comparable : bool
        Whether its duration can be compared with those of others: it has no affinity
        key, or the upstream had answered this VM for the key.
    """

    upstream: str
    failure_domain: str
    is_target: bool
    is_comparable: bool


@define(kw_only=True)
class AnswerCounts:
    """Answers and bad ones."""

    answers: int = 0
    bad: int = 0

    def add(self, *, is_bad: bool) -> None:
        """Count an answer."""
        self.answers += 1
        self.bad += is_bad


@define(kw_only=True)
class UsualTimes:
    """Times to the head of the latest baseline answers to one operation, in seconds."""

    _samples: deque[float] = Factory(lambda: deque(maxlen=MAX_SAMPLES))

    def record(self, head_s: float) -> None:
        """Record the time to the head of a baseline answer, in seconds."""
        self._samples.append(head_s)

    def is_slow(self, head_s: float, factor: float) -> bool | None:
        """Return whether an answer took more than a multiple of the usual time.

        Parameters
        ----------
        head_s : float
            Time to its head, in seconds.
        factor : float
            The multiple.

        Returns
        -------
        bool or None
            None while there are fewer than ``MIN_SAMPLES``.
        """
        if len(self._samples) < MIN_SAMPLES:
            return None
        ordered = sorted(self._samples)
        return head_s > factor * ordered[int(USUAL_QUANTILE * len(ordered))]


@define(kw_only=True)
class VersionTally:
    """Judge the answers of one service's upstreams, and count them since the order.

    Notes
    -----
    Failures are counted among all answers, slow ones among those that can be compared:
    where many VMs share the keys, that is a small part, and counting the others as fast
    would hide a slow version. Times are compared with those of the baseline at this VM,
    so that the distance to a caller or the load of a day makes no answer slow. The
    baseline's answers are judged in the same way: only a difference between the
    versions tells.
    """

    _started_by_ticket: dict[int, StartedAttempt] = Factory(dict)
    _usual_by_operation: dict[str, UsualTimes] = Factory(dict)
    _baseline_by_key: dict[tuple[str, str], AnswerCounts] = Factory(dict)
    _target_by_key: dict[tuple[str, str], AnswerCounts] = Factory(dict)
    _target_by_upstream: dict[tuple[str, str], AnswerCounts] = Factory(dict)
    bad_by_role: Counter[str] = Factory(Counter)

    def begin_order(self) -> None:
        """Begin to count anew; attempts that run are not judged."""
        self._started_by_ticket.clear()
        self._baseline_by_key.clear()
        self._target_by_key.clear()
        self._target_by_upstream.clear()

    def discard_usual_times(self) -> None:
        """Discard the times of the baseline, as it is another software version."""
        self._usual_by_operation.clear()

    def record_started(self, ticket: int, started: StartedAttempt) -> None:
        """Record an attempt whose answer is to be judged."""
        self._started_by_ticket[ticket] = started

    def record_completed(self, completed: AttemptCompleted, *, is_capped: bool) -> None:
        """Judge the answer of a completed attempt, if it is to be judged.

        Parameters
        ----------
        completed : AttemptCompleted
            The attempt and its outcome.
        is_capped : bool
            Whether the share of the target version has a limit.
        """
        started = self._started_by_ticket.pop(completed.ticket.id, None)
        if started is None or started.upstream != completed.upstream:
            return
        has_failed = _has_failed(completed)
        if has_failed is None:
            return
        operation = completed.ticket.operation
        self._count(started, operation, is_bad=has_failed)
        if has_failed:
            return
        is_slow = self._is_slow(completed, started, is_capped=is_capped)
        if is_slow is not None:
            self._count(started, operation + TIMING_SUFFIX, is_bad=is_slow)

    def _count(self, started: StartedAttempt, operation: str, *, is_bad: bool) -> None:
        by_key = self._target_by_key if started.is_target else self._baseline_by_key
        _add(by_key, (operation, started.failure_domain), is_bad=is_bad)
        if started.is_target:
            key = (operation, started.upstream)
            _add(self._target_by_upstream, key, is_bad=is_bad)
        self.bad_by_role["target" if started.is_target else "baseline"] += is_bad

    def _is_slow(
        self, completed: AttemptCompleted, started: StartedAttempt, *, is_capped: bool
    ) -> bool | None:
        """Return whether an answer is slow; None if its time cannot be compared."""
        if completed.head_s is None or not started.is_comparable:
            return None
        operation = completed.ticket.operation
        usual = self._usual_by_operation.setdefault(operation, UsualTimes())
        factor = SLOW_FACTOR if is_capped else UNCAPPED_SLOW_FACTOR
        is_slow = usual.is_slow(completed.head_s, factor)
        if not started.is_target:
            usual.record(completed.head_s)
        return is_slow

    def outcomes(self) -> tuple[VersionOutcomes, ...]:
        """Return the judged answers by operation and failure domain."""
        none = AnswerCounts()
        outcomes = []
        for key in sorted(self._baseline_by_key.keys() | self._target_by_key.keys()):
            baseline = self._baseline_by_key.get(key, none)
            target = self._target_by_key.get(key, none)
            outcomes.append(
                VersionOutcomes(
                    operation=key[0],
                    failure_domain=key[1],
                    baseline_answers=baseline.answers,
                    baseline_bad=baseline.bad,
                    target_answers=target.answers,
                    target_bad=target.bad,
                )
            )
        return tuple(outcomes)

    def bad_upstreams(self) -> tuple[UpstreamOutcomes, ...]:
        """Return the target's upstreams with the most bad answers, those first."""
        bad = [each for each in self._target_by_upstream.items() if each[1].bad]
        bad.sort(key=lambda each: (-each[1].bad, each[0]))
        return tuple(
            UpstreamOutcomes(
                operation=operation,
                upstream=upstream,
                answers=counts.answers,
                bad=counts.bad,
            )
            for (operation, upstream), counts in bad[:MAX_BAD_UPSTREAMS]
        )


def _has_failed(completed: AttemptCompleted) -> bool | None:
    """Return whether an attempt failed; None if its outcome is not judged."""
    match completed.outcome:
        case AttemptOutcome.FAILED | AttemptOutcome.TIMED_OUT if completed.is_doubtful:
            return None
        case AttemptOutcome.FAILED | AttemptOutcome.TIMED_OUT:
            return True
        case AttemptOutcome.ANSWERED:
            status = completed.status
            return status is not None and status >= MIN_ERROR_STATUS
        case _:
            return None


def _add(
    counts_by_key: dict[tuple[str, str], AnswerCounts],
    key: tuple[str, str],
    *,
    is_bad: bool,
) -> None:
    counts = counts_by_key.get(key)
    if counts is None:
        counts = counts_by_key[key] = AnswerCounts()
    counts.add(is_bad=is_bad)
