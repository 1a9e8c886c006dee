"""The promise that no request is read and then left without an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_testkit.soak.guarantees import Violation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_testkit.soak.guarantees import AttemptRecord
    from plankspindle_testkit.soak.guarantees import Observations

MAX_UNREAD_S = 1.0
"""Longest time for which a VM may not have read a request yet, in seconds.

Loops of VMs and of the soak itself are late by some 0.1 s under full load.
"""


def check_lost_requests(observations: Observations) -> Iterator[Violation]:
    """Give each request that an undisturbed VM read and then left without an answer.

    Notes
    -----
    A request that crosses the close of its connection was not read and is no loss. It
    was read if an upstream ran it, or if it had been sent ``UNREAD_S`` before.
    A planned stop, a reload, a change of the configuration and faults of upstreams are
    no excuse.
    """
    for told in observations.attempts:
        if (
            told.is_cut_off
            and _was_read(observations, told)
            and not _is_cut_allowed(observations, told)
        ):
            waited_s = told.completed_at - told.sent_at
            detail = (
                f"{told.mark} at {told.vm} was cut {waited_s:.2f} s after it was sent,"
                f" at {told.completed_at:.2f}, run"
                f" {observations.runs_by_mark[told.mark]} times"
            )
            yield Violation(guarantee="nothing is lost", detail=detail)


def _was_read(observations: Observations, attempt: AttemptRecord) -> bool:
    was_passed_on = observations.runs_by_mark[attempt.mark] > 0
    return was_passed_on or attempt.completed_at - attempt.sent_at > MAX_UNREAD_S


def _is_cut_allowed(observations: Observations, attempt: AttemptRecord) -> bool:
    spans = observations.allowed_cuts_by_vm.get(attempt.vm, ())
    return any(
        each.overlaps(attempt.completed_at, attempt.completed_at) for each in spans
    )
