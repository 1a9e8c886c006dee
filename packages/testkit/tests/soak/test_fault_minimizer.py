"""Tests of leaving out faults that a violation does not need."""

from __future__ import annotations

from plankspindle_testkit.soak.fault_minimizer import minimize_faults
from plankspindle_testkit.soak.soak_fault import SoakFault

FAULTS = [
    SoakFault(at=float(number), for_s=0.0, kind=kind)
    for number, kind in enumerate(("kill", "stop", "kill", "storm", "stop"))
]


def test_only_needed_faults_are_kept() -> None:
    needed = [FAULTS[1], FAULTS[3]]
    assert minimize_faults(FAULTS, lambda played: set(needed) <= set(played)) == needed


def test_all_faults_are_kept_if_all_are_needed() -> None:
    assert minimize_faults(FAULTS, lambda played: len(played) == len(FAULTS)) == FAULTS


def test_no_fault_is_kept_if_none_is_needed() -> None:
    assert minimize_faults(FAULTS, lambda _: True) == []
