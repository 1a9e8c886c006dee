"""Processor time of an entry VM without requests, by the size of the fleet."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import frozen

from plankspindle_daemon.membership.messages import HeartbeatReceived
from plankspindle_daemon.membership.messages import LiveListRead
from plankspindle_daemon.platform.bounded_calls import BoundedCalls
from plankspindle_daemon.status_changes.status_monitor import StatusMonitor
from plankspindle_daemon.wire.codec import decode
from plankspindle_daemon.wire.codec import encode
from plankspindle_daemon.wire.frame import FrameSealer
from plankspindle_testkit.bench.median_time import median_ms
from plankspindle_testkit.bench.table import print_table
from plankspindle_testkit.fleet_node import WALL_TIME_S
from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.fleet_node import build_empty_node
from plankspindle_testkit.fleet_node import build_fleet_node
from plankspindle_testkit.versions import build_version

FLEETS = (
    Fleet(vms=9, upstreams=36),
    Fleet(vms=65, upstreams=184),
    Fleet(vms=195, upstreams=907),
)
START_S = 10.0
TICKS_PER_S = 20


@frozen(kw_only=True)
class Operation:
    """A periodic operation of an entry VM.

    Parameters
    ----------
    name : str
        Description of the operation.
    per_s : str
        How often it runs per second.
    measure : callable
        Returns the processor time of one run in a fleet, in milliseconds.
    """

    name: str
    per_s: str
    measure: Callable[[Fleet], float]


def run_size_bench() -> None:
    """Print the processor time of each operation at each fleet size."""
    rows = [
        [
            operation.name,
            operation.per_s,
            *(f"{operation.measure(each):.3f}" for each in FLEETS),
        ]
        for operation in OPERATIONS
    ]
    sizes = [f"{each.vms} VMs, {each.upstreams} upstreams" for each in FLEETS]
    print_table("Milliseconds per run", ("operation", "per second", *sizes), rows)


def ticks_per_second_ms(fleet: Fleet) -> float:
    """Run the ticks of one second on an idle entry VM."""
    node = build_fleet_node(fleet, now=START_S)
    steps = iter(range(10**6))

    def pass_second() -> None:
        for _ in range(TICKS_PER_S):
            node.tick(now=START_S + next(steps) / TICKS_PER_S, wall=WALL_TIME_S)

    pass_second()
    return median_ms(pass_second)


def receive_heartbeat_ms(fleet: Fleet) -> float:
    """Verify, decode and handle a heartbeat."""
    node = build_fleet_node(fleet, now=START_S)
    sealer = FrameSealer(keys=[b"k" * 16])
    frames = [
        sealer.seal(encode(fleet.heartbeat(1, sequence=number + 2)))
        for number in range(600)
    ]
    remaining = iter(frames)

    def receive() -> None:
        for _ in range(100):
            heartbeat = sealer.open(next(remaining)).and_then(decode).unwrap()
            event = HeartbeatReceived(heartbeat)  # type: ignore[arg-type]
            node.handle_membership(event, now=START_S, wall=WALL_TIME_S)

    return median_ms(receive) / 100


def build_heartbeat_ms(fleet: Fleet) -> float:
    """Build, encode and sign a heartbeat."""
    node = build_fleet_node(fleet, now=START_S)
    sealer = FrameSealer(keys=[b"k" * 16])
    return median_ms(lambda: sealer.seal(encode(node.heartbeat(now=START_S))))


def apply_list_ms(fleet: Fleet) -> float:
    """Apply the platform's list again, unchanged."""
    node = build_fleet_node(fleet, now=START_S)
    listed = tuple(fleet.live_list())
    return median_ms(
        lambda: node.handle_membership(
            LiveListRead(listed), now=START_S, wall=WALL_TIME_S
        )
    )


def apply_list_change_ms(fleet: Fleet) -> float:
    """Apply the platform's list after one upstream was removed or added."""
    node = build_fleet_node(fleet, now=START_S)
    complete_list = tuple(fleet.live_list())
    lists = iter((complete_list[1:], complete_list) * 10)
    return median_ms(
        lambda: node.handle_membership(
            LiveListRead(next(lists)), now=START_S, wall=WALL_TIME_S
        )
    )


def compare_status_ms(fleet: Fleet) -> float:
    """Compare the observed status with that of the previous run."""
    node = build_fleet_node(fleet, now=START_S)
    monitor = StatusMonitor()
    calls = BoundedCalls(timeout_s=0.5)
    monitor.observe(node, calls, START_S)
    return median_ms(lambda: monitor.observe(node, calls, START_S))


def start_ms(fleet: Fleet) -> float:
    """Receive all heartbeats and read the list for the first time, once."""
    listed = tuple(fleet.live_list())
    heartbeats = [fleet.heartbeat(each, sequence=1) for each in range(1, fleet.vms)]
    began = time.process_time()
    node = build_empty_node(fleet)
    node.adopt(fleet.configuration(), version=build_version(1), now=START_S)
    for heartbeat in heartbeats:
        node.handle_membership(
            HeartbeatReceived(heartbeat), now=START_S, wall=WALL_TIME_S
        )
    node.handle_membership(LiveListRead(listed), now=START_S, wall=WALL_TIME_S)
    return 1000 * (time.process_time() - began)


OPERATIONS = (
    Operation(name="a second of ticks", per_s="1", measure=ticks_per_second_ms),
    Operation(
        name="heartbeat received",
        per_s="up to 25, 15 at 195",
        measure=receive_heartbeat_ms,
    ),
    Operation(name="heartbeat built", per_s="1 to 2", measure=build_heartbeat_ms),
    Operation(name="list applied, unchanged", per_s="up to 1", measure=apply_list_ms),
    Operation(
        name="list applied, changed", per_s="up to 1", measure=apply_list_change_ms
    ),
    Operation(
        name="observed status compared",
        per_s="4, 0.9 at 195",
        measure=compare_status_ms,
    ),
    Operation(name="heartbeats and list at a start", per_s="once", measure=start_ms),
)
