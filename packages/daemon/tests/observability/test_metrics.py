"""Tests of the metrics, and of their agreement with the state dump."""

from __future__ import annotations

import re
from collections import Counter
from typing import Any
from typing import cast

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from plankspindle_core.histogram import Histogram
from plankspindle_daemon.dispatch.messages import AttemptCompleted
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.dispatch.messages import RequestArrived
from plankspindle_daemon.observability.metric_sources import MetricSources
from plankspindle_daemon.observability.metrics_reader import MetricsReader
from plankspindle_daemon.observability.request_metrics import RequestMetrics
from plankspindle_daemon.observability.state_dump import dump_metrics
from plankspindle_daemon.platform.bounded_calls import BoundedCalls
from plankspindle_daemon.platform.bounded_calls import CallKind
from plankspindle_daemon.quarantine.quarantine import Quarantine
from plankspindle_daemon.rollouts.rollout_status import RolloutStatus
from plankspindle_daemon.traces.request_trace import Completion
from plankspindle_daemon.traces.request_trace import RequestTrace
from plankspindle_daemon.traces.steps import AttemptEnded
from plankspindle_daemon.traces.steps import Executed
from plankspindle_daemon.traces.steps import Placed
from plankspindle_daemon.traces.steps import Queued
from plankspindle_daemon.traces.steps import RetryDecided
from plankspindle_testkit.builders import build_membership
from plankspindle_testkit.builders import build_ticket
from plankspindle_testkit.version_builders import build_split
from plankspindle_testkit.version_builders import build_versioned_dispatcher
from plankspindle_testkit.versions import build_version

PLACED = Placed(upstream="u", own_load=0, others_load=0.0, slots=4, latency=1.0)


class StubNode:
    """The parts of a node that metrics read, without a configuration."""

    dispatchers_by_service: dict[str, Any] = {}
    version = build_version(7)

    def __init__(self) -> None:
        self.quarantine = Quarantine.create("a", "ba-1", build_membership("a"))
        self.rollouts = StubRollouts()


class StubRollouts:
    """The state of no roll-outs, unless a test sets some."""

    def __init__(self) -> None:
        self.statuses: list[RolloutStatus] = []

    def status(self, now: float) -> list[RolloutStatus]:
        return self.statuses


def build_trace() -> RequestTrace:
    trace = RequestTrace(
        request_id="r", id_is_from_caller=True, started_at=10.0, started_at_unix=0.0
    )
    trace.service, trace.rank = "registry", 1
    trace.record(Queued(ahead=0, limit=9), 10.0)
    trace.record(PLACED, 10.3)
    lost = AttemptEnded(
        attempt=1,
        upstream="u",
        verdict="failed",
        came="lost",
        ran=Executed.MAYBE,
        took_ms=200,
    )
    trace.record(lost, 10.5)
    retry = RetryDecided(taken=True, because="upstream-lost", budget_left=3.0)
    trace.record(retry, 10.5)
    trace.record(PLACED, 10.5)
    trace.complete(Completion.SERVED, status=200)
    return trace


@pytest.fixture
def sources() -> MetricSources:
    node: Any = StubNode()
    calls = BoundedCalls(timeout_s=1.0)
    calls.calls_by_kind[CallKind.READ] = 3
    built = MetricSources(
        node=node,
        requests=RequestMetrics(),
        calls=calls,
        ejections_by_service=Counter({"registry": 2}),
    )
    built.requests.record_lookup()
    built.requests.record_request(build_trace(), 10.9)
    return built


def samples(text: str) -> dict[str, float]:
    """Parse Prometheus text into values by name and labels."""
    values = {}
    for line in text.splitlines():
        if line.startswith("#"):
            continue
        name, value = line.rsplit(" ", 1)
        labels = sorted(re.findall(r'(\w+)="([^"]*)"', name))
        kept = [f"{key}={each}" for key, each in labels if not key.startswith("otel")]
        values[" ".join([name.partition("{")[0], *kept])] = float(value)
    return values


def test_request_is_counted_with_queueing_time_attempts_and_retries(
    sources: MetricSources,
) -> None:
    reader = MetricsReader(sources=sources)
    values = samples(reader.render().decode())
    reader.close()
    of_request = "ending=served rank=1 service=registry"
    assert values[f"plankspindle_request_duration_seconds_count {of_request}"] == 1
    bucket = "plankspindle_request_duration_seconds_bucket ending=served"
    assert values[f"{bucket} le=0.75 rank=1 service=registry"] == 0
    assert values[f"{bucket} le=1.0 rank=1 service=registry"] == 1
    queued = "plankspindle_queue_duration_seconds_sum service=registry"
    assert values[queued] == pytest.approx(0.3)
    of_attempt = "service=registry verdict=failed"
    assert values[f"plankspindle_attempt_duration_seconds_count {of_attempt}"] == 1
    retried = "because=upstream-lost decision=taken service=registry"
    assert values[f"plankspindle_retries_total {retried}"] == 1
    assert values["plankspindle_platform_available"] == 1
    assert values["plankspindle_configuration_version"] == 7


