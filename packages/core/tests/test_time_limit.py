"""Limits inside one another, while the loop is busy."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest

import plankspindle_core
from plankspindle_core.time_limit import TimeLimit
from plankspindle_core.time_limit import within

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

INNER_S = 0.2
OUTER_S = 0.25
BUSY_S = 0.07
"""Time that the loop is busy, twice: past the inner limit, and past the outer one."""
OUTER_LEFT_S = 5.0
PACKAGES = Path(plankspindle_core.__file__).parents[3]
BEFORE_INNER_S = 0.16


async def limited(came: curio.Event, rest: Callable[[], Awaitable[None]]) -> str:
    """Leave an inner limit in time, and go on inside the outer one."""
    try:
        async with TimeLimit(OUTER_S):
            await within(INNER_S, came.wait)
            await rest()
    except curio.TaskTimeout:
        return "outer"
    return "none"


async def run_busy(rest: Callable[[], Awaitable[None]]) -> str:
    came, busy = curio.Event(), curio.Event()

    async def keep_busy() -> None:
        await busy.wait()
        time.sleep(BUSY_S)

    task = await curio.spawn(limited, came, rest)
    other = await curio.spawn(keep_busy)
    await curio.sleep(BEFORE_INNER_S)
    await busy.set()
    await came.set()
    time.sleep(BUSY_S)
    await other.join()
    ended: str = await task.join()
    return ended


async def wait() -> None:
    await curio.sleep(1.0)


async def wait_in_a_limit() -> None:
    await within(OUTER_LEFT_S, curio.sleep, 1.0)


async def wait_in_two_limits() -> None:
    await within(OUTER_LEFT_S, within, OUTER_LEFT_S, curio.sleep, 1.0)


@pytest.mark.parametrize("rest", [wait, wait_in_a_limit, wait_in_two_limits])
def test_the_outer_limit_ends_what_is_late(rest: Callable[[], Awaitable[None]]) -> None:
    assert curio.run(run_busy, rest) == "outer"


def test_an_inner_limit_ends_only_its_own_part() -> None:
    async def run() -> list[Any]:
        seen: list[Any] = []
        async with TimeLimit(OUTER_LEFT_S):
            try:
                await within(0.05, curio.sleep, 1.0)
            except curio.TaskTimeout:
                seen.append("inner")
            seen.append(await within(1.0, wait_and_give, 7))
        return seen

    assert curio.run(run) == ["inner", 7]


async def wait_and_give(value: int) -> int:
    await curio.sleep(0.05)
    return value


def test_an_end_of_time_that_belongs_to_no_limit_is_not_taken_for_ones_own() -> None:
    async def run() -> None:
        async with TimeLimit(OUTER_LEFT_S):
            raise curio.TaskTimeout(0.0)

    with pytest.raises(curio.UncaughtTimeoutError):
        curio.run(run)


def test_nothing_else_uses_the_limits_of_the_event_loop() -> None:
    users = [
        path.name
        for package in (*PACKAGES.glob("*/src"), PACKAGES.parent / "platform")
        for path in package.rglob("*.py")
        if "testkit" not in str(path)
        and any(each in path.read_text() for each in ("timeout_after", "ignore_after"))
    ]
    assert users == ["time_limit.py"]
