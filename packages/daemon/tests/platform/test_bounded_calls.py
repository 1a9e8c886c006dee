"""Tests of budgets, circuit breaker and timeout of calls to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
import pytest
from result import Err
from result import Ok

from plankspindle_core.http.errors import ConnectionLost
from plankspindle_core.http.fetch import HttpAnswer
from plankspindle_daemon.platform.bounded_calls import BURST_S
from plankspindle_daemon.platform.bounded_calls import READS_PER_S
from plankspindle_daemon.platform.bounded_calls import BoundedCalls
from plankspindle_daemon.platform.bounded_calls import CallKind

if TYPE_CHECKING:
    from result import Result


def answer(status: int) -> Result[HttpAnswer, ConnectionLost]:
    return Ok(HttpAnswer(status=status, headers=[], body=b""))


class Callee:
    """Returns a fixed answer and counts the calls."""

    def __init__(self, found: Result[HttpAnswer, ConnectionLost]) -> None:
        self.found = found
        self.calls = 0

    async def call(self) -> Result[HttpAnswer, ConnectionLost]:
        self.calls += 1
        return self.found


async def never_answer() -> Result[HttpAnswer, ConnectionLost]:
    await curio.sleep(100.0)
    raise AssertionError


@pytest.mark.parametrize(
    "found",
    [Err(ConnectionLost("reset")), answer(500), answer(503), answer(429)],
    ids=["lost", "500", "503", "429"],
)
def test_consecutive_failed_calls_open_the_circuit_breaker(
    found: Result[HttpAnswer, ConnectionLost],
) -> None:
    calls = BoundedCalls(timeout_s=1.0, clock=lambda: 5.0)
    callee = Callee(found)

    async def run() -> None:
        for _ in range(10):
            made = await calls.make(CallKind.READ, callee.call)
            assert made.is_err()

    curio.run(run)
    assert callee.calls == 3
    assert not calls.available
    assert calls.refused_by_breaker == 7
    assert calls.last_failure is not None


@pytest.mark.parametrize("status", [200, 404, 410, 412])
def test_success_and_client_error_answers_are_not_failures(status: int) -> None:
    calls = BoundedCalls(timeout_s=1.0)

    async def run() -> None:
        for _ in range(10):
            made = await calls.make(CallKind.WRITE, Callee(answer(status)).call)
            assert made.unwrap().status == status

    curio.run(run)
    assert calls.available
    assert calls.calls_by_kind == {CallKind.READ: 0, CallKind.WRITE: 10}


def test_call_to_an_unresponsive_platform_times_out() -> None:
    calls = BoundedCalls(timeout_s=0.01)

    async def run() -> str:
        made = await calls.make(CallKind.READ, never_answer)
        return made.unwrap_err().detail

    assert curio.run(run) == "no answer in time"
    assert calls.durations_by_kind_and_outcome["read", "failed"].observations == 1


def test_timed_out_long_polls_do_not_open_the_circuit_breaker() -> None:
    calls = BoundedCalls(timeout_s=0.01)

    async def run() -> bool:
        for _ in range(5):
            await calls.make(CallKind.READ, never_answer, expected_delay_s=0.01)
        available_after_polls = calls.available
        for _ in range(3):
            await calls.make(CallKind.READ, never_answer)
        return available_after_polls and not calls.available

    assert curio.run(run)


def test_exhausted_read_budget_does_not_block_writes() -> None:
    calls = BoundedCalls(timeout_s=1.0, clock=lambda: 5.0)
    callee = Callee(answer(200))
    burst = int(READS_PER_S * BURST_S)

    async def run() -> bool:
        for _ in range(3 * burst):
            await calls.make(CallKind.READ, callee.call)
        return (await calls.make(CallKind.WRITE, callee.call)).is_ok()

    assert curio.run(run)
    assert calls.calls_by_kind[CallKind.READ] == burst
    assert calls.refused_by_budget == 2 * burst
    assert calls.available


def test_error_of_a_blocked_call_is_marked_as_not_tried() -> None:
    calls = BoundedCalls(timeout_s=1.0, clock=lambda: 5.0)
    callee = Callee(Err(ConnectionLost("reset")))

    async def run() -> list[bool]:
        made = [await calls.make(CallKind.READ, callee.call) for _ in range(4)]
        return [each.unwrap_err().tried for each in made]

    assert curio.run(run) == [True, True, True, False]
