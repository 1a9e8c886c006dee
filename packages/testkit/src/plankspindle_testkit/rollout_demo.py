"""Part of the demo in which a bad software version is rolled back by itself."""

from __future__ import annotations

import json
import time
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from attrs import evolve
from click.testing import CliRunner

from plankspindle_client.console.application import main as operate
from plankspindle_core import header_names
from plankspindle_core.configuration.codec import configuration_from_mapping
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.headers import find_header
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.processes import apply_configuration
from plankspindle_testkit.processes import call
from plankspindle_testkit.processes import read_state
from plankspindle_testkit.processes import wait_until

if TYPE_CHECKING:
    from collections.abc import Sequence

    from plankspindle_core.http.headers import HeaderList
    from plankspindle_testkit.builders import VmAddresses
    from plankspindle_testkit.processes import Processes

BASELINE = "2.0"
TARGET = "2.1"
ROLLOUTS_SECTION = {"enabled": True}
UPSTREAMS = {
    "registry-ba-1-new": build_upstream(
        endpoint=Endpoint("127.0.0.31", 17200), slots=9, software_version=TARGET
    ),
    "registry-ba-2-new": build_upstream(
        endpoint=Endpoint("127.0.0.32", 17200), slots=9, software_version=TARGET
    ),
    "registry-ke-1-new": build_upstream(
        endpoint=Endpoint("127.0.0.33", 17200),
        slots=9,
        failure_domain="ke-1",
        software_version=TARGET,
    ),
}
FAIL_EVERY = 3
WITHIN_S = 12
SHOW_PERIOD_S = 2.5
PATH = "/v1/services/registry/plates/"


def show_rollout(
    processes: Processes, vms: Sequence[VmAddresses], keys: Sequence[str]
) -> None:
    """Order a bad software version, and show that it is rolled back.

    Parameters
    ----------
    processes : Processes
        Runs the upstreams of the target version.
    vms : sequence of VmAddresses
        The entry VMs, which have ``ROLLOUTS_SECTION`` in their settings.
    keys : sequence of str
        API keys of the callers.
    """
    _start_upstreams(processes, vms)
    operator = str(vms[0].operator)
    ordered = _run(operator, "rollout", "registry", TARGET, "--within", f"{WITHIN_S}s")
    _run(operator, "confirm", ordered.split()[1])
    answers = _send_until_end(vms, keys)
    _show_progress(vms)
    print("what the callers got while the roll-out ran:")
    for (status, version), count in sorted(answers.items()):
        print(f"  {count:4} answers with status {status} of software version {version}")


def _start_upstreams(processes: Processes, vms: Sequence[VmAddresses]) -> None:
    """Start and declare upstreams of the target version, and wait for them."""
    processes.start_module(
        "upstreams of the target version",
        "plankspindle_testkit.upstream_stand_in",
        f"--fail-every={FAIL_EVERY}",
        *(f"{name}={each.endpoint}={each.slots}" for name, each in UPSTREAMS.items()),
    )
    shown = json.loads(call(vms[0].operator, target="/v1/configuration").body)
    known = configuration_from_mapping(shown["configuration"]).unwrap()
    both = {**known.upstreams_by_name, **UPSTREAMS}
    version = apply_configuration(vms[0], evolve(known, upstreams_by_name=both))
    for addresses in vms:
        wait_until(partial(_has_version, addresses, version), what="version")
    print(
        f"{len(UPSTREAMS)} upstreams of software version {TARGET} beside {BASELINE},"
        f" version {version}; one in {FAIL_EVERY} of their answers is status 500"
    )


def _has_version(addresses: VmAddresses, version: int) -> bool:
    return bool(read_state(addresses)["configuration"]["version"] >= version)


def _run(operator: str, *arguments: str) -> str:
    """Run ``plankspindle``, print what it prints, and return it."""
    print(f"$ plankspindle {' '.join(arguments)}")
    result = CliRunner().invoke(operate, ["--daemon", operator, *arguments])
    for line in result.output.splitlines():
        print(f"  {line}")
    if result.exit_code != 0:
        raise RuntimeError(f"plankspindle {arguments[0]}: {result.exit_code}")
    return result.output


def _show_progress(vms: Sequence[VmAddresses]) -> None:
    """Show the roll-out as the coordinator knows it, which has the sums of all VMs."""
    coordinator = _read_rollout(vms[0])["coordinator"]
    asked = next((each for each in vms if each.name == coordinator), vms[0])
    _run(str(asked.operator), "rollouts", "--service", "registry")


def _send_until_end(
    vms: Sequence[VmAddresses], keys: Sequence[str]
) -> Counter[tuple[int, str]]:
    """Send requests until the roll-out has ended; count them by status and version."""
    answers: Counter[tuple[int, str]] = Counter()
    end = time.monotonic() + 2 * WITHIN_S
    next_show_at = time.monotonic() + SHOW_PERIOD_S
    number = 0
    while time.monotonic() < end:
        for _ in range(20):
            answers[_send(vms[number % len(vms)], keys[number % len(keys)])] += 1
            number += 1
        if _has_ended(vms[0]):
            return answers
        if time.monotonic() >= next_show_at:
            next_show_at += SHOW_PERIOD_S
            _show_progress(vms)
    raise TimeoutError(f"not in {2 * WITHIN_S} s: end of the roll-out")


def _send(addresses: VmAddresses, key: str) -> tuple[int, str]:
    headers: HeaderList = [(header_names.AUTHORIZATION, b"Bearer " + key.encode())]
    target = f"{PATH}{time.monotonic_ns()}"
    answer = call(addresses.caller, target=target, headers=headers)
    served_by = find_header(answer.headers, header_names.SERVED_BY) or b""
    version = TARGET if served_by.decode().partition("/")[2] in UPSTREAMS else BASELINE
    return answer.status, version


def _has_ended(addresses: VmAddresses) -> bool:
    return _read_rollout(addresses)["stage"] in ("rolled-back", "complete")


def _read_rollout(addresses: VmAddresses) -> dict[str, Any]:
    shown = json.loads(call(addresses.operator, target="/v1/rollouts").body)
    rollout: dict[str, Any] = shown["rollouts"][0]
    return rollout
