"""Tests of what the striker of a soak takes for a fault of the product."""

from __future__ import annotations

import pytest
from soak.fleet_soak import FleetSoak
from soak.fleet_soak import Plan

VM = "edge-0"
ASKED_AT = 10.0


@pytest.mark.parametrize(
    ("still", "stood_still_at", "found"),
    [(0, 9.0, ["ends"]), (0, 11.0, []), (1, 9.0, [])],
)
def test_a_process_that_runs_on_fails_unless_it_stood_still_since(
    still: int, stood_still_at: float, found: list[str]
) -> None:
    plan = Plan(seed=1, vms=1, first_port=28_800, seconds=0.0, faults=())
    striker = FleetSoak(plan=plan).striker
    striker._stands_still[VM] = still
    striker._stood_still_at[VM] = stood_still_at
    striker._judge_late_end(VM, ASKED_AT)
    assert [each.check for each in striker.checks.broken] == found
