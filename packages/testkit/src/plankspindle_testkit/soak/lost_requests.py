"""Check that no request is read and then left without an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_testkit.soak.guarantees import Violation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_testkit.soak.guarantees import AttemptRecord
    from plankspindle_testkit.soak.guarantees import Observations

MAX_UNREAD_S = 1.0
"""Maximum time until a VM has read a request, in seconds.

Event loops of VMs and of the soak lag by some 0.1 s under full load.
"""


def check_lost_requests(observations: Observations) -> Iterator[Violation]:
    """Yield a violation for each request that a VM read and did not answer.

    Notes
    -----
    A request that is sent while the VM closes the connection was not read and is not
    lost. It was read if an upstream ran it, or if the connection closed more than
    ``MAX_UNREAD_S`` after sending. Only faults that cut connections of callers exempt a
    VM; a graceful stop, a reload, a change of the configuration and faults of upstreams
    don't.
    """
    for attempt in observations.attempts:
        if (
            attempt.is_cut_off
            and _was_read(observations, attempt)
            and not _is_cut_allowed(observations, attempt)
        ):
            waited_s = attempt.completed_at - attempt.sent_at
            detail = (
                f"{attempt.mark} at {attempt.vm} was cut {waited_s:.2f} s after it was"
                f" sent, at {attempt.completed_at:.2f}, run"
                f" {observations.runs_by_mark[attempt.mark]} times"
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
