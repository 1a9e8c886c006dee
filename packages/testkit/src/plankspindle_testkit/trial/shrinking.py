"""The fewest faults with which a trial still breaks a promise."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_testkit.trial.runs import run_trial

if TYPE_CHECKING:
    from plankspindle_testkit.trial.fault_schedule import ScheduledFault
    from plankspindle_testkit.trial.runs import TrialVerdict

MARGIN_S = 1.0
"""Time after the break for which shorter trials go on, in simulated seconds."""
MAX_RUNS = 200


def shrink(verdict: TrialVerdict, *, seed: int, cuts: bool = False) -> TrialVerdict:
    """Leave out faults that a broken promise does not need.

    Parameters
    ----------
    verdict : TrialVerdict
        A trial that broke a promise.
    seed : int
        Its seed.
    cuts : bool
        Whether VMs of the domain are cut off from each other.

    Returns
    -------
    TrialVerdict
        A trial with as few faults as were found that breaks the same promise; none
        of them can be left out alone.

    Notes
    -----
    Halves are left out first, then quarters, and so on down to single faults.
    """
    best = verdict
    faults = _until(verdict)
    part = max(1, len(faults) // 2)
    runs = 0
    while runs < MAX_RUNS:
        smaller = None
        for first in range(0, len(faults), part):
            runs += 1
            kept = faults[:first] + faults[first + part :]
            found = run_trial(
                seed=seed,
                simulated_s=best.lasted_s + MARGIN_S,
                cuts=cuts,
                schedule=kept,
            )
            if _promise(found) == _promise(verdict):
                smaller = found
                break
        if smaller is not None:
            best, faults = smaller, _until(smaller)
            part = min(part, max(1, len(faults)))
        elif part == 1:
            break
        else:
            part = part // 2
    return best


def _until(verdict: TrialVerdict) -> tuple[ScheduledFault, ...]:
    return tuple(each for each in verdict.schedule if each.at <= verdict.lasted_s)


def _promise(verdict: TrialVerdict) -> str | None:
    """Name the broken promise without times, numbers and names of requests."""
    if verdict.broken is None:
        return None
    words = verdict.broken.split()[2:]
    return " ".join(each for each in words if each.isalpha())
