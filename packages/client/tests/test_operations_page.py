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
VM_ADDRESSES = VmAddresses(
    name="ke-1-a", failure_domain="ke-1", host=loopback_host(4, 2), base_port=17100
)


@pytest.fixture
def folder(tmp_path: Path) -> Iterator[Path]:
    processes = Processes(folder=tmp_path)
    try:
        processes.start_platform(PLATFORM, [VM_ADDRESSES])
        processes.start_module(
            "upstream", "plankspindle_testkit.upstream_stand_in", f"u={UPSTREAM}=4"
        )
        processes.start_daemon(
            VM_ADDRESSES, platform=PLATFORM, rollouts={"enabled": True}
        )
        wait_for_operator_listener(VM_ADDRESSES)
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
    words = [str(VM_ADDRESSES.operator) if word == "ADDR" else word for word in words]
    ran = CliRunner().invoke(main, ["--daemon", str(VM_ADDRESSES.operator), *words])
    assert ran.exit_code == 0, f"{command}: {ran.output}"
    return ran.output


def plan_id_in(output: str) -> str:
    found = re.search(r"plan ([0-9a-f]+) on version", output)
    assert found is not None, output
    return found[1]


def wait_for_version(version: int) -> None:
    wait_until(
        lambda: read_state(VM_ADDRESSES)["configuration"]["version"] == version,
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


def test_every_documented_command_works(folder: Path) -> None:
    done: set[str] = set()

    def step(command: str) -> str:
        found = re.match(r"(?:plan |config )?[a-z-]+", command)
        assert found is not None
        done.add(found[0])
        return run(folder, command)

    step("config validate FILE")
    first = plan_id_in(step("config apply FILE"))
    assert "version 1" in step(f"confirm {first}")
    wait_for_version(1)
    assert "nothing differs" in step("config diff FILE")
    assert '"version": 1' in step("config show")
    assert "registry.example/plates/" in step("routes")
    assert "depot: 8/s" in step("workspaces")
    assert VM_ADDRESSES.name in step("status")
    assert VM_ADDRESSES.name in step("watch --count 1")
    assert json.loads(step("state ADDR"))["vm"] == VM_ADDRESSES.name
    wait_until(lambda: bool(heard_vm_count()), what="a digest")
    shift = step(
        "plan shift --service registry --from bratislava --to kosice --percent 5"
    )
    step(f"confirm {plan_id_in(shift)}")
    wait_for_version(2)
    step("plan undo-shift registry-bratislava-kosice")
    drain = plan_id_in(step("plan drain --upstream u"))
    step(f"confirm {drain}")
    wait_for_version(3)
    step("plan undo-drain upstream-u")
    step("plan class desk gold")
    undone = plan_id_in(step("plan undo 3"))
    step(f"confirm {undone}")
    assert "accepted" in step(f"plan show {undone}")
    assert drain in step("plan list")
    assert len(step("history").splitlines()) == 4
    ordered = plan_id_in(step("rollout registry v2 --within 12s"))
    step(f"confirm {ordered}")
    wait_for_version(5)
    step("rollout abort registry")
    step("rollouts")
    refused = send_refused_request()
    wait_for_line(folder, refused)
    assert VM_ADDRESSES.name in step(f"explain {refused} {log_path(folder)}")
    assert "no request is held back" in step("quarantine")
    assert done == commands_on_page()


def log_path(folder: Path) -> Path:
    return folder / f"{VM_ADDRESSES.name}.log"


def send_request(method: str, path: str, *headers: tuple[bytes, bytes]) -> HttpAnswer:
    return call(
        VM_ADDRESSES.caller, method, path, headers=list(headers), timeout_s=20.0
    )


def log_id_in(answer: HttpAnswer) -> str:
    found = find_header(answer.headers, header_names.LOG_ID)
    assert found is not None, answer
    return found.decode()


def send_refused_request() -> str:
    """Send a request for an unknown service, and return its log id."""
    return log_id_in(send_request("GET", "/v1/services/none/x"))


def wait_for_line(folder: Path, request: str) -> None:
    wait_until(
        lambda: f"request={request}" in log_path(folder).read_text(), what=request
    )


def section(heading: str) -> str:
    text = PAGE.read_text(encoding="utf-8")
    return text[text.index(f"### {heading}") :].split("\n#", 1)[0]


def run_documented_commands(folder: Path, heading: str, request: str) -> str:
    """Run the commands of a section of the page, and return their output."""
    commands = re.findall(r"^    plankspindle (.+)$", section(heading), re.MULTILINE)
    assert commands
    wait_until(
        lambda: f"request={request}" in log_path(folder).read_text(), what=request
    )
    filled = [
        each.replace("REQUEST_ID", request).replace("LOGS", str(log_path(folder)))
        for each in commands
    ]
    return "".join(run(folder, command) for command in filled)


@pytest.fixture
def serving(folder: Path) -> Path:
    upstreams = {"u": build_upstream(endpoint=UPSTREAM, slots=4, failure_domain="ke-1")}
    apply_configuration(VM_ADDRESSES, build_configuration(upstreams_by_name=upstreams))
    wait_until(
        lambda: (
            call(VM_ADDRESSES.caller, target="/v1/services/registry/x").status == 200
        ),
        what="a request is served",
    )
    return folder


def control_upstream(**wanted: object) -> None:
    call(UPSTREAM, "POST", "/control", body=json.dumps(wanted).encode())


def test_rejection_under_load_is_explained(serving: Path) -> None:
    control_upstream(service_ms=2_000)
    with ThreadPoolExecutor(12) as pool:
        limit = (header_names.TIMEOUT, b"3000")
        futures = [
            pool.submit(send_request, "GET", "/v1/services/registry/x", limit)
            for _ in range(12)
        ]
        answers = [each.result() for each in futures]
    rejected = [each for each in answers if each.status == 503]
    assert rejected, [each.status for each in answers]
    printed = run_documented_commands(
        serving, "Rejected under load", log_id_in(rejected[0])
    )
    assert "It was rejected as too-late, and was not run" in printed
    assert '"too-late":' in printed


def test_lost_answer_of_upstream_is_explained(serving: Path) -> None:
    control_upstream(mode="close-after-run")
    lost = send_request("POST", "/v1/services/registry/x", BRONZE)
    assert lost.status == 502
    heading = "Answer lost, and the request must not repeat"
    printed = run_documented_commands(serving, heading, log_id_in(lost))
    assert "Attempt 1 at u ended after" in printed
    assert "It may have run. It was not sent again" in printed
    assert "must not run twice" in printed


def test_wait_for_slow_platform_is_explained(serving: Path) -> None:
    faults = json.dumps({"faults": {"delay_ms": 5_000}}).encode()
    call(PLATFORM, "POST", "/control", body=faults)
    key = (header_names.IDEMPOTENCY_KEY, b"k-1")
    late = send_request("POST", "/v1/services/registry/x", BRONZE, key)
    assert late.status == 503
    heading = "Late because the platform is slow or cut off"
    printed = run_documented_commands(serving, heading, log_id_in(late))
    assert "lies between request_routed and claim_decided" in printed
    assert "platform: away" in printed


def test_quarantined_request_is_explained_and_released(serving: Path) -> None:
    """The upstream crashes under each attempt of one request, and is restarted."""
    target = "/v1/services/registry/crash"
    upstream = f"u={UPSTREAM}=4"
    restarted = Processes(folder=serving)
    try:
        for _ in range(QUARANTINE_AFTER_CRASHES):
            control_upstream(crash_path="/crash")
            assert send_request("GET", target).status in (502, 503)
            time.sleep(UNNUMBERED_INCARNATION_S)
            module = "plankspindle_testkit.upstream_stand_in"
            restarted.start_module("restarted", module, upstream)
            wait_until(
                lambda: call(UPSTREAM, target="/load").status == 200, what="upstream"
            )
        wait_until(
            lambda: bool(quarantined_identities()), what="a request is held back"
        )
        blocked = send_request("GET", target)
        assert blocked.status == 503
        heading = "Held back since upstreams crashed under it"
        printed = run_documented_commands(serving, heading, log_id_in(blocked))
        assert "It was held back" in printed
        assert f"{quarantined_identities()[0]}: held back for" in printed
        run(serving, f"quarantine --lift {quarantined_identities()[0]}")
        wait_until(
            lambda: send_request("GET", target).status == 200, what="it is served again"
        )
    finally:
        restarted.close()


@pytest.fixture
def depot(serving: Path) -> Path:
    """Apply a configuration with a tiny quota for the workspace of the route's key."""
    upstreams = {"u": build_upstream(endpoint=UPSTREAM, slots=4, failure_domain="ke-1")}
    configuration = build_configuration(
        upstreams_by_name=upstreams,
        routes_by_name={
            "plates": build_route(host=VM_ADDRESSES.host, path_prefix="/plates/")
        },
        workspaces_by_name={"depot": build_workspace(DEPOT_KEY, rate_per_s=0.001)},
    )
    apply_configuration(VM_ADDRESSES, configuration)
    wait_until(
        lambda: send_request("GET", "/plates/1").status == 401, what="the workspace"
    )
    return serving


def test_refusal_over_quota_is_explained(depot: Path) -> None:
    key = (header_names.AUTHORIZATION, f"Bearer {DEPOT_KEY}".encode())
    refused = []

    def is_over_quota() -> bool:
        refused[:] = [send_request("GET", "/plates/1", key)]
        return refused[0].status == 429

    wait_until(is_over_quota, what="429")
    assert find_header(refused[0].headers, header_names.RETRY_AFTER) is not None
    printed = run_documented_commands(
        depot, "Refused by its quota", log_id_in(refused[0])
    )
    assert "Workspace depot had used its quota, and the request was not run" in printed
    assert "depot: 0.001/s" in printed
    assert f"tokens come from {VM_ADDRESSES.name}" in printed


def test_refusal_of_unknown_key_is_explained(depot: Path) -> None:
    key = (header_names.AUTHORIZATION, b"Bearer k-nobody")
    refused = send_request("GET", "/plates/1", key)
    assert refused.status == 401
    printed = run_documented_commands(depot, "Refused for its key", log_id_in(refused))
    assert "It was refused (401): this API key is not known." in printed
    assert "k-nobody" not in log_path(depot).read_text()


def test_commands_on_a_rolled_back_version_work(serving: Path) -> None:
    heading = "A software version was rolled back"
    printed = run_documented_commands(serving, heading, send_refused_request())
    assert VM_ADDRESSES.name in printed


def quarantined_identities() -> list[str]:
    return list(read_state(VM_ADDRESSES)["quarantine"]["requests"])


def heard_vm_count() -> int:
    return int(read_state(VM_ADDRESSES)["failure_domains"]["ke-1"]["heard_vms"])
