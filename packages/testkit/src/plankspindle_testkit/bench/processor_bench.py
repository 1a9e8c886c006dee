"""Processor time of a modelled day: starts, rest and requests, by size of the fleet."""

from __future__ import annotations

import os
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from plankspindle_testkit.bench.proxy_bench import PLACE
from plankspindle_testkit.bench.proxy_bench import PLATES
from plankspindle_testkit.bench.proxy_bench import REQUESTS
from plankspindle_testkit.bench.proxy_bench import SERVICES
from plankspindle_testkit.bench.proxy_bench import TRANSFERS
from plankspindle_testkit.bench.proxy_bench import load_endpoint
from plankspindle_testkit.bench.proxy_bench import start_proxy
from plankspindle_testkit.bench.size_bench import TICKS_PER_S
from plankspindle_testkit.bench.size_bench import build_heartbeat_ms
from plankspindle_testkit.bench.size_bench import compare_status_ms
from plankspindle_testkit.bench.size_bench import receive_heartbeat_ms
from plankspindle_testkit.bench.size_bench import start_ms
from plankspindle_testkit.bench.size_bench import ticks_per_second_ms
from plankspindle_testkit.bench.table import print_table
from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.fleet_node import build_fleet_node
from plankspindle_testkit.processes import Processes

FLEETS = (
    Fleet(vms=9, upstreams=36),
    Fleet(vms=78, upstreams=342),
    Fleet(vms=195, upstreams=907),
)
DAY_S = 42.0
STARTS_PER_VM = 2
REQUESTS_PER_VM = 500
"""The modelled day: its duration, and what each VM does in it."""
IDLE_TICKS_PER_S = 8
MEASURED_STARTS = 9
REST_S = 5.0
PROGRAM = "from plankspindle_daemon.console.entry_point import main; main()"
MISSING_SETTINGS = "/nonexistent/settings.yaml"
"""A daemon that imported everything exits when it cannot read its settings."""


def run_processor_bench() -> None:
    """Print the processor time of a modelled day of each fleet, by part."""
    imports_s = measure_imports_s()
    base_rest_ms, request_ms = _measure_daemon()
    rows = []
    for fleet in FLEETS:
        start_s = imports_s + start_ms(fleet) / 1000
        rest_ms = base_rest_ms + _fleet_rest_ms(fleet)
        parts_s = (
            fleet.vms * STARTS_PER_VM * start_s,
            fleet.vms * DAY_S * rest_ms / 1000,
            fleet.vms * REQUESTS_PER_VM * request_ms / 1000,
        )
        rows.append(
            [
                f"{fleet.vms} VMs, {fleet.upstreams} upstreams",
                f"{start_s:.3f}",
                f"{rest_ms:.1f}",
                f"{request_ms:.2f}",
                *(f"{each:.0f}" for each in (*parts_s, sum(parts_s))),
            ]
        )
    names = ("start s", "rest ms/s", "request ms")
    days = ("starts s", "rest s", "requests s", "day s")
    print_table(
        f"Processor time of a day of {DAY_S:.0f} s with {STARTS_PER_VM} starts and "
        f"{REQUESTS_PER_VM} requests per VM",
        ("fleet", *names, *days),
        rows,
    )


def measure_imports_s() -> float:
    """Return the processor time of the imports of a daemon, in seconds.

    Bytecode is cached before, as an installation does.
    """
    with tempfile.TemporaryDirectory() as cache:
        environment = {**os.environ, "PYTHONPYCACHEPREFIX": cache}
        environment.pop("PYTHONDONTWRITEBYTECODE", None)
        _import_once(environment)
        return statistics.median(
            _import_once(environment) for _ in range(MEASURED_STARTS)
        )


def _import_once(environment: dict[str, str]) -> float:
    before = _children_s()
    subprocess.run(
        [sys.executable, "-c", PROGRAM, "run", MISSING_SETTINGS],
        env=environment,
        check=False,
        stderr=subprocess.DEVNULL,
        timeout=60,
    )
    return _children_s() - before


def _children_s() -> float:
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    return used.ru_utime + used.ru_stime


def _measure_daemon() -> tuple[float, float]:
    """Return the rest of a daemon alone, ms a second, and one request in ms."""
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(folder=Path(folder))
        try:
            start_proxy(processes)
            pid = processes.process_by_name[PLACE.name].pid
            time.sleep(1.0)
            before_s = _process_s(pid)
            time.sleep(REST_S)
            rest_ms = 1000 * (_process_s(pid) - before_s) / REST_S
            return rest_ms, _measure_requests(pid)
        finally:
            processes.close()


def _measure_requests(pid: int) -> float:
    before_s = _process_s(pid)
    for method, target in (("GET", PLATES), ("POST", TRANSFERS)):
        load_endpoint(PLACE.caller, method, SERVICES + target, 8)
    return 1000 * (_process_s(pid) - before_s) / (2 * REQUESTS)


def _process_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    user, system = stat.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def _fleet_rest_ms(fleet: Fleet) -> float:
    """Return what the decisions of an idle VM in a fleet take, in ms a second."""
    membership = build_fleet_node(fleet, now=0.0).membership
    rounds_per_s = 1 / membership.heartbeat_period_s()
    checks_per_s = min(4.0, 1_000 / (fleet.vms + fleet.upstreams))
    return (
        IDLE_TICKS_PER_S / TICKS_PER_S * ticks_per_second_ms(fleet)
        + checks_per_s * compare_status_ms(fleet)
        + rounds_per_s * (fleet.vms - 1) * receive_heartbeat_ms(fleet)
        + rounds_per_s * build_heartbeat_ms(fleet)
    )
