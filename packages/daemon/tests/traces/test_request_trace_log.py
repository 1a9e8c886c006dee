"""Tests of the log lines of completed requests."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING

import pytest

from plankspindle_core.logs.key_value_destination import start_logging
from plankspindle_core.logs.key_value_destination import stop_logging
from plankspindle_core.logs.line_rendering import parse_line
from plankspindle_daemon.traces.request_trace import MAX_STEPS
from plankspindle_daemon.traces.request_trace import Completion
from plankspindle_daemon.traces.request_trace import RequestTrace
from plankspindle_daemon.traces.request_trace_log import FAILED_BURST
from plankspindle_daemon.traces.request_trace_log import RequestTraceLog
from plankspindle_daemon.traces.steps import AttemptEnded
from plankspindle_daemon.traces.steps import Executed
from plankspindle_daemon.traces.steps import Queued

if TYPE_CHECKING:
    from collections.abc import Iterator

ATTEMPT_ENDED = AttemptEnded(
    attempt=1,
    upstream="u",
    verdict="failed",
    came="connection lost: reset",
    ran=Executed.MAYBE,
    took_ms=250,
)


class CapturedLog:
    def __init__(self) -> None:
        self.stream = io.StringIO()

    def lines(self) -> list[dict[str, str]]:
        parsed = [parse_line(line) for line in self.stream.getvalue().splitlines()]
        return [each for each in parsed if each is not None]

    def events(self) -> list[str]:
        return [line["event"] for line in self.lines()]


@pytest.fixture
def captured() -> Iterator[CapturedLog]:
    found = CapturedLog()
    destination = start_logging(stream=found.stream, vm="a")
    yield found
    stop_logging(destination)


def build_trace(
    log: RequestTraceLog, *, request: str = "r-1", at: float = 5.0
) -> RequestTrace:
    trace = log.start_trace(request.encode(), now=at, wall=1_000.0)
    trace.service = "registry"
    trace.rank = 1
    return trace


def test_failed_request_is_logged_with_every_step(captured: CapturedLog) -> None:
    log = RequestTraceLog(vm="a")
    trace = build_trace(log)
    trace.record(Queued(ahead=3, limit=9), 5.1)
    trace.record(ATTEMPT_ENDED, 5.4)
    trace.complete(Completion.UNKNOWN, status=502, reason="upstream-lost")
    log.log_completed(trace, 5.5)
    queued, ended, failed = captured.lines()
    assert queued["event"] == "request_queued"
    assert (queued["ahead"], queued["limit"], queued["step"]) == ("3", "9", "1")
    assert ended["came"] == "connection lost: reset"
    assert ended["ran"] == "maybe"
    assert failed["event"] == "request_failed"
    assert (failed["status"], failed["reason"]) == ("502", "upstream-lost")
    assert failed["took_ms"] == "500"
    assert [line["request"] for line in captured.lines()] == ["r-1"] * 3
    times = [line["time"][17:23] for line in captured.lines()]
    assert times == ["40.100", "40.400", "40.500"]


def test_served_requests_log_a_summary_within_the_rate_limit(
    captured: CapturedLog,
) -> None:
    log = RequestTraceLog(vm="a")
    for number in range(100):
        trace = build_trace(log, request=f"r-{number}")
        trace.record(ATTEMPT_ENDED, 5.1)
        trace.complete(Completion.SERVED, status=200)
        log.log_completed(trace, 5.2)
    events = captured.events()
    assert set(events) == {"request_served"}
    assert len(events) + log.skipped_served == 100
    assert len(events) <= 10


def test_late_request_is_logged_with_every_step(captured: CapturedLog) -> None:
    log = RequestTraceLog(vm="a")
    trace = build_trace(log)
    trace.target_s = 0.4
    trace.record(ATTEMPT_ENDED, 5.1)
    trace.complete(Completion.SERVED, status=200)
    log.log_completed(trace, 5.5)
    assert captured.events() == ["attempt_ended", "request_late"]


def test_flood_of_refused_requests_does_not_hide_a_lost_answer(
    captured: CapturedLog,
) -> None:
    log = RequestTraceLog(vm="a")
    for _ in range(1_000):
        trace = build_trace(log, request="stranger")
        trace.complete(Completion.REFUSED, status=404, reason="no route")
        log.log_completed(trace, 5.1)
    lost = build_trace(log, request="lost")
    lost.record(ATTEMPT_ENDED, 5.2)
    lost.complete(Completion.UNKNOWN, status=502, reason="upstream-lost")
    log.log_completed(lost, 5.2)
    logged = [line for line in captured.lines() if line["request"] == "lost"]
    assert [line["event"] for line in logged] == ["attempt_ended", "request_failed"]
    assert logged[-1]["not_logged"] == str(1_000 - (len(captured.lines()) - 2))


def test_failed_requests_beyond_burst_are_counted_not_logged(
    captured: CapturedLog,
) -> None:
    log = RequestTraceLog(vm="a")
    for _ in range(2 * int(FAILED_BURST)):
        trace = build_trace(log)
        trace.complete(Completion.NOT_RUN, status=503, reason="busy")
        log.log_completed(trace, 5.1)
    assert log.skipped_failed == FAILED_BURST
    assert len(captured.lines()) == FAILED_BURST


def test_request_without_id_gets_unique_id() -> None:
    log = RequestTraceLog(vm="a")
    first, second = (log.start_trace(None, now=1.0, wall=2.0) for _ in range(2))
    assert first.request_id != second.request_id
    assert not first.id_is_from_caller
    assert first.request_id.startswith("a/")


def test_length_of_id_and_number_of_steps_are_bounded(captured: CapturedLog) -> None:
    log = RequestTraceLog(vm="a")
    trace = build_trace(log, request="x" * 1_000)
    for _ in range(10 * MAX_STEPS):
        trace.record(ATTEMPT_ENDED, 5.1)
    trace.complete(Completion.UNKNOWN, status=502, reason="upstream-lost")
    log.log_completed(trace, 5.2)
    assert len(captured.lines()) == MAX_STEPS + 1
    assert len(captured.lines()[0]["request"]) == 64
