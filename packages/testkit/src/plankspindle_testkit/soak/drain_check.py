"""The promise that a drained upstream gets nothing new, held against each VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_testkit.soak.guarantees import Violation
from plankspindle_testkit.soak.soak_fault import PLATFORM

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_testkit.soak.guarantees import DrainedRuns
    from plankspindle_testkit.soak.guarantees import Observations


def must_respect_drain(observations: Observations, vm: str, runs: DrainedRuns) -> bool:
    """Tell whether a VM must have kept away from a drained upstream.

    Notes
    -----
    Only what disturbed this VM, the link to the upstream or the platform excuses it:
    what goes on elsewhere does not.

    Parameters
    ----------
    observations : Observations
        What was disturbed when.
    vm : str
        The VM.
    runs : DrainedRuns
        When the upstream was looked at; after the bound on drains.
    """
    concerned = (vm, runs.upstream, PLATFORM)
    return not any(
        observations.is_disturbed(each, runs.begin, runs.end) for each in concerned
    )


def check_drains(observations: Observations) -> Iterator[Violation]:
    """Give each request that a VM passed on to a drained upstream.

    Notes
    -----
    A request counts once it is known at which VMs it was tried, and if none of them is
    excused.
    """
    vms_by_mark: dict[str, set[str]] = {
        mark: set() for runs in observations.drained_runs for mark in runs.marks
    }
    if not vms_by_mark:
        return
    for told in observations.attempts:
        if told.mark in vms_by_mark:
            vms_by_mark[told.mark].add(told.vm)
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
