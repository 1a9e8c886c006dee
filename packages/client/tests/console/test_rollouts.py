"""Tests of the commands for roll-outs against a fake daemon."""

from __future__ import annotations

import json
from typing import Any

import pytest
from click.testing import CliRunner
from click.testing import Result as CliResult
from result import Ok

from plankspindle_client.console.application import main
from plankspindle_client.operator_api import OperatorApi

PLAN = {"id": "p1", "base_version": 3, "state": "open", "effects": ["it moves"]}
STATUS = {
    "service": "registry",
    "version_in_force": "v1",
    "stage": "canary",
    "reason": "upstreams-warm",
    "order": 7,
    "baseline": "v1",
    "target": "v2",
    "target_share": 0.05,
    "coordinator": "ke-1-a",
    "to_deadline_s": 8.25,
    "is_of_all_vms": True,
    "requests": 1200,
    "exposed": 31,
    "outcomes": [
        {
            "operation": "search",
            "failure_domain": "ke-1",
            "baseline_answers": 1100,
            "baseline_bad": 2,
            "target_answers": 30,
            "target_bad": 1,
        }
    ],
}


class FakeDaemon:
    """Records calls and answers them."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str, Any]] = []
        self.answer: Any = PLAN

    def call(self, _: OperatorApi, method: str, target: str, body: bytes) -> Any:
        self.calls.append((method, target, json.loads(body) if body else None))
        return Ok(self.answer)


@pytest.fixture
def daemon(monkeypatch: pytest.MonkeyPatch) -> FakeDaemon:
    fake = FakeDaemon()
    monkeypatch.setattr(OperatorApi, "_call", lambda *arguments: fake.call(*arguments))
    return fake


def run(*arguments: str) -> CliResult:
    return CliRunner().invoke(main, ["--daemon", "127.0.0.1:7001", *arguments])


@pytest.mark.parametrize(
    ("arguments", "service", "duration_ms"),
    [
        (("registry", "v2", "--within", "12s"), "registry", 12_000),
        (("--within", "1500ms", "registry", "v2"), "registry", 1_500),
        (("start", "abort", "v2", "--within", "0.5min"), "abort", 30_000),
    ],
)
def test_order_is_planned_and_next_command_is_printed(
    daemon: FakeDaemon, arguments: tuple[str, ...], service: str, duration_ms: int
) -> None:
    ran = run("rollout", *arguments)
    assert ran.exit_code == 0, ran.output
    assert "plankspindle confirm p1" in ran.output
    intent = {
        "kind": "rollout",
        "service": service,
        "target_version": "v2",
        "duration_ms": duration_ms,
    }
    assert daemon.calls == [("POST", "/v1/plans", intent)]


def test_abort_is_planned(daemon: FakeDaemon) -> None:
    assert run("rollout", "abort", "registry").exit_code == 0
    assert daemon.calls[0][2] == {"kind": "abort-rollout", "service": "registry"}


@pytest.mark.parametrize("duration", ["12", "-1s", "soon", "infs", "nans", ""])
def test_invalid_duration_is_wrong_use(daemon: FakeDaemon, duration: str) -> None:
    ran = run("rollout", "registry", "v2", "--within", duration)
    assert ran.exit_code == 2
    assert "write a number and ms, s or min" in ran.output
    assert daemon.calls == []


def test_duration_is_required(daemon: FakeDaemon) -> None:
    assert run("rollout", "registry", "v2").exit_code == 2
    assert daemon.calls == []


def test_rollouts_show_stage_share_and_answers_by_version(daemon: FakeDaemon) -> None:
    daemon.answer = {"rollouts": [STATUS]}
    assert run("rollouts").output.splitlines() == [
        "registry: v1 to v2, canary (upstreams-warm), order 7, 8.2 s left",
        "  5.0 % of the keys go to v2; 31 of 1200 requests of all VMs did;"
        " coordinated by ke-1-a",
        "  search in ke-1: bad answers 2 of 1100 at v1, 1 of 30 at v2",
    ]
    assert daemon.calls == [("GET", "/v1/rollouts", None)]
    assert "no roll-out" in run("rollouts", "--service", "another").output


def test_rollouts_without_order_or_coordinator_are_shown(daemon: FakeDaemon) -> None:
    ended = {**STATUS, "to_deadline_s": -3.0, "coordinator": None, "reason": ""}
    free = {**STATUS, "service": "vault", "stage": None, "version_in_force": None}
    daemon.answer = {"rollouts": [ended, free]}
    output = run("rollouts").output
    assert "canary, order 7, deadline 3.0 s ago" in output
    assert "coordinated by no VM" in output
    assert "vault: software version unknown, no order" in output
