"""Every command of docs/OPERATIONS.md, run against a real daemon."""

from __future__ import annotations

import json
import re
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
import yaml
from click.testing import CliRunner

from plankspindle_client.console.application import main
from plankspindle_core import header_names
from plankspindle_core.configuration.codec import configuration_to_mapping
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.headers import find_header
from plankspindle_daemon.quarantine.crash_detector import UNNUMBERED_INCARNATION_S
from plankspindle_daemon.quarantine.crash_records import QUARANTINE_AFTER_CRASHES
from plankspindle_testkit.builders import BRONZE_KEY
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_route
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.builders import build_workspace
from plankspindle_testkit.loopback_network import loopback_host
from plankspindle_testkit.processes import Processes
from plankspindle_testkit.processes import apply_configuration
from plankspindle_testkit.processes import call
from plankspindle_testkit.processes import read_state
from plankspindle_testkit.processes import wait_for_operator_listener
from plankspindle_testkit.processes import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_core.http.fetch import HttpAnswer

PAGE = Path(__file__).parents[3] / "docs" / "OPERATIONS.md"
DEPOT_KEY = "k-depot"
PLATFORM = Endpoint(loopback_host(4, 1), 17000)
UPSTREAM = Endpoint(loopback_host(4, 3), 17200)
BRONZE = (header_names.AUTHORIZATION, b"Bearer " + BRONZE_KEY.encode())
PLACE = VmAddresses(
    name="ke-1-a", failure_domain="ke-1", host=loopback_host(4, 2), base_port=17100
)


@pytest.fixture
def folder(tmp_path: Path) -> Iterator[Path]:
    processes = Processes(folder=tmp_path)
    try:
        processes.start_platform(PLATFORM, [PLACE])
        processes.start_module(
            "upstream", "plankspindle_testkit.upstream_stand_in", f"u={UPSTREAM}=4"
        )
        processes.start_daemon(PLACE, platform=PLATFORM)
        wait_for_operator_listener(PLACE)
        upstreams = {
            "u": build_upstream(endpoint=UPSTREAM, slots=4, failure_domain="ke-1"),
            "v": build_upstream(endpoint=UPSTREAM, slots=4, failure_domain="ke-1"),
        }
        configuration = build_configuration(
            upstreams_by_name=upstreams,
            routes_by_name={"plates": build_route(path_prefix="/plates/")},
            workspaces_by_name={"depot": build_workspace(DEPOT_KEY, rate_per_s=8.0)},
        )
        mapping = configuration_to_mapping(configuration)
        (tmp_path / "FILE").write_text(yaml.safe_dump(mapping))
        yield tmp_path
    finally:
        processes.close()


def run(folder: Path, command: str) -> str:
    words = command.replace("FILE", str(folder / "FILE")).split()
    words = [str(PLACE.operator) if word == "ADDR" else word for word in words]
    ran = CliRunner().invoke(main, ["--daemon", str(PLACE.operator), *words])
    assert ran.exit_code == 0, f"{command}: {ran.output}"
    return ran.output


def plan_of(output: str) -> str:
    found = re.search(r"plan ([0-9a-f]+) on version", output)
    assert found is not None, output
    return found[1]


def wait_for_version(version: int) -> None:
    wait_until(
        lambda: read_state(PLACE)["configuration"]["version"] == version,
        what=f"version {version}",
    )


def commands_on_page() -> set[str]:
    text = PAGE.read_text(encoding="utf-8")
    table = text[text.index("| command | does |") : text.index("Exit status:")]
    cells = [line.split("|")[1] for line in table.splitlines() if line.startswith("|")]
    return {
        found
        for cell in cells
        for found in re.findall(r"plankspindle ((?:plan |config )?[a-z-]+)", cell)
    }


