"""Nine real daemons in six failure domains: latency of changes, and idle costs."""

from __future__ import annotations

import os
import tempfile
import time
from pathlib import Path

from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.configuration.configuration import FailureDomain
from plankspindle_core.configuration.configuration import Site
from plankspindle_core.endpoint import Endpoint
from plankspindle_testkit.bench.table import print_table
from plankspindle_testkit.bench.table import quantile
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.processes import Processes
from plankspindle_testkit.processes import apply_configuration
from plankspindle_testkit.processes import call
from plankspindle_testkit.processes import confirm_intent
from plankspindle_testkit.processes import read_state
from plankspindle_testkit.processes import wait_until

PLATFORM = Endpoint("127.0.9.1", 17000)
REGIONS = ("bratislava", "zilina", "kosice")
DOMAINS = [f"{region}-{number}" for region in REGIONS for number in (1, 2)]
CHANGES = 20
IDLE_S = 10.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _places() -> list[VmAddresses]:
    places = []
    for index, domain in enumerate(DOMAINS):
        for number in range(2 if domain.endswith("-1") else 1):
            place = VmAddresses(
                name=f"{domain}-{number}",
                failure_domain=domain,
                host=f"127.0.9.{10 + 2 * index + number}",
                base_port=17100,
            )
            places.append(place)
    return places


def run_control_bench() -> None:
    """Print the time until changes are in force, and the cost of control when idle."""
    places = _places()
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(folder=Path(folder))
        try:
            _start(processes, places)
            _measure_changes(places)
            _measure_idle(processes, places)
        finally:
            processes.close()


def _start(processes: Processes, places: list[VmAddresses]) -> None:
    processes.start_platform(PLATFORM, places)
    for place in places:
        processes.start_daemon(place, platform=PLATFORM)
    for place in places:
        wait_until(lambda place=place: _is_healthy(place), what=place.name)  # type: ignore[misc]
    version = apply_configuration(places[0], _configuration())
    _wait_for(places, version)


def _is_healthy(place: VmAddresses) -> bool:
    return call(place.operator, target="/health").status == 200


def _configuration() -> Configuration:
    return build_configuration(
        failure_domains_by_name={
            domain: FailureDomain(region=domain.rpartition("-")[0])
            for domain in DOMAINS
        },
        upstreams_by_name={
            f"u-{domain}-{number}": build_upstream(
                failure_domain=domain,
                slots=9,
                endpoint=Endpoint("127.0.9.200", 10_000 + 10 * index + number),
            )
            for index, domain in enumerate(DOMAINS)
            for number in range(4)
        },
        sites_by_name={domain: Site(failure_domain=domain) for domain in DOMAINS},
        site_by_prefix={"127.0.0.0/8": DOMAINS[0]},
    )


def _wait_for(places: list[VmAddresses], version: int) -> None:
    waiting = list(places)
    while waiting:
        waiting = [each for each in waiting if _version_of(each) < version]


def _version_of(place: VmAddresses) -> int:
    return int(read_state(place)["configuration"]["version"])


def _measure_changes(places: list[VmAddresses]) -> None:
    seconds = []
    for number in range(CHANGES):
        priority_class = ("gold", "silver")[number % 2]
        intent = {"kind": "class", "caller": "desk", "priority_class": priority_class}
        version = confirm_intent(places[number % len(places)], intent)
        began = time.perf_counter()
        _wait_for(places, version)
        seconds.append(time.perf_counter() - began)
    print_table(
        f"Nine daemons in six failure domains: {CHANGES} changes, from accepted to in"
        " force at every daemon (polling of the states included)",
        ("median s", "worst s"),
        [[f"{quantile(seconds, 0.5):.2f}", f"{max(seconds):.2f}"]],
    )


def _measure_idle(processes: Processes, places: list[VmAddresses]) -> None:
    before = _sample(processes, places)
    time.sleep(IDLE_S)
    after = _sample(processes, places)
    rows = []
    for place in places:
        used = [
            b - a for a, b in zip(before[place.name], after[place.name], strict=True)
        ]
        cpu, sent, reads, writes = used
        rows.append(
            [
                place.name,
                f"{100 * cpu / IDLE_S:.1f}",
                f"{sent / IDLE_S:.0f}",
                f"{reads / IDLE_S:.1f}",
                f"{writes / IDLE_S:.1f}",
                f"{_resident_mib(processes, place):.0f}",
            ]
        )
    print_table(
        f"Control of nine idle daemons over {IDLE_S:g} s (no upstream answers)",
        ("VM", "% of a core", "bytes/s sent", "reads/s", "writes/s", "resident MiB"),
        rows,
    )


def _sample(
    processes: Processes, places: list[VmAddresses]
) -> dict[str, tuple[float, float, float, float]]:
    sampled = {}
    for place in places:
        state = read_state(place)
        sampled[place.name] = (
            _cpu_s(processes.process_by_name[place.name].pid),
            float(state["peers"]["bytes_sent"]),
            float(state["platform"]["reads"]),
            float(state["platform"]["writes"]),
        )
    return sampled


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def _resident_mib(processes: Processes, place: VmAddresses) -> float:
    path = Path(f"/proc/{processes.process_by_name[place.name].pid}/status")
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ProcessLookupError(place.name)
