"""Run benchmarks: ``python -m plankspindle_testkit.bench``."""

from __future__ import annotations

import click

from plankspindle_testkit.bench.control_bench import run_control_bench
from plankspindle_testkit.bench.detection_bench import run_detection_bench
from plankspindle_testkit.bench.drain_bench import run_drain_bench
from plankspindle_testkit.bench.headroom_bench import run_headroom_bench
from plankspindle_testkit.bench.limit_bench import run_limit_bench
from plankspindle_testkit.bench.log_bench import run_log_bench
from plankspindle_testkit.bench.lookup_bench import run_lookup_bench
from plankspindle_testkit.bench.policy_bench import run_balancing_bench
from plankspindle_testkit.bench.policy_bench import run_priority_bench
from plankspindle_testkit.bench.processor_bench import run_processor_bench
from plankspindle_testkit.bench.proxy_bench import run_proxy_bench
from plankspindle_testkit.bench.quota_bench import run_quota_bench
from plankspindle_testkit.bench.rollout_bench import run_rollout_bench
from plankspindle_testkit.bench.rollout_cost_bench import run_rollout_cost_bench
from plankspindle_testkit.bench.shift_bench import run_shift_bench
from plankspindle_testkit.bench.size_bench import run_size_bench
from plankspindle_testkit.bench.slopes_bench import run_slopes_bench
from plankspindle_testkit.bench.spread_bench import run_spread_bench

BENCH_BY_NAME = {
    "control": run_control_bench,
    "shift": run_shift_bench,
    "size": run_size_bench,
    "slopes": run_slopes_bench,
    "spread": run_spread_bench,
    "priority": run_priority_bench,
    "balancing": run_balancing_bench,
    "detection": run_detection_bench,
    "drain": run_drain_bench,
    "headroom": run_headroom_bench,
    "log": run_log_bench,
    "lookup": run_lookup_bench,
    "processor": run_processor_bench,
    "proxy": run_proxy_bench,
    "limit": run_limit_bench,
    "quota": run_quota_bench,
    "rollout": run_rollout_bench,
    "rollout-cost": run_rollout_cost_bench,
}


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(list(BENCH_BY_NAME)))
def main(names: tuple[str, ...]) -> None:
    """Run the benchmarks NAMES, or all of them, and print Markdown tables."""
    for name in names or BENCH_BY_NAME:
        BENCH_BY_NAME[name]()


if __name__ == "__main__":
    main()
