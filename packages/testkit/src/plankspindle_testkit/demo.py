"""Demo of a small deployment on loopback, from a lookup to a roll-out and a drain."""

from __future__ import annotations

import json
import tempfile
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from plankspindle_core import header_names
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.headers import find_header
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_caller
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.processes import Processes
from plankspindle_testkit.processes import apply_configuration
from plankspindle_testkit.processes import call
from plankspindle_testkit.processes import confirm_intent
from plankspindle_testkit.processes import read_state
from plankspindle_testkit.processes import wait_for_operator_listener
from plankspindle_testkit.processes import wait_until
from plankspindle_testkit.rollout_demo import BASELINE
from plankspindle_testkit.rollout_demo import ROLLOUTS_SECTION
from plankspindle_testkit.rollout_demo import show_rollout

if TYPE_CHECKING:
    from plankspindle_core.configuration.configuration import Configuration

PLATFORM = Endpoint("127.0.0.1", 17000)
VMS = [
    VmAddresses(
        name="ba-1-a", failure_domain="ba-1", host="127.0.0.11", base_port=17100
    ),
    VmAddresses(
        name="ba-1-b", failure_domain="ba-1", host="127.0.0.12", base_port=17100
    ),
    VmAddresses(
        name="ke-1-a", failure_domain="ke-1", host="127.0.0.13", base_port=17100
    ),
]
UPSTREAMS = {
    "registry-ba-1": build_upstream(
        endpoint=Endpoint("127.0.0.21", 17200), slots=9, software_version=BASELINE
    ),
    "registry-ba-2": build_upstream(
        endpoint=Endpoint("127.0.0.22", 17200), slots=9, software_version=BASELINE
    ),
    "registry-ke-1": build_upstream(
        endpoint=Endpoint("127.0.0.23", 17200),
        slots=9,
        failure_domain="ke-1",
        software_version=BASELINE,
    ),
}
REQUESTS = 200
DEALERS = 25
PLATE = "/v1/services/registry/plates/BA123AB"


def main() -> None:
    """Run the demo, and stop its processes at the end."""
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(folder=Path(folder))
        try:
            _start(processes)
            _show_lookup()
            _show_requests("before any shift")
            _show_transfer()
            _show_shift()
            _show_requests("after the shift")
            _show_shift_progress()
            _show_conflicting_plans()
            show_rollout(processes, VMS, [_dealer_key(n) for n in range(DEALERS)])
            _show_drain()
        finally:
            processes.close()
    print("demo: done")


def _start(processes: Processes) -> None:
    processes.start_platform(PLATFORM, VMS)
    upstreams = [
        f"{name}={each.endpoint}={each.slots}" for name, each in UPSTREAMS.items()
    ]
    processes.start_module(
        "upstreams", "plankspindle_testkit.upstream_stand_in", *upstreams
    )
    for addresses in VMS:
        processes.start_daemon(addresses, platform=PLATFORM, rollouts=ROLLOUTS_SECTION)
        wait_for_operator_listener(addresses)
    version = apply_configuration(VMS[0], _configuration())
    for addresses in VMS:
        _wait_for_version(addresses, version)
    print(f"started {len(VMS)} entry VMs, version {version} is in force on each")


def _configuration() -> Configuration:
    dealers = {
        f"dealer-{number}": build_caller(_dealer_key(number), "gold")
        for number in range(DEALERS)
    }
    return build_configuration(upstreams_by_name=UPSTREAMS, callers_by_name=dealers)


def _dealer_key(number: int) -> str:
    return f"key-of-dealer-{number:02}"


def _wait_for_version(addresses: VmAddresses, version: int) -> None:
    def is_adopted() -> bool:
        found = read_state(addresses)
        upstreams = found["services"].get("registry", {}).get("upstreams", {})
        in_force = bool(found["configuration"]["version"] >= version)
        return in_force and all(each["share"] for each in upstreams.values())

    wait_until(is_adopted, what=f"version {version} at {addresses.name}")


def _show_lookup() -> None:
    answer = call(VMS[2].caller, target="/v1/lookup?service=registry")
    print("look-up for a caller of 127.0.0.1:")
    for vm in json.loads(answer.body)["vms"]:
        print(f"  {vm['vm']} {vm['ip']}:{vm['port']} ({vm['reason']})")


