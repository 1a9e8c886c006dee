"""Builders of reports on roll-outs, as long as those of large deployments."""

from __future__ import annotations

from typing import Any

from plankspindle_core.configuration.rollout import Rollout
from plankspindle_daemon.dispatch.version_counts import MAX_BAD_UPSTREAMS
from plankspindle_daemon.peer_messages.rollout_messages import TIMING_SUFFIX
from plankspindle_daemon.peer_messages.rollout_messages import RolloutReport
from plankspindle_daemon.peer_messages.rollout_messages import UpstreamOutcomes
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes
from plankspindle_daemon.rollouts.rollout_collector import RolloutCollector
from plankspindle_daemon.rollouts.rollout_order import RolloutOrder

OPERATIONS = ("GET /plates", "POST /transfers", "GET /archive", "GET /bytes")


def build_full_report(
    *,
    domains: int,
    first_domain: int = 10,
    answers: int = 300,
    with_timing: bool = True,
    bad_upstreams: int = MAX_BAD_UPSTREAMS,
    prefix: str = "",
    **fields: Any,
) -> RolloutReport:
    """Build a report with rows of four operations.

    Parameters
    ----------
    domains : int
        Failure domains of the upstreams.
    first_domain : int
        Number of the first of them.
    answers : int
        Answers of the baseline in each row; some more than all other counts.
    with_timing : bool
        Whether answers that are judged by their time have rows, too.
    bad_upstreams : int
        Upstreams of the target with bad answers.
    prefix : str
        Begins the names of operations.
    **fields : object
        Further fields of the report.
    """
    suffixes = ("", TIMING_SUFFIX) if with_timing else ("",)
    outcomes = tuple(
        VersionOutcomes(
            operation=f"{prefix}{operation}{suffix}",
            failure_domain=f"ba-{number}",
            baseline_answers=answers,
            baseline_bad=answers // 50,
            target_answers=answers // 20,
            target_bad=answers // 60,
        )
        for operation in sorted(OPERATIONS)
        for suffix in suffixes
        for number in range(first_domain, first_domain + domains)
    )
    worst = tuple(
        UpstreamOutcomes(
            operation=f"{prefix}{OPERATIONS[number % len(OPERATIONS)]}",
            upstream=f"registry-ba-1-{number}",
            answers=answers // 20,
            bad=answers // 60,
        )
        for number in range(bad_upstreams)
    )
    defaults: dict[str, Any] = {
        "sender": "ba-1-a",
        "incarnation": (1 << 63) + 12_345,
        "failure_domain": "ba-1",
        "is_of_domain": False,
        "service": "registry",
        "order": 1_234_567,
        "stage": "canary",
        "requests": answers,
        "exposed": answers // 20,
        "outcomes": outcomes,
        "bad_upstreams": worst,
    }
    return RolloutReport(**{**defaults, **fields})


def build_collector() -> RolloutCollector:
    """Build a collector that nobody has reported to."""
    rollout = Rollout(target_version="2.1", duration_ms=20_000, number=1_234_567)
    return RolloutCollector(
        vm="a",
        failure_domain="ba-1",
        incarnation=1,
        service="registry",
        order=RolloutOrder.first_seen(rollout, 0.0),
        started_at=0.0,
    )
