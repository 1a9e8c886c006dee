"""Tests of what the striker of a soak takes for a fault of the product."""

from __future__ import annotations

from math import inf

import pytest
from soak.fleet_soak import FleetSoak
from soak.fleet_soak import SoakPlan
from soak.process_pauses import ProcessPauses

VM = "edge-0"
ASKED_AT = 10.0


@pytest.mark.parametrize(
    ("begin", "end", "found"),
    [(8.0, 9.0, ["ends"]), (9.0, 11.0, []), (9.0, inf, []), (11.0, inf, [])],
)
def test_a_process_that_runs_on_fails_unless_it_stood_still_since(
    begin: float, end: float, found: list[str]
) -> None:
    plan = SoakPlan(seed=1, vms=1, first_port=28_800, seconds=0.0, faults=())
    striker = FleetSoak(plan=plan).fault_injector
    striker.process_pauses.begin(VM, begin).end = end
    striker._check_late_exit(VM, ASKED_AT)
    assert [each.check for each in striker.checks.violations] == found


def test_standstills_that_overlap_count_once() -> None:
    standstills = ProcessPauses()
    for begin, end in ((1.0, 4.0), (2.0, 3.0), (3.0, 6.0), (8.0, inf)):
        standstills.begin(VM, begin).end = end
    assert standstills.total_s(VM, 2.0, 9.0) == pytest.approx(5.0)
    assert standstills.total_s("edge-1", 2.0, 9.0) == 0.0
