"""Benchmark of the drain time, with expected durations known or ignored."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.dispatch import messages as d
from plankspindle_daemon.upstreams.load_report import LoadReport
from plankspindle_testkit.bench.table import print_table
from plankspindle_testkit.bench.table import quantile
from plankspindle_testkit.builders import build_dispatcher

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.dispatcher import Dispatcher

LEAVES_AT_S = 300.0
NOTICE_S = 240.0
LONG_REQUEST_S = 180.0
SHORT_REQUEST_S = 0.05
LONG_SHARE = 0.05
RATE_PER_S = 3.0
SEEDS = range(20)


def run_drain_bench() -> None:
    """Print how long an upstream still runs requests after its planned leave."""
    rows = []
    for name, knows_durations in (
        ("durations known", True),
        ("durations ignored", False),
    ):
        overruns, late_requests = zip(
            *(_drain(seed, knows_durations) for seed in SEEDS), strict=True
        )
        rows.append(
            [
                name,
                f"{quantile(overruns, 0.5):.1f}",
                f"{max(overruns):.1f}",
                f"{sum(late_requests) / len(late_requests):.2f}",
            ]
        )
    print_table(
        "Drain: 3 upstreams of 12 slots, 5 percent downloads of 180 s, one upstream"
        " leaves at a time announced 240 s ahead, 20 seeds",
        ("policy", "median overrun s", "worst overrun s", "requests past the time"),
        rows,
    )


def _drain(seed: int, knows_durations: bool) -> tuple[float, int]:
    """Return the overrun in seconds, and the number of requests that cause it."""
    random = Random(seed)
    dispatcher = build_dispatcher(slots_by_upstream={"u0": 12, "u1": 12, "u2": 12})
    running: list[tuple[float, Ticket, str]] = []
    now, number, late_count = 0.0, 0, 0
    last_end = LEAVES_AT_S
    while now < LEAVES_AT_S:
        now += random.expovariate(RATE_PER_S)
        _announce(dispatcher, now)
        for at, ticket, upstream in sorted(each for each in running if each[0] <= now):
            dispatcher.handle(_completed(ticket, upstream), at)
        running = [each for each in running if each[0] > now]
        number += 1
        took = LONG_REQUEST_S if random.random() < LONG_SHARE else SHORT_REQUEST_S
        ticket = Ticket(
            id=number,
            rank=0,
            operation="GET /bytes" if took == LONG_REQUEST_S else "GET /",
            deadline=now + 600.0,
            expected_s=took if knows_durations else 0.0,
        )
        for effect in dispatcher.handle(d.RequestArrived(ticket), now):
            if isinstance(effect, d.Assign):
                running.append((now + took, ticket, effect.upstream))
                if effect.upstream == "u0" and now + took > LEAVES_AT_S:
                    late_count += 1
                    last_end = max(last_end, now + took)
    return last_end - LEAVES_AT_S, late_count


def _announce(dispatcher: Dispatcher, now: float) -> None:
    if now >= LEAVES_AT_S - NOTICE_S:
        report = LoadReport(leaves_at=LEAVES_AT_S)
        dispatcher.handle(d.ProbeCompleted(upstream="u0", report=report, wall=now), now)


def _completed(ticket: Ticket, upstream: str) -> d.AttemptCompleted:
    return d.AttemptCompleted(
        ticket=ticket, upstream=upstream, outcome=d.AttemptOutcome.CANCELLED
    )
