"""Tests of the fault injector's check for late exits of processes."""

from __future__ import annotations

from math import inf

import pytest
from soak.fleet_soak import FleetSoak
from soak.fleet_soak import SoakPlan
from soak.process_pauses import ProcessPauses

VM = "edge-0"
SIGTERM_AT = 10.0


@pytest.mark.parametrize(
    ("begin", "end", "found"),
    [(8.0, 9.0, ["ends"]), (9.0, 11.0, []), (9.0, inf, []), (11.0, inf, [])],
)
def test_late_exit_is_a_violation_unless_process_was_paused(
    begin: float, end: float, found: list[str]
) -> None:
    plan = SoakPlan(seed=1, vms=1, first_port=28_800, seconds=0.0, faults=())
    injector = FleetSoak(plan=plan).fault_injector
    injector.process_pauses.begin(VM, begin).end = end
    injector._check_late_exit(VM, SIGTERM_AT)
    assert [each.check for each in injector.checks.violations] == found


def test_overlapping_pauses_count_once() -> None:
    pauses = ProcessPauses()
    for begin, end in ((1.0, 4.0), (2.0, 3.0), (3.0, 6.0), (8.0, inf)):
        pauses.begin(VM, begin).end = end
    assert pauses.total_s(VM, 2.0, 9.0) == pytest.approx(5.0)
    assert pauses.total_s("edge-1", 2.0, 9.0) == 0.0