def test_every_command_of_the_page_works(folder: Path) -> None:
    done: set[str] = set()

    def step(command: str) -> str:
        found = re.match(r"(?:plan |config )?[a-z-]+", command)
        assert found is not None
        done.add(found[0])
        return run(folder, command)

    step("config validate FILE")
    first = plan_of(step("config apply FILE"))
    assert "version 1" in step(f"confirm {first}")
    wait_for_version(1)
    assert "nothing differs" in step("config diff FILE")
    assert '"version": 1' in step("config show")
    assert "registry.example/plates/" in step("routes")
    assert "depot: 8/s" in step("workspaces")
    assert PLACE.name in step("status")
    assert PLACE.name in step("watch --count 1")
    assert json.loads(step("state ADDR"))["vm"] == PLACE.name
    wait_until(lambda: bool(digests()), what="a digest")
    shift = step(
        "plan shift --service registry --from bratislava --to kosice --percent 5"
    )
    step(f"confirm {plan_of(shift)}")
    wait_for_version(2)
    step("plan undo-shift registry-bratislava-kosice")
    drain = plan_of(step("plan drain --upstream u"))
    step(f"confirm {drain}")
    wait_for_version(3)
    step("plan undo-drain upstream-u")
    step("plan class desk gold")
    undone = plan_of(step("plan undo 3"))
    step(f"confirm {undone}")
    assert "accepted" in step(f"plan show {undone}")
    assert drain in step("plan list")
    assert len(step("history").splitlines()) == 4
    refused = refused_request()
    wait_for_line(folder, refused)
    assert PLACE.name in step(f"explain {refused} {log_of(folder)}")
    assert "no request is held back" in step("quarantine")
    assert done == commands_on_page()


def log_of(folder: Path) -> Path:
    return folder / f"{PLACE.name}.log"


def ask(method: str, path: str, *headers: tuple[bytes, bytes]) -> HttpAnswer:
    return call(PLACE.caller, method, path, headers=list(headers), timeout_s=20.0)


def log_id_of(answer: HttpAnswer) -> str:
    found = find_header(answer.headers, header_names.LOG_ID)
    assert found is not None, answer
    return found.decode()


def refused_request() -> str:
    """Make a request for no service, and give the id by which logs tell of it."""
    return log_id_of(ask("GET", "/v1/services/none/x"))


def wait_for_line(folder: Path, request: str) -> None:
    wait_until(lambda: f"request={request}" in log_of(folder).read_text(), what=request)


def section(heading: str) -> str:
    text = PAGE.read_text(encoding="utf-8")
    return text[text.index(f"### {heading}") :].split("\n#", 1)[0]


def follow(folder: Path, heading: str, request: str) -> str:
    """Run the commands of a section, and give what they print."""
    commands = re.findall(r"^    plankspindle (.+)$", section(heading), re.MULTILINE)
    assert commands
    wait_until(lambda: f"request={request}" in log_of(folder).read_text(), what=request)
    filled = [
        each.replace("REQUEST_ID", request).replace("LOGS", str(log_of(folder)))
        for each in commands
    ]
    return "".join(run(folder, command) for command in filled)


@pytest.fixture
def serving(folder: Path) -> Path:
    upstreams = {"u": build_upstream(endpoint=UPSTREAM, slots=4, failure_domain="ke-1")}
    apply_configuration(PLACE, build_configuration(upstreams_by_name=upstreams))
    wait_until(
        lambda: call(PLACE.caller, target="/v1/services/registry/x").status == 200,
        what="a request is served",
    )
    return folder


def control_upstream(**wanted: object) -> None:
    call(UPSTREAM, "POST", "/control", body=json.dumps(wanted).encode())


def test_a_request_rejected_under_load_is_explained(serving: Path) -> None:
    control_upstream(service_ms=2_000)
    with ThreadPoolExecutor(12) as pool:
        limit = (header_names.TIMEOUT, b"3000")
        asked = [
            pool.submit(ask, "GET", "/v1/services/registry/x", limit) for _ in range(12)
        ]
        answers = [each.result() for each in asked]
    rejected = [each for each in answers if each.status == 503]
    assert rejected, [each.status for each in answers]
    printed = follow(serving, "Rejected under load", log_id_of(rejected[0]))
    assert "It was rejected as too-late, and was not run" in printed
    assert '"too-late":' in printed


