"""Bytes and processor time of the messages on a roll-out, by failure domains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.peer_messages.rollout_messages import RolloutDirective
from plankspindle_daemon.rollouts.report_parts import split_report
from plankspindle_daemon.rollouts.rollout_evidence import RolloutEvidence
from plankspindle_daemon.rollouts.service_rollout import REPORT_PERIOD_S
from plankspindle_daemon.wire.codec import decode
from plankspindle_daemon.wire.codec import encode
from plankspindle_daemon.wire.frame import HEAD_BYTES
from plankspindle_daemon.wire.frame import FrameSealer
from plankspindle_testkit.bench.median_time import REPEATS
from plankspindle_testkit.bench.median_time import median_ms
from plankspindle_testkit.bench.table import print_table
from plankspindle_testkit.rollout_report_builders import build_collector
from plankspindle_testkit.rollout_report_builders import build_full_report

if TYPE_CHECKING:
    from collections.abc import Callable

    from plankspindle_daemon.peer_messages.rollout_messages import RolloutReport

DOMAINS = (1, 2, 6, 22)
DEPLOYMENTS = ((1, 15), (6, 15), (1, 205), (22, 205))
"""Failure domains that a report has rows of, and entry VMs of a failure domain."""
RUNS = 50


def run_rollout_cost_bench() -> None:
    """Print the sizes of the messages, and what each costs."""
    rows = [
        _sizes(domains, with_timing=with_timing, bad_upstreams=bad_upstreams)
        for domains in DOMAINS
        for with_timing in (False, True)
        for bad_upstreams in (0, 16)
    ]
    columns = (
        "failure domains",
        "timing rows",
        "bad upstreams",
        "whole, bytes",
        "messages",
        "bytes with frames",
    )
    print_table("A report of four operations", columns, rows)
    print(f"\nA directive with its frame: {_directive_bytes()} bytes")
    times = [
        [name, *(f"{measure(*each):.3f}" for each in DEPLOYMENTS)]
        for name, measure in COSTS.items()
    ]
    sizes = [f"rows of {rows}, {vms} VMs" for rows, vms in DEPLOYMENTS]
    print_table("Milliseconds per run, all rows", ("step", *sizes), times)


def _sizes(domains: int, *, with_timing: bool, bad_upstreams: int) -> list[str]:
    report = build_full_report(
        domains=domains, with_timing=with_timing, bad_upstreams=bad_upstreams
    )
    parts = split_report(report)
    framed = sum(len(encode(each)) + HEAD_BYTES for each in parts)
    return [
        str(domains),
        "yes" if with_timing else "no",
        str(bad_upstreams),
        str(len(encode(report)) + HEAD_BYTES),
        str(len(parts)),
        str(framed),
    ]


def _directive_bytes() -> int:
    directive = RolloutDirective(
        sender="ba-1-a",
        service="registry",
        order=1_234_567,
        stage="moving",
        baseline_version="2.0",
        target_version="2.1",
        moving_ms=1_500,
        ends_in_ms=1_500,
        reason="canary-good",
    )
    return len(encode(directive)) + HEAD_BYTES


def split_and_seal_ms(domains: int, vms: int) -> float:
    """Split, encode and sign a report."""
    report = build_full_report(domains=domains)
    sealer = FrameSealer(keys=[b"k" * 16])

    def send() -> None:
        for part in split_report(report):
            sealer.seal(encode(part))

    return _mean_ms(send)


def open_and_take_ms(domains: int, vms: int) -> float:
    """Verify and decode a report, and merge it at its collector."""
    sealer = FrameSealer(keys=[b"k" * 16])
    parts = split_report(build_full_report(domains=domains))
    frames = [sealer.seal(encode(part)) for part in parts]
    collector = build_collector()

    def receive() -> None:
        for frame in frames:
            part = sealer.open(frame).and_then(decode).unwrap()
            collector.take(part, None, 1.0)  # type: ignore[arg-type]

    return _mean_ms(receive)


def sum_ms(domains: int, vms: int) -> float:
    """Sum the reports of all VMs of a failure domain."""
    collector = build_collector()
    for number in range(vms):
        report = build_full_report(domains=domains, sender=f"vm-{number}")
        collector.take(report, None, 1.0)
    return median_ms(lambda: collector.report([], 1.0))


def take_and_judge_ms(domains: int, vms: int) -> float:
    """Merge a report of each failure domain, all grown, and judge the sums."""
    reporting = 6 if vms < 100 else 22
    evidence = RolloutEvidence(canary_share=0.05, started_at=0.0)
    steps = iter(
        [
            build_full_report(
                domains=domains,
                answers=300 * step,
                sender=f"collector-{number}",
                failure_domain=f"ba-{number}",
                first_domain=number if domains == 1 else 10,
                is_of_domain=True,
            )
            for number in range(reporting)
        ]
        for step in range(1, REPEATS + 2)
    )

    def judge(reports: list[RolloutReport], now: float) -> None:
        for each in reports:
            evidence.take(each, None, now)
        evidence.judge(reporting, now)

    judge(next(steps), 0.0)
    grown = enumerate(list(steps), 1)

    def judge_next() -> None:
        step, reports = next(grown)
        judge(reports, step * REPORT_PERIOD_S)

    return median_ms(judge_next)


def _mean_ms(function: Callable[[], None]) -> float:
    def repeat() -> None:
        for _ in range(RUNS):
            function()

    return median_ms(repeat) / RUNS


COSTS: dict[str, Callable[[int, int], float]] = {
    "report split, encoded and signed": split_and_seal_ms,
    "report verified, decoded and merged": open_and_take_ms,
    "reports of the VMs of a failure domain summed": sum_ms,
    "reports of all failure domains merged and judged": take_and_judge_ms,
}
