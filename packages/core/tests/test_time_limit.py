"""Tests of nested timeouts while the event loop is blocked."""

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
BLOCKED_S = 0.07
"""Duration of each of two blocks of the loop, past the inner and the outer timeout."""
LONG_TIMEOUT_S = 5.0
PACKAGES = Path(plankspindle_core.__file__).parents[3]
UNBLOCKED_S = 0.16


async def wait_with_outer_timeout(
    released: curio.Event, next_wait: Callable[[], Awaitable[None]]
) -> str:
    """Leave an inner timeout in time, and continue inside the outer one."""
    try:
        async with TimeLimit(OUTER_S):
            await within(INNER_S, released.wait)
            await next_wait()
    except curio.TaskTimeout:
        return "outer"
    return "none"


async def run_with_blocked_loop(next_wait: Callable[[], Awaitable[None]]) -> str:
    released, blocked = curio.Event(), curio.Event()

    async def block_loop() -> None:
        await blocked.wait()
        time.sleep(BLOCKED_S)

    task = await curio.spawn(wait_with_outer_timeout, released, next_wait)
    other = await curio.spawn(block_loop)
    await curio.sleep(UNBLOCKED_S)
    await blocked.set()
    await released.set()
    time.sleep(BLOCKED_S)
    await other.join()
    outcome: str = await task.join()
    return outcome


async def wait() -> None:
    await curio.sleep(1.0)


async def wait_with_timeout() -> None:
    await within(LONG_TIMEOUT_S, curio.sleep, 1.0)


async def wait_with_nested_timeouts() -> None:
    await within(LONG_TIMEOUT_S, within, LONG_TIMEOUT_S, curio.sleep, 1.0)


@pytest.mark.parametrize(
    "next_wait", [wait, wait_with_timeout, wait_with_nested_timeouts]
)
def test_outer_timeout_ends_the_task_if_the_loop_was_blocked(
    next_wait: Callable[[], Awaitable[None]],
) -> None:
    assert curio.run(run_with_blocked_loop, next_wait) == "outer"


def test_inner_timeout_ends_only_the_inner_call() -> None:
    async def run() -> list[Any]:
        seen: list[Any] = []
        async with TimeLimit(LONG_TIMEOUT_S):
            try:
                await within(0.05, curio.sleep, 1.0)
            except curio.TaskTimeout:
                seen.append("inner")
            seen.append(await within(1.0, wait_and_return, 7))
        return seen

    assert curio.run(run) == ["inner", 7]


async def wait_and_return(value: int) -> int:
    await curio.sleep(0.05)
    return value


def test_foreign_timeout_before_the_deadline_stays_uncaught() -> None:
    async def run() -> None:
        async with TimeLimit(LONG_TIMEOUT_S):
            raise curio.TaskTimeout(0.0)

    with pytest.raises(curio.UncaughtTimeoutError):
        curio.run(run)


def test_no_other_module_uses_the_timeouts_of_curio() -> None:
    users = [
        path.name
        for package in (*PACKAGES.glob("*/src"), PACKAGES.parent / "platform")
        for path in package.rglob("*.py")
        if "testkit" not in str(path)
        and any(each in path.read_text() for each in ("timeout_after", "ignore_after"))
    ]
    assert users == ["time_limit.py"]
