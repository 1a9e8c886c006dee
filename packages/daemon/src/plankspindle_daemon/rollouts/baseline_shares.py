"""Share of bad answers that the software version in force has, by time and place."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import TypeVar

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.peer_messages.rollout_messages import TIMING_SUFFIX

if TYPE_CHECKING:
    from collections.abc import Mapping

MIN_BASELINE_SHARE = 0.01
"""Least share of bad answers that the baseline is assumed to have.

Baselines of few answers without a bad one say little; this bounds what they claim.
"""
MAX_BASELINE_SHARE = 0.95
BASELINE_MEMORY_S = 3.0
"""Time constant with which earlier answers lose weight, in seconds."""
LATEST_MEMORY_S = 0.5
"""The same of the latest answers, which tell the share of the moment."""
DISTURBED_S = 8.0
"""Time for which the baseline counts as disturbed once it has worsened, in seconds.

It is a multiple of the memory, which takes a disturbance in only slowly.
"""
WORSENED_STANDARD_ERRORS = 1.5
"""Standard errors by which the latest answers must be worse for that."""
MIN_LATEST_ANSWERS = 5.0
"""Latest answers that are needed for that."""
UNCOMPARED_MARGIN = 0.05
UNCOMPARED_GROWTH = 0.25
"""What is added to the share without latest answers: parts of the good and the bad.

Without answers at the same time, the last share known may be out of date, the more so
in a disturbance.
"""
PRIOR_ANSWERS = 40.0
"""Answers of the operation in all failure domains that count in each of them.

A failure domain alone has too few answers where traffic is low.
"""
STANDARD_ERRORS = 1.0
CALM_STANDARD_ERRORS = 0.7
"""Standard errors by which the share may be underestimated: in a disturbance, and not.

