"""Tests of the sums of reports, and of what they are enough for."""

from __future__ import annotations

from typing import Any

import pytest
from attrs import evolve

from plankspindle_core.configuration.rollout import Rollout
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.peer_messages.rollout_messages import RolloutReport
from plankspindle_daemon.peer_messages.rollout_messages import UpstreamOutcomes
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes
from plankspindle_daemon.rollouts.rollout_collector import MAX_SILENCE_S
from plankspindle_daemon.rollouts.rollout_collector import RolloutCollector
from plankspindle_daemon.rollouts.rollout_evidence import MAX_DOMAIN_SILENCE_S
from plankspindle_daemon.rollouts.rollout_evidence import RolloutEvidence
from plankspindle_daemon.rollouts.rollout_order import RolloutOrder
from plankspindle_daemon.rollouts.stage import Stage

ENDPOINT = Endpoint("127.0.0.1", 7000)
ORDER = RolloutOrder.first_seen(
    Rollout(target_version="2.0", duration_ms=20_000, number=7), 0.0
)


def build_report(sender: str, *, requests: int = 0, **fields: Any) -> RolloutReport:
    """Build a report of which a tenth of the requests were answered by the target."""
    outcomes = VersionOutcomes(
        operation="read",
        failure_domain="ba-1",
        baseline_answers=requests - requests // 10,
        target_answers=requests // 10,
    )
    defaults: dict[str, Any] = {
        "incarnation": 1,
        "failure_domain": "ba-1",
        "is_of_domain": False,
        "service": "registry",
        "order": 7,
        "stage": "canary",
        "outcomes": (outcomes,),
    }
    return RolloutReport(sender=sender, requests=requests, **defaults | fields)


def build_collector() -> RolloutCollector:
    return RolloutCollector(
        vm="a",
        failure_domain="ba-1",
        incarnation=1,
        service="registry",
        order=ORDER,
        started_at=0.0,
    )


def build_evidence() -> RolloutEvidence:
    return RolloutEvidence(canary_share=0.05, started_at=0.0)


def test_counts_of_an_ended_process_stay() -> None:
    collector = build_collector()
    collector.take(build_report("a", requests=10), None, 1.0)
    collector.take(build_report("b", requests=100), ENDPOINT, 1.0)
    collector.take(build_report("b", requests=30, incarnation=2), ENDPOINT, 1.0)
    report = collector.report(["a", "b"], 1.0)
    assert (report.requests, report.vms) == (140, 2)
    assert report.outcomes[0].target_answers == 14


def test_late_and_repeated_reports_change_no_sum() -> None:
    collector = build_collector()
    collector.take(build_report("b", requests=100), ENDPOINT, 1.0)
    collector.take(build_report("b", requests=100), ENDPOINT, 1.0)
    collector.take(build_report("b", requests=50, emptied_vms=1), ENDPOINT, 1.0)
    report = collector.report(["a", "b"], 1.0)
    assert (report.requests, report.emptied_vms) == (100, 0)


def test_collector_reports_a_halt_that_any_vm_knows() -> None:
    collector = build_collector()
    collector.take(build_report("a", stage="moving"), None, 1.0)
    collector.take(build_report("b", stage="halted"), ENDPOINT, 1.0)
    collector.take(build_report("c", stage="canary"), ENDPOINT, 1.0)
    assert collector.report(["a", "b", "c"], 1.0).stage == Stage.HALTED.value


def test_member_that_has_not_reported_yet_is_not_emptied() -> None:
    collector = build_collector()
    collector.take(build_report("a", emptied_vms=1), None, 1.0)
    report = collector.report(["a", "b"], 1.0)
    assert (report.vms, report.emptied_vms) == (2, 1)
    collector.take(build_report("a", emptied_vms=1), None, MAX_SILENCE_S + 0.1)
    report = collector.report(["a", "b"], MAX_SILENCE_S + 0.1)
    assert (report.vms, report.emptied_vms) == (1, 1)


def test_sums_of_a_new_collector_do_not_count_twice() -> None:
    evidence = build_evidence()
    old = build_report("a", requests=100, is_of_domain=True)
    evidence.take(old, ENDPOINT, 1.0)
    evidence.take(evolve(old, sender="b", requests=40), ENDPOINT, 2.0)
    assert evidence.requests == 100
    evidence.take(build_report("b", requests=120, is_of_domain=True), ENDPOINT, 3.0)
    assert (evidence.requests, evidence.answers()) == (120, 12)


def test_bad_upstreams_are_summed_over_vms() -> None:
    bad = UpstreamOutcomes(operation="read", upstream="u", answers=3, bad=1)
    collector = build_collector()
    collector.take(build_report("a", bad_upstreams=(bad,)), None, 1.0)
    collector.take(build_report("b", bad_upstreams=(bad,)), ENDPOINT, 1.0)
    (found,) = collector.report(["a", "b"], 1.0).bad_upstreams
    assert (found.answers, found.bad) == (6, 2)


@pytest.mark.parametrize(
    ("requests", "answers", "is_enough"),
    [(99, 0, True), (1000, 24, False), (1000, 25, True), (100_000, 200, True)],
)
def test_target_must_answer_half_of_its_part(
    requests: int, answers: int, is_enough: bool
) -> None:
    evidence = build_evidence()
    evidence.take(build_report("a", requests=5000), None, 1.0)
    evidence.begin_canary()
    outcomes = VersionOutcomes(
        operation="read", failure_domain="ba-1", target_answers=500 + answers
    )
    report = build_report("a", requests=5000 + requests, outcomes=(outcomes,))
    evidence.take(report, None, 2.0)
    assert evidence.is_enough() is is_enough


def test_baseline_is_emptied_once_all_failure_domains_in_touch_say_so() -> None:
    evidence = build_evidence()
    vms_by_domain = {"ba-1": 2, "ke-1": 1}
    first = build_report("a", is_of_domain=True, vms=2, emptied_vms=2)
    evidence.take(first, None, 1.0)
    assert not evidence.is_emptied(vms_by_domain, 1.0)
    second = build_report("k", failure_domain="ke-1", vms=1, emptied_vms=0)
    evidence.take(second, ENDPOINT, 1.0)
    assert not evidence.is_emptied(vms_by_domain, 1.0)
    evidence.take(evolve(second, emptied_vms=1), ENDPOINT, 1.1)
    assert evidence.is_emptied(vms_by_domain, 1.1)


def test_failure_domain_that_stays_silent_does_not_delay_the_end() -> None:
    evidence = build_evidence()
    now = MAX_DOMAIN_SILENCE_S + 0.1
    evidence.take(build_report("a", vms=1, emptied_vms=1), None, now)
    assert evidence.is_emptied({"ba-1": 1, "ke-1": 1}, now)
    assert not evidence.is_emptied({"ba-1": 1, "ke-1": 1}, now - 0.2)