def _show_requests(title: str) -> None:
    served: Counter[str] = Counter()
    for number in range(REQUESTS):
        addresses = VMS[number % 2]
        key = b"Bearer " + _dealer_key(number % DEALERS).encode()
        answer = call(
            addresses.caller, target=PLATE, headers=[(header_names.AUTHORIZATION, key)]
        )
        name = find_header(answer.headers, header_names.SERVED_BY) or b"nobody"
        served[name.decode()] += 1
    print(f"{REQUESTS} plate look-ups in Bratislava, {title}:")
    for by, count in sorted(served.items()):
        print(f"  {count:4} served by {by}")


def _show_transfer() -> None:
    issued = call(VMS[0].caller, "POST", "/v1/request-ids")
    request_id = json.loads(issued.body)["request_ids"][0]
    print("one transfer with an issued request id, sent three times to two VMs:")
    for addresses in (VMS[0], VMS[0], VMS[1]):
        answer = call(
            addresses.caller,
            "POST",
            "/v1/services/registry/transfers",
            headers=[
                (header_names.REQUEST_ID, request_id.encode()),
                (b"x-run", b"transfer"),
            ],
            body=b"BA123AB to a new owner",
        )
        outcome = find_header(answer.headers, header_names.OUTCOME) or b""
        replayed = find_header(answer.headers, header_names.REPLAYED) is not None
        how = "replayed" if replayed else "run"
        print(f"  {addresses.name}: {answer.status} {outcome.decode()} ({how})")
    runs = sum(_count_runs(each.endpoint) for each in UPSTREAMS.values())
    print(f"  executions at the upstreams: {runs}")


def _count_runs(endpoint: Endpoint) -> int:
    counts = json.loads(call(endpoint, "POST", "/control").body)
    return int(counts["runs"])


def _show_shift() -> None:
    wait_until(_all_domains_have_slots, what="slots of every failure domain")
    intent = {
        "kind": "shift",
        "shift_id": "relief",
        "shift": {
            "service": "registry",
            "from_region": "bratislava",
            "to_region": "kosice",
            "cap_percent": 20.0,
            "ramp_s": 0.0,
        },
    }
    version = confirm_intent(VMS[0], intent)
    for addresses in VMS:
        _wait_for_version(addresses, version)
    print(f"20 percent shift to Košice: confirmed, version {version} is in force")


def _show_conflicting_plans() -> None:
    print("two operators plan on the same version; both confirm:")
    plans = [
        _plan({"kind": "class", "caller": "dealer-0", "priority_class": name})
        for name in ("silver", "bronze")
    ]
    for plan in reversed(plans):
        target = f"/v1/plans/{plan['id']}/confirm"
        answer = call(VMS[0].operator, "POST", target)
        content = json.loads(answer.body)
        result = content.get("error", "accepted")
        print(f"  {plan['effects'][0]}: {result}")


def _plan(intent: dict[str, Any]) -> dict[str, Any]:
    body = json.dumps(intent).encode()
    answer = call(VMS[0].operator, "POST", "/v1/plans", body=body)
    plan: dict[str, Any] = json.loads(answer.body)
    return plan


def _show_drain() -> None:
    drain = {"kind": "failure-domain", "name": "ba-1"}
    plan = _plan({"kind": "drain", "drain_id": "maintenance", "drain": drain})
    print("plan to drain failure domain ba-1:")
    for effect in plan["effects"]:
        print(f"  {effect}")
    confirmed = call(VMS[0].operator, "POST", f"/v1/plans/{plan['id']}/confirm")
    print(f"  confirmed: {confirmed.status}")
    wait_until(_only_kosice_is_resolved, what="look-ups name Košice only")
    print("look-ups at every entry VM name Košice only")


def _all_domains_have_slots() -> bool:
    domains = read_state(VMS[0])["failure_domains"]
    heard = [domains[name] for name in ("ba-1", "ke-1")]
    return all(
        each["heard_vms"] and each["services"]["registry"]["capacity"] > 0
        for each in heard
    )


def _only_kosice_is_resolved() -> bool:
    found_vms = {
        vm["vm"]
        for addresses in VMS
        for vm in json.loads(
            call(addresses.caller, target="/v1/lookup?service=registry").body
        )["vms"]
    }
    return found_vms == {"ke-1-a"}


def _show_shift_progress() -> None:
    for addresses in VMS[:2]:
        shift = read_state(addresses)["shifts"]["relief"]
        print(f"  {addresses.name}: moved {shift['moved']} of {shift['total']}")


if __name__ == "__main__":
    main()
