"""Judged answers of a service's upstreams by software version, at one VM."""

from __future__ import annotations

import math
from collections import Counter
from collections import deque
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import evolve

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.dispatch.version_counts import MAX_BAD_UPSTREAMS
from plankspindle_daemon.peer_messages.rollout_messages import TIMING_SUFFIX
from plankspindle_daemon.peer_messages.rollout_messages import UNSEEN_KEY_SUFFIX
from plankspindle_daemon.peer_messages.rollout_messages import UpstreamOutcomes
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.messages import AttemptCompleted

SLOW_FACTOR = 2.0
"""Usual times to the head above which an answer is slow."""
UNSEEN_KEY_SLOW_FACTOR = 6.0
"""The same for requests whose key the upstream may not know.

Most such requests are new to the target's upstreams, but were sent to the baseline's by
another entry VM before; an upstream that does not know a key takes several times as
long, which is no fault of its version.
"""
UNCAPPED_FACTOR = 1.5
"""Factor on both while the share of the target version grows without a limit.

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
        key, or the upstream had answered this VM for the key. Others are compared among
        themselves.
    operation : str
        Name of the operation.
    started_at : float
        Monotonic seconds; infinite for an upload, which may have to wait for its
        caller and is not judged before it is answered.
    is_overdue : bool
        Whether it has been counted as slow while it ran.
    """

    upstream: str
    failure_domain: str
    is_target: bool
    is_comparable: bool
    operation: str
    started_at: float = math.inf
    is_overdue: bool = False


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

    def usual_s(self) -> float | None:
        """Return the usual time in seconds; None while there are too few answers."""
        if len(self._samples) < MIN_SAMPLES:
            return None
        ordered = sorted(self._samples)
        return ordered[int(USUAL_QUANTILE * len(ordered))]


@define(kw_only=True)
class VersionTally:
    """Judge the answers of one service's upstreams, and count them since the order.

    Notes
    -----
    Failures are counted among all answers, slow ones among those of the same kind:
    where the upstream is known to have seen the key, and where not. Times are compared
    with those of the baseline at this VM, so that the distance to a caller or the load
    of a day makes no answer slow. The baseline's answers are judged in the same way:
    only a difference between the versions tells. An attempt that takes longer than a
    slow answer counts as one at once, since slow answers would otherwise be missing
    among the first ones.
    """

    _started_by_ticket: dict[int, StartedAttempt] = Factory(dict)
    _usual_by_operation: dict[str, UsualTimes] = Factory(dict)
    _baseline_by_key: dict[tuple[str, str], AnswerCounts] = Factory(dict)
    _target_by_key: dict[tuple[str, str], AnswerCounts] = Factory(dict)
    _target_by_upstream: dict[tuple[str, str], AnswerCounts] = Factory(dict)
    bad_by_role: Counter[str] = Factory(Counter)

    def begin_order(self) -> None:
        """Begin to count anew; attempts that run are not judged."""
        self.discard_running()
        self._baseline_by_key.clear()
        self._target_by_key.clear()
        self._target_by_upstream.clear()

    def discard_usual_times(self) -> None:
        """Discard the times of the baseline, as it is another software version."""
        self._usual_by_operation.clear()

    def discard_running(self) -> None:
        """Judge none of the attempts that run, as this process was paused."""
        self._started_by_ticket.clear()

    def record_started(self, ticket: int, started: StartedAttempt) -> None:
        """Record an attempt whose answer is to be judged."""
        self._started_by_ticket[ticket] = started

    def record_overdue(self, now: float, *, is_capped: bool) -> None:
        """Count attempts as slow that run for longer than a slow answer takes.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        is_capped : bool
            Whether the share of the target version has a limit.
        """
        for ticket, started in self._started_by_ticket.items():
            if started.is_overdue:
                continue
            ran_s = now - started.started_at
            if self._is_slow(ran_s, started, is_capped=is_capped):
                self._started_by_ticket[ticket] = evolve(started, is_overdue=True)
                self._count(started, _timed_operation(started), is_bad=True)

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
        self._count(started, started.operation, is_bad=has_failed)
        if has_failed or completed.head_s is None:
            return
        is_slow = self._is_slow(completed.head_s, started, is_capped=is_capped)
        if is_slow is not None and not started.is_overdue:
            self._count(started, _timed_operation(started), is_bad=is_slow)
        if not started.is_target:
            self._usual_times(started).record(completed.head_s)

    def _count(self, started: StartedAttempt, operation: str, *, is_bad: bool) -> None:
        by_key = self._target_by_key if started.is_target else self._baseline_by_key
        _add(by_key, (operation, started.failure_domain), is_bad=is_bad)
        if started.is_target:
            key = (operation, started.upstream)
            _add(self._target_by_upstream, key, is_bad=is_bad)
        self.bad_by_role["target" if started.is_target else "baseline"] += is_bad

    def _is_slow(
        self, head_s: float, started: StartedAttempt, *, is_capped: bool
    ) -> bool | None:
        """Return whether a time is slow; None if there are too few to compare with."""
        usual_s = self._usual_times(started).usual_s()
        if usual_s is None:
            return None
        factor = SLOW_FACTOR if started.is_comparable else UNSEEN_KEY_SLOW_FACTOR
        return head_s > factor * (1.0 if is_capped else UNCAPPED_FACTOR) * usual_s

    def _usual_times(self, started: StartedAttempt) -> UsualTimes:
        return self._usual_by_operation.setdefault(
            _timed_operation(started), UsualTimes()
        )

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


def _timed_operation(started: StartedAttempt) -> str:
    """Return the name under which the time of an attempt is judged."""
    kind = "" if started.is_comparable else UNSEEN_KEY_SUFFIX
    return started.operation + kind + TIMING_SUFFIX


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
