"""Benchmark of the moved share of requests against its cap, over many seeds."""

from __future__ import annotations

from random import Random

from plankspindle_core.configuration.shift import Shift
from plankspindle_daemon.shifts.shift_meter import Move
from plankspindle_daemon.shifts.shift_meter import ShiftMeter
from plankspindle_testkit.bench.table import print_table
from plankspindle_testkit.bench.table import quantile

SEEDS = range(200)
REQUESTS = 5_000
CAP_PERCENT = 20.0
SKEWS = {
    "400 equal callers": [1.0] * 400,
    "25 equal callers": [1.0] * 25,
    "one caller with half of the traffic": [24.0, *[1.0] * 24],
}


def run_shift_bench() -> None:
    """Print the final and the largest moved share, by distribution of callers."""
    rows = []
    for name, weights in SKEWS.items():
        runs = [_run(Random(seed), weights) for seed in SEEDS]
        shares = [share for share, _ in runs]
        rows.append(
            [
                name,
                f"{quantile(shares, 0.0):.1f}",
                f"{quantile(shares, 0.5):.1f}",
                f"{max(shares):.2f}",
                f"{max(largest for _, largest in runs):.2f}",
            ]
        )
    print_table(
        f"Moved share under a cap of {CAP_PERCENT:g} percent, {len(SEEDS)} seeds of"
        f" {REQUESTS} requests",
        ("callers", "smallest %", "median %", "largest %", "largest at any time %"),
        rows,
    )


def _run(random: Random, weights: list[float]) -> tuple[float, float]:
    meter = ShiftMeter.create(region="a")
    shift = Shift(
        service="s",
        from_region="a",
        to_region="b",
        cap_percent=CAP_PERCENT,
        ramp_s=0.0,
    )
    meter.apply_shifts({"shift": shift}, 0.0)
    salt = random.random()
    callers = [f"caller-{salt}-{number}" for number in range(len(weights))]
    moved, max_share = 0, 0.0
    for total, caller in enumerate(random.choices(callers, weights, k=REQUESTS), 1):
        chosen = meter.choose(service="s", caller_key=caller, now=0.0)
        if isinstance(chosen, Move):
            meter.record_move(service="s", move=chosen)
            moved += 1
        max_share = max(max_share, 100 * moved / total)
    return 100 * moved / REQUESTS, max_share
