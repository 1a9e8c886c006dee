"""Benchmark of the cost of request traces in the log."""

from __future__ import annotations

import os
import tempfile
import time
import tracemalloc
from pathlib import Path
from typing import TYPE_CHECKING

import eliot

from plankspindle_core.logs.key_value_destination import KeyValueDestination
from plankspindle_core.logs.line_writer import LineWriter
from plankspindle_daemon.observability.request_metrics import RequestMetrics
from plankspindle_daemon.traces.request_trace import Completion
from plankspindle_daemon.traces.request_trace_log import RequestTraceLog
from plankspindle_daemon.traces.steps import AttemptEnded
from plankspindle_daemon.traces.steps import Executed
from plankspindle_daemon.traces.steps import Placed
from plankspindle_daemon.traces.steps import Rejected
from plankspindle_daemon.traces.steps import Routed
from plankspindle_daemon.traces.steps import Sent
from plankspindle_testkit.bench.proxy_bench import PLACE
from plankspindle_testkit.bench.proxy_bench import SERVICES
from plankspindle_testkit.bench.proxy_bench import load_endpoint
from plankspindle_testkit.bench.proxy_bench import start_proxy
from plankspindle_testkit.bench.table import print_table
from plankspindle_testkit.processes import Processes

if TYPE_CHECKING:
    from collections.abc import Callable

    from plankspindle_daemon.traces.request_trace import RequestTrace

TRACES = 5_000
RUNNING = 1_000
"""Number of concurrent requests whose memory is measured."""
RATES_PER_S = (67, 18)
"""Requests per second and entry VM of the registry and of the render farm."""


def run_log_bench() -> None:
    """Print processor time and memory of a trace, compared with a complete request."""
    request_us = _request_us()
    rows = [
        _row(name, _trace_us(make), request_us)
        for name, make in (
            ("served, most not logged", _serve),
            ("rejected, all steps logged", _reject),
            ("answer lost, all steps logged", _lose),
        )
    ]
    print_table(
        f"Trace of a request, compared with a complete one of {request_us:.0f} us",
        ("request", "us", "part of a request", "of a core at 67 /s", "at 18 /s"),
        rows,
    )
    print_table(
        "Memory of the trace of a running request",
        ("bytes per request",),
        [[f"{_bytes_per_trace():.0f}"]],
    )


def _row(name: str, trace_us: float, request_us: float) -> list[str]:
    loads = [f"{trace_us * rate / 1e4:.2f} %" for rate in RATES_PER_S]
    return [name, f"{trace_us:.1f}", f"{100 * trace_us / request_us:.1f} %", *loads]


def _request_us() -> float:
    """Return a daemon's processor time for a request on a kept-alive connection."""
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(folder=Path(folder))
        try:
            start_proxy(processes)
            pid = processes.process_by_name[PLACE.name].pid
            load_endpoint(PLACE.caller, "GET", f"{SERVICES}/plates/1", 1)
            before = _processor_s(pid)
            found = load_endpoint(PLACE.caller, "GET", f"{SERVICES}/plates/1", 1)
            used_s = _processor_s(pid) - before
        finally:
            processes.close()
    return 1e6 * used_s / len(found["seconds"])


def _processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _trace_us(make: Callable[[RequestTraceLog], RequestTrace]) -> float:
    """Return the processor time of a trace, written to a file without rate limits."""
    metrics = RequestMetrics()
    with Path(os.devnull).open("wb") as sink:
        destination = KeyValueDestination(sink=LineWriter(descriptor=sink.fileno()))
        eliot.add_destinations(destination)
        log = RequestTraceLog(vm="a")
        began = time.process_time()
        for _ in range(TRACES):
            if make is not _serve:
                # A new token bucket is full, so all steps are logged.
                log = RequestTraceLog(vm="a")
                destination._buckets_by_event.clear()
            trace = make(log)
            metrics.record_request(trace, 1.0)
            log.log_completed(trace, 1.0)
            destination.flush(1.0)
        used_s = time.process_time() - began
        eliot.remove_destination(destination)
    return 1e6 * used_s / TRACES


def _begin(log: RequestTraceLog) -> RequestTrace:
    trace = log.start_trace(b"9c41d07be2a35f68", now=0.0, wall=1e9)
    routed = Routed(
        service="registry",
        operation="plates",
        rank=1,
        idempotent=True,
        max_attempts=2,
        timeout_ms=2_500,
        left_ms=2_490,
        version=7,
        version_age_ms=60_000,
    )
    trace.record(routed, 0.0)
    return trace


def _record_attempt(trace: RequestTrace, *, came: str, ran: Executed) -> None:
    placed = Placed(
        upstream="i-7f3a91c2",
        own_load=1,
        others_load=2.5,
        slots=9,
        latency=1.1,
        report_age_ms=40,
        rtt_ms=1.9,
        hit=True,
        leaves_region=False,
    )
    trace.record(placed, 0.0)
    to = "10.1.64.3:8080"
    sent = Sent(attempt=1, to=to, connection="reused", deadline_ms=2_480, rested_ms=90)
    trace.record(sent, 0.0)
    ended = AttemptEnded(
        attempt=1,
        upstream="i-7f3a91c2",
        verdict="answered",
        came=came,
        ran=ran,
        took_ms=180,
    )
    trace.record(ended, 0.2)


def _serve(log: RequestTraceLog) -> RequestTrace:
    trace = _begin(log)
    _record_attempt(trace, came="status 200", ran=Executed.YES)
    trace.complete(Completion.SERVED, status=200)
    return trace


def _reject(log: RequestTraceLog) -> RequestTrace:
    trace = _begin(log)
    rejected = Rejected(
        reason="busy",
        retry_after_ms=400,
        queued=7,
        capacity=40,
        in_flight=40,
        usual_ms=200,
        left_ms=2_400,
    )
    trace.record(rejected, 0.1)
    trace.complete(Completion.NOT_RUN, status=503, reason="busy", retry_after_s=0.4)
    return trace


def _lose(log: RequestTraceLog) -> RequestTrace:
    trace = _begin(log)
    _record_attempt(trace, came="connection lost: reset", ran=Executed.MAYBE)
    trace.complete(Completion.UNKNOWN, status=502, reason="upstream-lost")
    return trace


def _bytes_per_trace() -> float:
    log = RequestTraceLog(vm="a")
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    traces = [_serve(log) for _ in range(RUNNING)]
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / len(traces)
