"""Tests of the command line against a fake daemon."""

from __future__ import annotations

import json
from typing import Any

import pytest
import yaml
from click.testing import CliRunner
from click.testing import Result as CliResult
from result import Err
from result import Ok
from result import Result

from plankspindle_client.console.application import main
from plankspindle_client.console.commands.config import diff_lines
from plankspindle_client.operator_api import ApiError
from plankspindle_client.operator_api import OperatorApi
from plankspindle_core.configuration.codec import configuration_to_mapping
from plankspindle_core.configuration.route import ServicePart
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_route

PLAN = {
    "id": "p1",
    "base_version": 3,
    "state": "open",
    "operator": "jana",
    "effects": ["at most 20 percent move"],
}
DAEMON = ["--daemon", "127.0.0.1:7001"]


class FakeDaemon:
    """Records calls and answers them."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str, Any]] = []
        self.answer: Result[Any, ApiError] = Ok(PLAN)

    def take(
        self, _: OperatorApi, method: str, target: str, body: bytes
    ) -> Result[Any, ApiError]:
        self.calls.append((method, target, json.loads(body) if body else None))
        return self.answer


@pytest.fixture
def daemon(monkeypatch: pytest.MonkeyPatch) -> FakeDaemon:
    fake = FakeDaemon()
    monkeypatch.setattr(OperatorApi, "_call", lambda *arguments: fake.take(*arguments))
    return fake


def run(*arguments: str) -> CliResult:
    return CliRunner().invoke(main, [*DAEMON, *arguments])


def test_shift_is_planned_and_next_command_is_printed(daemon: FakeDaemon) -> None:
    ran = run(
        "plan", "shift", "--service", "registry", "--from", "bratislava",
        "--to", "kosice", "--percent", "20",
    )  # fmt: skip
    assert ran.exit_code == 0
    assert "plankspindle confirm p1" in ran.output
    intent = daemon.calls[0][2]
    assert intent["shift_id"] == "registry-bratislava-kosice"
    assert intent["shift"]["cap_percent"] == 20.0


def test_drain_requires_exactly_one_target(daemon: FakeDaemon) -> None:
    assert run("plan", "drain").exit_code == 2
    assert run("plan", "drain", "--vm", "a", "--region", "b").exit_code == 2
    assert run("plan", "drain", "--failure-domain", "ba-1").exit_code == 0
    drain = daemon.calls[0][2]["drain"]
    assert drain == {"kind": "failure-domain", "name": "ba-1", "at": None}
    assert run("plan", "drain", "--upstreams-of", "ba-1").exit_code == 0
    drain = daemon.calls[1][2]["drain"]
    assert drain == {"kind": "upstreams-of-failure-domain", "name": "ba-1", "at": None}


@pytest.mark.parametrize(
    ("status", "exit_code"), [(422, 1), (409, 3), (503, 4), (0, 4), (504, 5)]
)
def test_failure_status_maps_to_exit_status(
    daemon: FakeDaemon, status: int, exit_code: int
) -> None:
    daemon.answer = Err(ApiError(status=status, message="no", problems=("why",)))
    ran = run("confirm", "p1")
    assert ran.exit_code == exit_code
    assert "why" in ran.output


def test_missing_daemon_option_is_reported() -> None:
    ran = CliRunner().invoke(main, ["confirm", "p1"])
    assert ran.exit_code == 2
    assert "--daemon IP:PORT" in ran.output


def test_json_output_is_printed_on_request(daemon: FakeDaemon) -> None:
    ran = run("--output", "json", "plan", "show", "p1")
    assert json.loads(ran.output) == PLAN


def test_problems_of_invalid_configuration_file_are_printed(tmp_path: Any) -> None:
    file = tmp_path / "configuration.yaml"
    file.write_text("services: {}\nspeed: 1\n")
    ran = run("config", "validate", str(file))
    assert ran.exit_code == 2
    assert "unknown key speed" in ran.output


def test_configuration_is_applied_and_compared(
    daemon: FakeDaemon, tmp_path: Any
) -> None:
    file = tmp_path / "configuration.yaml"
    mapping = configuration_to_mapping(build_configuration())
    file.write_text(yaml.safe_dump(mapping))
    assert run("config", "apply", str(file)).exit_code == 0
    assert daemon.calls[0][2]["kind"] == "apply"
    daemon.answer = Ok({"configuration": mapping})
    assert run("config", "diff", str(file)).output == "nothing differs\n"


def test_differences_are_listed_by_key_path() -> None:
    present = {"a": {"x": 1, "y": 2}, "b": 1}
    wanted = {"a": {"x": 5, "z": 3}, "b": 1}
    assert diff_lines(present, wanted) == ["~ a.x: 1 -> 5", "- a.y", "+ a.z: 3"]


def test_status_and_watch_print_state_of_daemon(daemon: FakeDaemon) -> None:
    daemon.answer = Ok(
        {
            "vm": "ba-1-a",
            "failure_domain": "ba-1",
            "readiness": "ready",
            "configuration": {"version": 3, "in_force_for_s": 9},
            "membership": {
                "view": ["ba-1-a", "ba-1-b"],
                "members": {
                    "ba-1-b": {
                        "suspected": True,
                        "silent_s": 3.1,
                        "suspected_by": ["ba-2-a", "ke-1-a"],
                    }
                },
            },
            "platform": {"available": False},
            "services": {
                "registry": {
                    "queued": 1,
                    "assigned": 7,
                    "upstreams": {"u": {"in_flight": 2, "limit": 4}},
                }
            },
            "failure_domains": {
                "ke-1": {
                    "region": "kosice",
                    "heard_s_ago": None,
                    "lowest_version": None,
                    "services": {},
                }
            },
            "shifts": {
                "s": {
                    "service": "registry",
                    "to_region": "kosice",
                    "moved": 1,
                    "total": 9,
                    "cap_percent": 20.0,
                }
            },
        }
    )
    shown = run("status").output
    assert "platform: away" in shown
    assert "service registry: 2 of 4 slots in use, 1 queued, 7 assigned" in shown
    assert "failure domain ke-1 of kosice: not heard" in shown
    assert "1 of 9 moved, cap 20 percent" in shown
    assert shown in run("watch", "--count", "1").output


def test_routes_are_listed_and_filtered_by_host_and_path(
    daemon: FakeDaemon,
) -> None:
    parts = [ServicePart(service="registry", weight=3)]
    configuration = build_configuration(
        routes_by_name={
            "short": build_route(path_prefix="/a/"),
            "long": build_route(path_prefix="/a/b/", idempotent=False, parts=parts),
        }
    )
    mapping = configuration_to_mapping(configuration)
    daemon.answer = Ok({"configuration": mapping})
    listed = run("routes").output.splitlines()
    assert [line.split()[0] for line in listed] == [
        "registry.example/a/b/",
        "registry.example/a/",
    ]
    assert "registry 100 %" in listed[0]
    assert "at most once" in listed[0]
    taken = run("routes", "--host", "Registry.example", "--path", "/a/b/c").output
    assert taken.splitlines() == listed[:1]
    assert "no route" in run("routes", "--path", "/b/").output
    found = json.loads(
        CliRunner()
        .invoke(main, [*DAEMON, "--output", "json", "routes", "--path", "/a/x"])
        .output
    )
    assert list(found) == ["short"]
