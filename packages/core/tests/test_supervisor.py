"""Errors that end one thing, and errors that end the process."""

from __future__ import annotations

import curio
import pytest

from plankspindle_core.supervisor import MAX_CONSECUTIVE_ERRORS
from plankspindle_core.supervisor import Supervisor


async def fail() -> None:
    raise ZeroDivisionError


async def work() -> None:
    return None


async def fail_or_work(fails: bool) -> None:
    if fails:
        raise ZeroDivisionError


def test_errors_with_successes_between_end_nothing_else() -> None:
    supervisor = Supervisor()

    async def run() -> None:
        for number in range(10 * MAX_CONSECUTIVE_ERRORS):
            await supervisor.contain(fail_or_work, number % MAX_CONSECUTIVE_ERRORS > 0)

    curio.run(run)
    assert supervisor.contained_errors == 10 * (MAX_CONSECUTIVE_ERRORS - 1)
    supervisor.raise_if_failed()


def test_a_state_in_which_nothing_works_any_more_stops_the_process() -> None:
    supervisor = Supervisor()

    async def run() -> None:
        for _ in range(MAX_CONSECUTIVE_ERRORS):
            await supervisor.contain(work)
            supervisor.raise_if_failed()
            await supervisor.contain(fail)

    curio.run(run)
    with pytest.raises(ZeroDivisionError):
        supervisor.raise_if_failed()


class Unprintable:
    """What does work, and must not be printed each time: it may hold a whole node."""

    def __repr__(self) -> str:
        raise AssertionError("it was printed")

    async def work(self) -> None:
        return None


def test_nothing_is_printed_of_what_works() -> None:
    assert curio.run(Supervisor().contain, Unprintable().work)
