"""Share of bad answers that the software version in force has, by time and place."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TypeVar

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.peer_messages.rollout_messages import TIMING_SUFFIX

MIN_BASELINE_SHARE = 0.02
"""Least share of bad answers that the baseline is assumed to have.

Baselines of few answers without a bad one say little; this bounds what they claim.
"""
MAX_BASELINE_SHARE = 0.95
BASELINE_MEMORY_S = 3.0
"""Time constant with which earlier answers lose weight, in seconds."""
LATEST_MEMORY_S = 0.5
"""The same of the latest answers, for when hardly any are new."""
MIN_NEW_ANSWERS = 5.0
"""New or latest answers that tell the share of the moment."""
UNCOMPARED_MARGIN = 0.1
UNCOMPARED_GROWTH = 0.25
"""What is added to the share if no answers are new: parts of the good and of the bad.

Without answers at the same time, the last share known may be out of date, the more so
in a disturbance.
"""
PRIOR_ANSWERS = 20.0
"""Answers of the operation in all failure domains that count in each of them.

A failure domain alone has too few answers where traffic is low.
"""
STANDARD_ERRORS = 1.0
"""Standard errors by which the share may be underestimated."""

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


@define(kw_only=True)
class _RecentAnswers:
    """Answers that lose weight with time."""

    answers: float = 0.0
    bad: float = 0.0

    def record(self, new: NewAnswers, *, decay: float) -> None:
        self.answers = self.answers * decay + new.answers
        self.bad = self.bad * decay + new.bad

    def share(self, *, prior: float) -> float:
        """Return the share of bad answers, given that of all failure domains."""
        return (self.bad + PRIOR_ANSWERS * prior) / (self.answers + PRIOR_ANSWERS)


@define(kw_only=True)
class BaselineShares:
    """Estimate how many of the target's answers would be bad at the baseline.

    Notes
    -----
    The estimate is the highest of three: that of the last seconds in the same failure
    domain, of the last half second there, and of the new answers alone. The last one
    keeps a disturbance that hits both versions at once from being held against the
    target before the memory has taken it in; with few new answers in the failure
    domain it is that of the operation in all of them, or else of all operations. What
    gets no new answers keeps its share: while requests move to the target, the last
    one known is all there is to compare with.
    """

    _recent_by_group: dict[Group, _RecentAnswers] = Factory(dict)
    _latest_by_group: dict[Group, _RecentAnswers] = Factory(dict)
    _all_by_operation: dict[str, _RecentAnswers] = Factory(dict)
    _new_by_group: Mapping[Group, NewAnswers] = Factory(dict)
    _new_by_operation: dict[str, NewAnswers] = Factory(dict)
    _new_by_is_timing: dict[bool, NewAnswers] = Factory(dict)

    def record(
        self, new_by_group: Mapping[Group, NewAnswers], elapsed_s: float
    ) -> None:
        """Record the baseline's answers since the last time, in seconds."""
        self._new_by_group = new_by_group
        self._new_by_operation, self._new_by_is_timing = {}, {}
        for group, new in new_by_group.items():
            operation = group[0]
            for recent_by_group, memory_s in (
                (self._recent_by_group, BASELINE_MEMORY_S),
                (self._latest_by_group, LATEST_MEMORY_S),
            ):
                recent = recent_by_group.setdefault(group, _RecentAnswers())
                if new.answers:
                    recent.record(new, decay=math.exp(-elapsed_s / memory_s))
            in_all = self._all_by_operation.setdefault(operation, _RecentAnswers())
            in_all.record(new, decay=1.0)
            _add(self._new_by_operation, operation, new)
            _add(self._new_by_is_timing, operation.endswith(TIMING_SUFFIX), new)

    def usual_share(self, group: Group) -> float:
        """Return the share of bad answers that the baseline plausibly has at most."""
        prior = self._all_by_operation[group[0]].share(prior=MIN_BASELINE_SHARE)
        recent = self._recent_by_group[group]
        usual = _upper_bound(recent.share(prior=prior), recent.answers + PRIOR_ANSWERS)
        latest = self._latest_by_group[group]
        if latest.answers >= MIN_NEW_ANSWERS:
            usual = max(usual, latest.bad / latest.answers)
        compared = [
            each for each in self._new_answers(group) if each.answers >= MIN_NEW_ANSWERS
        ]
        if compared:
            new = compared[0]
            usual = max(usual, _upper_bound(new.bad / new.answers, new.answers))
        else:
            usual += max(UNCOMPARED_MARGIN * (1 - usual), UNCOMPARED_GROWTH * usual)
        return min(MAX_BASELINE_SHARE, max(MIN_BASELINE_SHARE, usual))

    def _new_answers(self, group: Group) -> tuple[NewAnswers, ...]:
        """Return the new answers of a group, and of more and more beside it."""
        operation = group[0]
        return (
            self._new_by_group[group],
            self._new_by_operation[operation],
            self._new_by_is_timing[operation.endswith(TIMING_SUFFIX)],
        )


def _add(by_key: dict[_Key, NewAnswers], key: _Key, new: NewAnswers) -> None:
    by_key[key] = by_key.get(key, NewAnswers()).plus(new)


def _upper_bound(share: float, answers: float) -> float:
    """Return a share with the errors by which it may be underestimated."""
    share = min(1.0, share)
    return share + STANDARD_ERRORS * math.sqrt(share * (1 - share) / answers)
