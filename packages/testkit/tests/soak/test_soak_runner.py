"""Tests that a failed start is reported and processes end with their soak."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import curio
import pytest

from plankspindle_testkit.processes import Processes
from plankspindle_testkit.soak.soak_runner import run_and_close
from plankspindle_testkit.soak.soak_runner import wait_for_start

if TYPE_CHECKING:
    from pathlib import Path

WAITS = [sys.executable, "-c", "import time; time.sleep(60)"]


def wait(checks: int, within_s: float) -> int:
    """Wait for a condition that holds from some check on; return the checks made."""
    made_checks = 0

    async def condition() -> bool:
        nonlocal made_checks
        made_checks += 1
        return made_checks >= checks

    async def run() -> None:
        await wait_for_start(
            condition, timeout_s=within_s, poll_s=0.01, message="not yet"
        )

    curio.run(run)
    return made_checks


def test_start_is_awaited() -> None:
    assert wait(3, within_s=5.0) == 3


def test_missing_start_raises_timeout_error() -> None:
    with pytest.raises(TimeoutError, match="not yet"):
        wait(sys.maxsize, within_s=0.1)


@pytest.mark.parametrize("ends_by", [None, KeyboardInterrupt, ZeroDivisionError])
def test_processes_end_with_their_soak(
    tmp_path: Path, ends_by: type[BaseException] | None
) -> None:
    processes = Processes(folder=tmp_path)

    async def run() -> str:
        processes._start("vm", WAITS)
        if ends_by is not None:
            raise ends_by
        return "result"

    if ends_by is None:
        assert run_and_close(run, processes) == "result"
    else:
        with pytest.raises(ends_by):
            run_and_close(run, processes)
    assert processes.process_by_name["vm"].poll() is not None