def test_requests_refused_by_quarantine_are_counted(sources: MetricSources) -> None:
    quarantine = sources.node.quarantine
    for incarnation in "abc":
        quarantine.record_crash(7, incarnation, at=1.0, now=1.0)
    quarantine.tick(2.0)
    assert quarantine.blocking_entry(7, 3.0) is not None
    reader = MetricsReader(sources=sources)
    values = samples(reader.render().decode())
    reader.close()
    assert values["plankspindle_upstream_crashes_reported_total"] == 3
    assert values["plankspindle_requests_held_back_total"] == 1
    assert values["plankspindle_quarantined_requests"] == 1


def test_metrics_and_state_dump_agree(sources: MetricSources) -> None:
    reader = MetricsReader(sources=sources)
    values = samples(reader.render().decode())
    reader.close()
    dumped = dump_metrics(sources)["measures"]
    assert values["plankspindle_lookups_total"] == dumped["lookups"]
    for each in dumped["requests"]:
        labels = (
            f"ending={each['ending']} rank={each['rank']} service={each['service']}"
        )
        name = f"plankspindle_request_duration_seconds_{{}} {labels}"
        assert values[name.format("count")] == each["count"]
        assert values[name.format("sum")] == pytest.approx(each["seconds"])
    for each in dumped["attempts"]:
        labels = f"service={each['service']} verdict={each['verdict']}"
        name = f"plankspindle_attempt_duration_seconds_count {labels}"
        assert values[name] == each["count"]
    for each in dumped["retries"]:
        labels = f"because={each['because']} decision={each['decision']}"
        name = f"plankspindle_retries_total {labels} service={each['service']}"
        assert values[name] == each["count"]
    for service, count in dumped["ejections"].items():
        assert values[f"plankspindle_ejections_total service={service}"] == count
    dropped = values["plankspindle_log_lines_dropped_total"]
    assert dropped == dumped["log_lines_dropped"]


@settings(derandomize=True)
@given(st.lists(st.floats(0.0, 20.0), max_size=50))
def test_buckets_count_values_up_to_their_bound(values: list[float]) -> None:
    histogram = Histogram(bounds=(0.1, 1.0, 10.0))
    for value in values:
        histogram.record(value)
    for bound, count in histogram.cumulative():
        assert count == sum(value <= float(bound) for value in values)
    assert histogram.observations == len(values)
    assert histogram.total == pytest.approx(sum(values))


def test_software_versions_are_counted_only_with_a_split(
    sources: MetricSources, monkeypatch: pytest.MonkeyPatch
) -> None:
    dispatcher = build_versioned_dispatcher(v1=1)
    dispatchers = {"registry": dispatcher}
    monkeypatch.setattr(sources.node, "dispatchers_by_service", dispatchers)
    reader = MetricsReader(sources=sources)
    assert "software_version" not in reader.render().decode()
    dispatcher.set_version_split(build_split())
    dispatcher.handle(RequestArrived(build_ticket(1)), 0.0)
    failed = AttemptCompleted(
        ticket=build_ticket(1), upstream="v1-0", outcome=AttemptOutcome.FAILED
    )
    dispatcher.handle(failed, 0.1)
    values = samples(reader.render().decode())
    reader.close()
    of_baseline = "_total role=baseline service=registry"
    assert values[f"plankspindle_software_version_requests{of_baseline}"] == 1
    assert values[f"plankspindle_software_version_bad_answers{of_baseline}"] == 1


def test_state_of_a_rollout_is_told_only_with_an_order(
    sources: MetricSources,
) -> None:
    reader = MetricsReader(sources=sources)
    assert "rollout" not in reader.render().decode()
    status = RolloutStatus(
        service="registry",
        version_in_force="v1",
        stage="canary",
        exposed=7,
        is_of_all_vms=True,
        to_deadline_s=8.5,
    )
    cast("StubRollouts", sources.node.rollouts).statuses.append(status)
    values = samples(reader.render().decode())
    reader.close()
    assert values["plankspindle_rollout_stage service=registry stage=canary"] == 1
    assert values["plankspindle_rollout_exposed_requests of=all service=registry"] == 7
    deadline = "plankspindle_rollout_seconds_to_deadline service=registry"
    assert values[deadline] == 8.5
