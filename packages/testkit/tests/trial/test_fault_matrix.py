"""Tests of each fault once in each operation, and of a cell with a violation."""

from __future__ import annotations

import pytest

from plankspindle_daemon.drains.drain_schedule import DrainSchedule
from plankspindle_testkit.trial.fault_matrix import FAULTS
from plankspindle_testkit.trial.fault_matrix import INJECTION_STEPS
from plankspindle_testkit.trial.fault_matrix import OPERATIONS
from plankspindle_testkit.trial.fault_matrix import MatrixOperation
from plankspindle_testkit.trial.fault_matrix import run_cell
from plankspindle_testkit.trial.matrix import hand_written_part
from plankspindle_testkit.trial.matrix import render_page


@pytest.mark.parametrize("operation", OPERATIONS, ids=lambda each: each.name)
def test_operation_has_allowed_outcome_under_every_fault(
    operation: MatrixOperation,
) -> None:
    for number, fault in enumerate(FAULTS):
        step = INJECTION_STEPS[number % len(INJECTION_STEPS)]
        cell = run_cell(operation, fault, (step,))
        assert cell.violations == (), fault


def test_cell_with_violation_is_detected_and_rendered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(DrainSchedule, "upstream_drained_at", lambda *_, **__: None)
    drain = next(each for each in OPERATIONS if each.name == "drain")
    cells = [run_cell(drain, fault, (0, 10)) for fault in ("none", "platform down")]
    assert any(cell.violations for cell in cells)
    page = render_page(cells, cells)
    assert "**step" in page


def test_hand_written_part_of_page_is_kept() -> None:
    rest = "\n# The soak\n\nFigures\n"
    assert hand_written_part("# Fault matrix\n\nold\n" + rest) == rest
    assert hand_written_part("# Fault matrix\n\nold\n") == ""
