"""Tests of the clock that includes suspensions, and of the timers that use it."""

from __future__ import annotations

import ast
import time
from pathlib import Path
from typing import TYPE_CHECKING

import curio

import plankspindle_core
import plankspindle_daemon
from plankspindle_core import steady_clock

if TYPE_CHECKING:
    import pytest

SUSPENDED_S = 30.0
LIMIT_S = 20.0
SOON_S = 2.0
OTHER_CLOCKS = {"monotonic", "monotonic_ns", "perf_counter", "perf_counter_ns"}
PRODUCT = (
    Path(plankspindle_core.__file__).parent,
    Path(plankspindle_daemon.__file__).parent,
    Path(__file__).parents[3] / "platform",
)


def test_clock_includes_suspensions() -> None:
    now = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert abs(steady_clock.monotonic() - now) < 1.0


async def sleep_through_suspension(suspended: list[float]) -> str:
    """Start a long sleep with a timeout; the machine is suspended meanwhile."""
    task = await curio.spawn(sleep_with_limit)
    await curio.sleep(0.05)
    suspended[0] = SUSPENDED_S
    await curio.sleep(0.05)
    return str(await task.join())


async def sleep_with_limit() -> str:
    try:
        await curio.timeout_after(LIMIT_S, curio.sleep, 10 * SUSPENDED_S)
    except curio.TaskTimeout:
        return "timed out"
    return "slept"


def test_timeout_that_expired_during_a_suspension_fires_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    suspended = [0.0]
    real_monotonic = steady_clock.monotonic
    monkeypatch.setattr(
        steady_clock, "monotonic", lambda: real_monotonic() + suspended[0]
    )
    began = time.monotonic()
    assert steady_clock.run(sleep_through_suspension, suspended) == "timed out"
    assert time.monotonic() - began < SOON_S


def test_other_kernels_keep_the_default_clock() -> None:
    before = curio.kernel.time
    assert steady_clock.run(curio.sleep, 0) is not None
    assert curio.kernel.time is before


def other_clocks_in(path: Path) -> list[str]:
    """Return the clocks used in a module that exclude suspensions."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    found = []
    for node in ast.walk(tree):
        match node:
            case ast.ImportFrom(module="time", names=names):
                found += [each.name for each in names if each.name in OTHER_CLOCKS]
            case ast.Attribute(value=ast.Name(id="time"), attr=attribute):
                found += [attribute] * (attribute in OTHER_CLOCKS)
            case _:
                pass
    return found


def test_no_other_product_module_reads_a_clock_that_excludes_suspensions() -> None:
    modules = [path for root in PRODUCT for path in root.rglob("*.py")]
    assert len(modules) > 100
    reading = {path.name: other_clocks_in(path) for path in modules}
    assert {name: found for name, found in reading.items() if found} == {}
