"""Benchmarks of the dispatcher against FIFO queues and load-oblivious balancing."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from plankspindle_testkit.bench.policy_model import DispatcherPolicy
from plankspindle_testkit.bench.policy_model import FifoPolicy
from plankspindle_testkit.bench.policy_model import Load
from plankspindle_testkit.bench.policy_model import LoadObliviousPolicy
from plankspindle_testkit.bench.policy_model import ModelUpstream
from plankspindle_testkit.bench.policy_model import PolicyModel
from plankspindle_testkit.bench.policy_model import RequestResult
from plankspindle_testkit.bench.table import print_table
from plankspindle_testkit.bench.table import quantile

if TYPE_CHECKING:
    from plankspindle_testkit.bench.policy_model import Policy

SERVICE_S = 0.05
TIMEOUT_S = 1.0
SECONDS = 60.0
QUEUE_LIMIT = 256
SHARES = (0.2, 0.3, 0.5)
LOAD_FACTORS = (0.8, 1.0, 1.5, 3.0)
EVEN = [ModelUpstream(name=f"u{number}", slots=9) for number in range(4)]
UNEVEN = [
    ModelUpstream(name=f"u{number}", slots=9, slowness=slowness)
    for number, slowness in enumerate((0.7, 0.9, 1.0, 3.0))
]


def run_priority_bench() -> None:
    """Print latency and goodput by load, for priority classes and for FIFO."""
    capacity = sum(each.slots for each in EVEN) / SERVICE_S
    rows = []
    for factor in LOAD_FACTORS:
        load = Load(
            rate_per_s=capacity * factor,
            share_by_rank=SHARES,
            service_s=SERVICE_S,
            timeout_s=TIMEOUT_S,
            duration_s=SECONDS,
        )
        for name, policy in _priority_policies():
            model = PolicyModel(upstreams=EVEN, policy=policy, load=load)
            rows.append(_priority_row(f"{factor:g}x", name, model.run()))
    print_table(
        "Priority: 36 slots, 50 ms per request, 1 s each, classes 20/30/50 percent;"
        " in time means answered before the deadline",
        (
            "load",
            "policy",
            "class 0 p50 ms",
            "class 0 p99 ms",
            "in time 0 %",
            "in time 1 %",
            "in time 2 %",
            "goodput /s",
        ),
        rows,
    )


def _priority_policies() -> list[tuple[str, Policy]]:
    return [
        ("classes", DispatcherPolicy(upstreams=EVEN, queue_limit=QUEUE_LIMIT)),
        ("FIFO", FifoPolicy(upstreams=EVEN, queue_limit=100_000)),
        ("FIFO bounded", FifoPolicy(upstreams=EVEN, queue_limit=QUEUE_LIMIT)),
    ]


def _priority_row(load: str, policy: str, outcomes: list[RequestResult]) -> list[str]:
    first = [
        each.latency_s * 1000
        for each in outcomes
        if each.rank == 0 and each.latency_s is not None
    ]
    in_time = [each for each in outcomes if each.in_time]
    row = [load, policy, f"{quantile(first, 0.5):.0f}", f"{quantile(first, 0.99):.0f}"]
    for rank in range(len(SHARES)):
        sent = sum(1 for each in outcomes if each.rank == rank)
        got = sum(1 for each in in_time if each.rank == rank)
        row.append(f"{100 * got / sent:.1f}")
    return [*row, f"{len(in_time) / SECONDS:.0f}"]


def run_balancing_bench() -> None:
    """Print latency and goodput by balancing policy."""
    rows = []
    capacity = sum(each.slots / (SERVICE_S * each.slowness) for each in UNEVEN)
    for factor in (0.5, 0.8, 0.95):
        load = Load(
            rate_per_s=capacity * factor,
            share_by_rank=(1.0,),
            service_s=SERVICE_S,
            timeout_s=TIMEOUT_S,
            duration_s=SECONDS,
        )
        policies: list[tuple[str, Policy]] = [
            ("own counts", DispatcherPolicy(upstreams=UNEVEN, queue_limit=QUEUE_LIMIT)),
            ("round robin", LoadObliviousPolicy(upstreams=UNEVEN)),
            ("random", LoadObliviousPolicy(upstreams=UNEVEN, random=Random(5))),
        ]
        for name, policy in policies:
            model = PolicyModel(upstreams=UNEVEN, policy=policy, load=load)
            rows.append(_balancing_row(f"{factor:g}x", name, model.run()))
    print_table(
        "Balancing: 4 upstreams of 9 slots, 0.7, 0.9, 1 and 3 times 50 ms per request",
        ("load", "policy", "p50 ms", "p99 ms", "in time %"),
        rows,
    )


def _balancing_row(load: str, policy: str, outcomes: list[RequestResult]) -> list[str]:
    latencies = [
        each.latency_s * 1000 for each in outcomes if each.latency_s is not None
    ]
    in_time = sum(1 for each in outcomes if each.in_time)
    return [
        load,
        policy,
        f"{quantile(latencies, 0.5):.0f}",
        f"{quantile(latencies, 0.99):.0f}",
        f"{100 * in_time / len(outcomes):.1f}",
    ]