def test_an_answer_lost_at_an_upstream_is_explained(serving: Path) -> None:
    control_upstream(mode="close-after-run")
    lost = ask("POST", "/v1/services/registry/x", BRONZE)
    assert lost.status == 502
    heading = "Answer lost, and the request must not repeat"
    printed = follow(serving, heading, log_id_of(lost))
    assert "Attempt 1 at u ended after" in printed
    assert "It may have run. It was not sent again" in printed
    assert "must not run twice" in printed


def test_a_request_that_waited_for_a_slow_platform_is_explained(serving: Path) -> None:
    faults = json.dumps({"faults": {"delay_ms": 5_000}}).encode()
    call(PLATFORM, "POST", "/control", body=faults)
    key = (header_names.IDEMPOTENCY_KEY, b"k-1")
    late = ask("POST", "/v1/services/registry/x", BRONZE, key)
    assert late.status == 503
    heading = "Late because the platform is slow or cut off"
    printed = follow(serving, heading, log_id_of(late))
    assert "lies between request_routed and claim_decided" in printed
    assert "platform: away" in printed


def test_a_request_that_is_held_back_is_explained_and_released(serving: Path) -> None:
    """An upstream ends under each try of one request, and is started again."""
    target = "/v1/services/registry/crash"
    upstream = f"u={UPSTREAM}=4"
    restarted = Processes(folder=serving)
    try:
        for _ in range(QUARANTINE_AFTER_CRASHES):
            control_upstream(crash_path="/crash")
            assert ask("GET", target).status in (502, 503)
            time.sleep(UNNUMBERED_INCARNATION_S)
            module = "plankspindle_testkit.upstream_stand_in"
            restarted.start_module("restarted", module, upstream)
            wait_until(
                lambda: call(UPSTREAM, target="/load").status == 200, what="upstream"
            )
        wait_until(lambda: bool(held_back()), what="a request is held back")
        held = ask("GET", target)
        assert held.status == 503
        heading = "Held back since upstreams crashed under it"
        printed = follow(serving, heading, log_id_of(held))
        assert "It was held back" in printed
        assert f"{held_back()[0]}: held back for" in printed
        run(serving, f"quarantine --lift {held_back()[0]}")
        wait_until(lambda: ask("GET", target).status == 200, what="it is served again")
    finally:
        restarted.close()


@pytest.fixture
def depot(serving: Path) -> Path:
    """Put a workspace with a tiny quota in force, whose key routes need."""
    upstreams = {"u": build_upstream(endpoint=UPSTREAM, slots=4, failure_domain="ke-1")}
    configuration = build_configuration(
        upstreams_by_name=upstreams,
        routes_by_name={"plates": build_route(host=PLACE.host, path_prefix="/plates/")},
        workspaces_by_name={"depot": build_workspace(DEPOT_KEY, rate_per_s=0.001)},
    )
    apply_configuration(PLACE, configuration)
    wait_until(lambda: ask("GET", "/plates/1").status == 401, what="the workspace")
    return serving


def test_a_request_over_its_quota_is_explained(depot: Path) -> None:
    key = (header_names.AUTHORIZATION, f"Bearer {DEPOT_KEY}".encode())
    refused = []

    def is_over_quota() -> bool:
        refused[:] = [ask("GET", "/plates/1", key)]
        return refused[0].status == 429

    wait_until(is_over_quota, what="429")
    assert find_header(refused[0].headers, header_names.RETRY_AFTER) is not None
    printed = follow(depot, "Refused by its quota", log_id_of(refused[0]))
    assert "Workspace depot had used its quota, and the request was not run" in printed
    assert "depot: 0.001/s" in printed
    assert f"tokens come from {PLACE.name}" in printed


def test_a_request_with_an_unknown_key_is_explained(depot: Path) -> None:
    key = (header_names.AUTHORIZATION, b"Bearer k-nobody")
    refused = ask("GET", "/plates/1", key)
    assert refused.status == 401
    printed = follow(depot, "Refused for its key", log_id_of(refused))
    assert "It was refused (401): this API key is not known." in printed
    assert "k-nobody" not in log_of(depot).read_text()


def held_back() -> list[str]:
    return list(read_state(PLACE)["quarantine"]["requests"])


def digests() -> int:
    return int(read_state(PLACE)["failure_domains"]["ke-1"]["heard_vms"])
