"""Faults of a soak that are not needed are left out."""

from __future__ import annotations

from plankspindle_testkit.soak.fault_minimizer import minimize_faults
from plankspindle_testkit.soak.soak_fault import SoakFault

FAULTS = [
    SoakFault(at=float(number), for_s=0.0, kind=kind)
    for number, kind in enumerate(("kill", "stop", "kill", "storm", "stop"))
]


def test_only_faults_that_break_the_promise_are_kept() -> None:
    needed = [FAULTS[1], FAULTS[3]]
    assert minimize_faults(FAULTS, lambda played: set(needed) <= set(played)) == needed


def test_all_are_kept_if_fewer_do_not_break_it() -> None:
    assert minimize_faults(FAULTS, lambda played: len(played) == len(FAULTS)) == FAULTS


def test_none_is_needed_if_it_breaks_without_faults() -> None:
    assert minimize_faults(FAULTS, lambda _: True) == []