The share of the last seconds is known better than that of the moment, and each of many
small groups that is overestimated hides a part of a bad version.
"""

_Key = TypeVar("_Key")
Group = tuple[str, str]
"""An operation and a failure domain."""


@frozen(kw_only=True)
class NewAnswers:
    """Answers since the last time, and the bad ones among them."""

    answers: int = 0
    bad: int = 0

    def plus(self, other: NewAnswers) -> NewAnswers:
        """Return the sum."""
        return NewAnswers(
            answers=self.answers + other.answers, bad=self.bad + other.bad
        )

    def since(self, before: NewAnswers) -> NewAnswers:
        """Return what was added to an earlier sum; nothing if that was larger."""
        return NewAnswers(
            answers=max(0, self.answers - before.answers),
            bad=max(0, self.bad - before.bad),
        )


@define(kw_only=True)
class _RecentAnswers:
    """Answers that lose weight with time."""

    answers: float = 0.0
    bad: float = 0.0

    def record(self, new: NewAnswers, *, decay: float) -> None:
        self.answers = self.answers * decay + new.answers
        self.bad = self.bad * decay + new.bad

    def share(self) -> float:
        """Return the share of bad answers; zero if there are none."""
        return self.bad / self.answers if self.answers else 0.0

    def share_beside(self, prior: float) -> float:
        """Return the share of bad answers, given that of all failure domains."""
        return (self.bad + PRIOR_ANSWERS * prior) / (self.answers + PRIOR_ANSWERS)


@define(kw_only=True)
class _Total:
    """Answers of all operations together, and whether they are disturbed.

    A few answers of one group are often worse than usual, and would hide a bad version
    if they were taken for a disturbance.
    """

    recent: _RecentAnswers = Factory(_RecentAnswers)
    latest: _RecentAnswers = Factory(_RecentAnswers)
    _disturbed_s: float = 0.0

    @property
    def is_disturbed(self) -> bool:
        """Whether the answers were unusually bad not long ago."""
        return self._disturbed_s > 0

    def record(self, new: NewAnswers, elapsed_s: float) -> None:
        """Record the answers since the last time, in seconds."""
        self.recent.record(new, decay=_recent_decay(elapsed_s))
        self.latest.record(new, decay=_latest_decay(elapsed_s))
        error = _standard_error(self.latest.share(), self.latest.answers)
        least = self.latest.share() - WORSENED_STANDARD_ERRORS * error
        has_worsened = least > self.recent.share()
        self._disturbed_s = (
            DISTURBED_S if has_worsened else self._disturbed_s - elapsed_s
        )


@define(kw_only=True)
class BaselineShares:
    """Estimate how many of the target's answers would be bad at the baseline.

    Notes
    -----
    The estimate is that of the last seconds in the same failure domain. In a
    disturbance it is that of the latest answers there, if that is higher; with few of
    them, of the operation in all failure domains, or else of all operations. So a
    disturbance that hits both versions at once is not held against the target. What
    gets no new answers keeps its share: while requests move to the target, the last one
    known is all there is to compare with.
    """

    _recent_by_group: dict[Group, _RecentAnswers] = Factory(dict)
    _all_by_operation: dict[str, _RecentAnswers] = Factory(dict)
    _latest_by_group: dict[Group, _RecentAnswers] = Factory(dict)
    _latest_by_operation: dict[str, _RecentAnswers] = Factory(dict)
    _total_by_name: dict[str, _Total] = Factory(dict)

    def record(
        self, new_by_group: Mapping[Group, NewAnswers], elapsed_s: float
    ) -> None:
        """Record the baseline's answers since the last time, in seconds."""
        latest_decay = _latest_decay(elapsed_s)
        new_by_operation: dict[str, NewAnswers] = {}
        new_by_total: dict[str, NewAnswers] = {}
        for group, new in new_by_group.items():
            operation = group[0]
            recent = self._recent_by_group.setdefault(group, _RecentAnswers())
            if new.answers:
                recent.record(new, decay=_recent_decay(elapsed_s))
            _record(self._all_by_operation, operation, new, decay=1.0)
            _record(self._latest_by_group, group, new, decay=latest_decay)
            _add(new_by_operation, operation, new)
            _add(new_by_total, total_of(operation), new)
        for operation, new in new_by_operation.items():
            _record(self._latest_by_operation, operation, new, decay=latest_decay)
        for name, new in new_by_total.items():
            self._total_by_name.setdefault(name, _Total()).record(new, elapsed_s)

    def usual_share(self, group: Group, new: NewAnswers) -> float:
        """Return the share of bad answers that the baseline plausibly has at most.

        Parameters
        ----------
        group : tuple of str and str
            The operation and failure domain.
        new : NewAnswers
            Baseline answers of the very time that it is compared for; may be none.
        """
        prior = self._all_by_operation[group[0]].share_beside(MIN_BASELINE_SHARE)
        recent = self._recent_by_group[group]
        usual = recent.share_beside(prior)
        usual += CALM_STANDARD_ERRORS * _standard_error(
            usual, recent.answers + PRIOR_ANSWERS
        )
        latest = next(
            (
                each
                for each in self._latest(group)
                if each.answers >= MIN_LATEST_ANSWERS
            ),
            None,
        )
        if latest is None:
            usual += max(UNCOMPARED_MARGIN * (1 - usual), UNCOMPARED_GROWTH * usual)
        elif self._total_by_name[total_of(group[0])].is_disturbed:
            usual = max(usual, _upper_bound(latest.share(), latest.answers))
            if new.answers:
                usual = max(usual, _upper_bound(new.bad / new.answers, new.answers))
        return min(MAX_BASELINE_SHARE, max(MIN_BASELINE_SHARE, usual))

    def _latest(self, group: Group) -> tuple[_RecentAnswers, ...]:
        """Return the latest answers of a group, and of more and more beside it."""
        operation = group[0]
        return (
            self._latest_by_group[group],
            self._latest_by_operation[operation],
            self._total_by_name[total_of(operation)].latest,
        )


def total_of(operation: str) -> str:
    """Return the name of the sum over all operations that one is a part of."""
    return TIMING_SUFFIX if operation.endswith(TIMING_SUFFIX) else ""


def _recent_decay(elapsed_s: float) -> float:
    return math.exp(-elapsed_s / BASELINE_MEMORY_S)


def _latest_decay(elapsed_s: float) -> float:
    return math.exp(-elapsed_s / LATEST_MEMORY_S)


def _record(
    by_key: dict[_Key, _RecentAnswers], key: _Key, new: NewAnswers, *, decay: float
) -> None:
    by_key.setdefault(key, _RecentAnswers()).record(new, decay=decay)


def _add(by_key: dict[_Key, NewAnswers], key: _Key, new: NewAnswers) -> None:
    by_key[key] = by_key.get(key, NewAnswers()).plus(new)


def _upper_bound(share: float, answers: float) -> float:
    """Return a share with the errors by which it may be underestimated."""
    return share + STANDARD_ERRORS * _standard_error(share, answers)


def _standard_error(share: float, answers: float) -> float:
    share = min(1.0, share)
    return math.sqrt(share * (1 - share) / answers) if answers else 0.0
