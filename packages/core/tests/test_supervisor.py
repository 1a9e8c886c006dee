"""Tests of which errors are contained and which stop the process."""

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


def test_errors_with_successes_between_them_are_contained() -> None:
    supervisor = Supervisor()

    async def run() -> None:
        for number in range(10 * MAX_CONSECUTIVE_ERRORS):
            await supervisor.contain(fail_or_work, number % MAX_CONSECUTIVE_ERRORS > 0)

    curio.run(run)
    assert supervisor.contained_errors == 10 * (MAX_CONSECUTIVE_ERRORS - 1)
    supervisor.raise_if_failed()


def test_consecutive_errors_stop_the_process() -> None:
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
    """Owner of a method, whose repr must not be computed for each call.

    In the daemon the repr of an owner may contain a whole node.
    """

    def __repr__(self) -> str:
        raise AssertionError("it was printed")

    async def work(self) -> None:
        return None


def test_successful_calls_do_not_compute_the_repr_of_the_instance() -> None:
    assert curio.run(Supervisor().contain, Unprintable().work)
