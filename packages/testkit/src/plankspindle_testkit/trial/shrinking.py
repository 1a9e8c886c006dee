"""The fewest faults with which a trial still breaks a promise."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_testkit.trial.standard_trial import run_trial

if TYPE_CHECKING:
    from plankspindle_testkit.trial.fault_schedule import ScheduledFault
    from plankspindle_testkit.trial.standard_trial import TrialResult

MARGIN_S = 1.0
"""Time after the break for which shorter trials go on, in simulated seconds."""
MAX_RUNS = 200


def shrink(verdict: TrialResult, *, seed: int, partitions: bool = False) -> TrialResult:
    """Leave out faults that a broken promise does not need.

    Parameters
    ----------
    verdict : TrialResult
        A trial that broke a promise.
    seed : int
        Its seed.
    partitions : bool
        Whether VMs of the domain are cut off from each other.

    Returns
    -------
    TrialResult
        A trial with as few faults as were found that breaks the same promise; none
        of them can be left out alone.

    Notes
    -----
    Halves are left out first, then quarters, and so on down to single faults.
    """
    best = verdict
    faults = _faults_before_violation(verdict)
    part = max(1, len(faults) // 2)
    runs = 0
    while runs < MAX_RUNS:
        smaller = None
        for first in range(0, len(faults), part):
            runs += 1
            kept = faults[:first] + faults[first + part :]
            found = run_trial(
                seed=seed,
                simulated_s=best.duration_s + MARGIN_S,
                partitions=partitions,
                schedule=kept,
            )
            if _violation_kind(found) == _violation_kind(verdict):
                smaller = found
                break
        if smaller is not None:
            best, faults = smaller, _faults_before_violation(smaller)
            part = min(part, max(1, len(faults)))
        elif part == 1:
            break
        else:
            part = part // 2
    return best


def _faults_before_violation(verdict: TrialResult) -> tuple[ScheduledFault, ...]:
    return tuple(each for each in verdict.schedule if each.at <= verdict.duration_s)


def _violation_kind(verdict: TrialResult) -> str | None:
    """Name the broken promise without times, numbers and names of requests."""
    if verdict.violation is None:
        return None
    words = verdict.violation.split()[2:]
    return " ".join(each for each in words if each.isalpha())
