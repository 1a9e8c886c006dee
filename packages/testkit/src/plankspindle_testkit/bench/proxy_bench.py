"""Benchmarks of a real daemon on loopback: overhead, lookups, a large download."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from plankspindle_core.endpoint import Endpoint
from plankspindle_testkit.bench.table import print_table
from plankspindle_testkit.bench.table import quantile
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.processes import Processes
from plankspindle_testkit.processes import apply_configuration
from plankspindle_testkit.processes import read_state
from plankspindle_testkit.processes import wait_for_operator_listener
from plankspindle_testkit.processes import wait_until

PLATFORM = Endpoint("127.0.8.1", 17000)
PLACE = VmAddresses(
    name="ba-1-a", failure_domain="ba-1", host="127.0.8.2", base_port=17100
)
UPSTREAM = Endpoint("127.0.8.3", 17200)
PLATES = "/plates/1"
TRANSFERS = "/transfers/1"
SERVICES = "/v1/services/registry"
DOWNLOAD_BYTES = 2 * 1024**3
REQUESTS = 3000
CONNECTIONS = 8


def run_proxy_bench() -> None:
    """Print throughput and latency with and without the daemon, and memory."""
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(folder=Path(folder))
        try:
            start_proxy(processes)
            _compare()
            _download(processes)
        finally:
            processes.close()


def start_proxy(processes: Processes) -> None:
    """Start a daemon with an upstream stand-in that answers at once."""
    processes.start_platform(PLATFORM, [PLACE])
    processes.start_module(
        "upstream",
        "plankspindle_testkit.upstream_stand_in",
        "--service-ms",
        "0",
        f"u={UPSTREAM}=64",
    )
    processes.start_daemon(PLACE, platform=PLATFORM)
    wait_for_operator_listener(PLACE)
    upstreams = {"u": build_upstream(endpoint=UPSTREAM, slots=64)}
    apply_configuration(PLACE, build_configuration(upstreams_by_name=upstreams))
    wait_until(lambda: _share() == 64, what="shares")


def _share() -> int:
    service = read_state(PLACE)["services"].get("registry", {"upstreams": {}})
    return int(service["upstreams"].get("u", {"share": 0})["share"])


def _compare() -> None:
    rows = []
    kinds = [
        ("direct", UPSTREAM, "GET", PLATES),
        ("through, kept-alive connection", PLACE.caller, "GET", SERVICES + PLATES),
        ("through, new connection", PLACE.caller, "POST", SERVICES + TRANSFERS),
        ("lookup", PLACE.caller, "GET", "/v1/lookup?service=registry"),
        ("request id", PLACE.caller, "POST", "/v1/request-ids"),
    ]
    for connections in (1, CONNECTIONS):
        for name, endpoint, method, target in kinds:
            found = load_endpoint(endpoint, method, target, connections)
            rows.append(_row(name, connections, found))
    print_table(
        f"One daemon, upstream stand-in that answers at once, {REQUESTS} requests",
        ("path", "connections", "requests /s", "p50 ms", "p99 ms", "statuses"),
        rows,
    )


def load_endpoint(
    endpoint: Endpoint, method: str, target: str, connections: int
) -> dict[str, Any]:
    """Send requests from another process; return their durations and statuses."""
    module = "plankspindle_testkit.bench.load_generator"
    options = ["--method", method, "--connections", str(connections)]
    options += ["--requests", str(REQUESTS), str(endpoint), target]
    ran = subprocess.run(
        [sys.executable, "-m", module, *options],
        check=True,
        capture_output=True,
        timeout=120,
    )
    found: dict[str, Any] = json.loads(ran.stdout)
    return found


def _row(name: str, connections: int, found: dict[str, Any]) -> list[str]:
    seconds = found["seconds"]
    return [
        name,
        str(connections),
        f"{len(seconds) / found['took_s']:.0f}",
        f"{quantile(seconds, 0.5) * 1000:.2f}",
        f"{quantile(seconds, 0.99) * 1000:.2f}",
        " ".join(f"{status}: {count}" for status, count in found["statuses"].items()),
    ]


def _download(processes: Processes) -> None:
    process = processes.process_by_name[PLACE.name]
    before = _resident_kb(process.pid)
    received, worst = 0, before
    began = time.perf_counter()
    with socket.create_connection((PLACE.host, PLACE.base_port)) as caller:
        head = f"GET {SERVICES}/bytes/{DOWNLOAD_BYTES} HTTP/1.1\r\nhost: a\r\n\r\n"
        caller.sendall(head.encode())
        while received < DOWNLOAD_BYTES:
            received += len(caller.recv(1 << 20))
            if received % (1 << 24) < 1 << 18:
                worst = max(worst, _resident_kb(process.pid))
    took = time.perf_counter() - began
    print_table(
        "Download of 2 GiB through one daemon",
        ("MiB/s", "resident before MiB", "largest resident MiB"),
        [[f"{2048 / took:.0f}", f"{before / 1024:.0f}", f"{worst / 1024:.0f}"]],
    )


def _resident_kb(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise ProcessLookupError(f"process {pid} has no resident memory")
