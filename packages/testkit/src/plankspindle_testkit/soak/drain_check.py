"""Check that no VM sends new requests to a drained upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_testkit.soak.guarantees import Violation
from plankspindle_testkit.soak.soak_fault import PLATFORM

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_testkit.soak.guarantees import DrainedRuns
    from plankspindle_testkit.soak.guarantees import Observations


def must_respect_drain(observations: Observations, vm: str, runs: DrainedRuns) -> bool:
    """Return whether a VM must have stopped using a drained upstream.

    Notes
    -----
    A VM is exempt only while itself, the link to the upstream or the platform is
    disturbed; disturbances elsewhere don't count.

    Parameters
    ----------
    observations : Observations
        Times of disturbances.
    vm : str
        The VM.
    runs : DrainedRuns
        Period in which the upstream was observed, after the drain must be in effect.
    """
    targets = (vm, runs.upstream, PLATFORM)
    return not any(
        observations.is_disturbed(each, runs.begin, runs.end) for each in targets
    )


def check_drains(observations: Observations) -> Iterator[Violation]:
    """Yield a violation for each request that a VM sent to a drained upstream.

    Notes
    -----
    A request counts once all VMs that it was sent to are known, and only if none of
    them is exempt.
    """
    vms_by_mark: dict[str, set[str]] = {
        mark: set() for runs in observations.drained_runs for mark in runs.marks
    }
    if not vms_by_mark:
        return
    for attempt in observations.attempts:
        if attempt.mark in vms_by_mark:
            vms_by_mark[attempt.mark].add(attempt.vm)
    for runs in observations.drained_runs:
        for mark in runs.marks:
            vms = vms_by_mark[mark]
            if mark in observations.in_flight_marks or not vms:
                continue
            if all(must_respect_drain(observations, vm, runs) for vm in vms):
                detail = (
                    f"{runs.upstream} began {mark} of {', '.join(sorted(vms))}"
                    f" from {runs.begin:.1f} to {runs.end:.1f}, after it was drained"
                )
                yield Violation(guarantee="drained gets nothing new", detail=detail)
