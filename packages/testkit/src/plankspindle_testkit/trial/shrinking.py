"""Shrinks the faults of a trial to those that cause the violation of a guarantee."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_testkit.trial.standard_trial import run_trial

if TYPE_CHECKING:
    from plankspindle_testkit.trial.fault_schedule import ScheduledFault
    from plankspindle_testkit.trial.standard_trial import TrialResult

MARGIN_S = 1.0
"""Time that a shrunk trial runs beyond the time of the violation, simulated seconds."""
MAX_RUNS = 200


def shrink(result: TrialResult, *, seed: int, partitions: bool = False) -> TrialResult:
    """Leave out faults that the violation of a guarantee does not need.

    Parameters
    ----------
    result : TrialResult
        Result of a trial that violated a guarantee.
    seed : int
        Seed of that trial.
    partitions : bool
        Whether VMs of the domain are partitioned from each other.

    Returns
    -------
    TrialResult
        Result of a trial that violates the same guarantee with fewer faults, none of
        which can be left out alone, unless ``MAX_RUNS`` was reached.

    Notes
    -----
    Delta debugging: leaves out halves first, then quarters, down to single faults.
    """
    best = result
    faults = _faults_before_violation(result)
    chunk_size = max(1, len(faults) // 2)
    runs = 0
    while runs < MAX_RUNS:
        shrunk = None
        for first in range(0, len(faults), chunk_size):
            runs += 1
            remaining = faults[:first] + faults[first + chunk_size :]
            candidate = run_trial(
                seed=seed,
                simulated_s=best.duration_s + MARGIN_S,
                partitions=partitions,
                schedule=remaining,
            )
            if _violation_kind(candidate) == _violation_kind(result):
                shrunk = candidate
                break
        if shrunk is not None:
            best, faults = shrunk, _faults_before_violation(shrunk)
            chunk_size = min(chunk_size, max(1, len(faults)))
        elif chunk_size == 1:
            break
        else:
            chunk_size = chunk_size // 2
    return best


def _faults_before_violation(result: TrialResult) -> tuple[ScheduledFault, ...]:
    return tuple(each for each in result.schedule if each.at <= result.duration_s)


def _violation_kind(result: TrialResult) -> str | None:
    """Return the violation without times, numbers and names of requests."""
    if result.violation is None:
        return None
    words = result.violation.split()[2:]
    return " ".join(each for each in words if each.isalpha())
