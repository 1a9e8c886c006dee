"""The promise that no request is read and then left without an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_testkit.soak.promises import Broken

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_testkit.soak.promises import Observations
    from plankspindle_testkit.soak.promises import Told

UNREAD_S = 1.0
"""Longest time for which a VM may not have read a request yet, in seconds.

Loops of VMs and of the soak itself are late by some 0.1 s under full load.
"""


def check_losses(seen: Observations) -> Iterator[Broken]:
    """Give each request that an undisturbed VM read and then left without an answer.

    Notes
    -----
    A request that crosses the close of its connection was not read and is no loss. It
    was read if an upstream ran it, or if it had been sent ``UNREAD_S`` before.
    A planned stop, a reload, a change of the configuration and faults of upstreams are
    no excuse.
    """
    for told in seen.told:
        if told.is_cut and _was_read(seen, told) and not _may_be_cut(seen, told):
            waited_s = told.told_at - told.asked_at
            detail = (
                f"{told.mark} at {told.vm} was cut {waited_s:.2f} s after it was sent,"
                f" at {told.told_at:.2f}, run {seen.runs_by_mark[told.mark]} times"
            )
            yield Broken(promise="nothing is lost", detail=detail)


def _was_read(seen: Observations, told: Told) -> bool:
    was_passed_on = seen.runs_by_mark[told.mark] > 0
    return was_passed_on or told.told_at - told.asked_at > UNREAD_S


def _may_be_cut(seen: Observations, told: Told) -> bool:
    spans = seen.cuts_by_vm.get(told.vm, ())
    return any(each.meets(told.told_at, told.told_at) for each in spans)
