"""Processor time of one entry VM that serves nobody, by the size of the fleet."""

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

FLEETS = (
    Fleet(vms=9, upstreams=36),
    Fleet(vms=65, upstreams=184),
    Fleet(vms=195, upstreams=907),
)
START_S = 10.0
TICKS_PER_S = 20


@frozen(kw_only=True)
class Operation:
    """One piece of the work of an entry VM.

    Parameters
    ----------
    name : str
        What is done.
    per_s : str
        How often, a second.
    measure : callable
        Gives the milliseconds of one piece in a fleet.
    """

    name: str
    per_s: str
    measure: Callable[[Fleet], float]


def run_size_bench() -> None:
    """Print the processor time of each piece of work at each size."""
    rows = [
        [work.name, work.per_s, *(f"{work.measure(each):.3f}" for each in FLEETS)]
        for work in OPERATIONS
    ]
    sizes = [f"{each.vms} VMs, {each.upstreams} upstreams" for each in FLEETS]
    print_table("Milliseconds of one piece", ("work", "a second", *sizes), rows)


def ticks_per_second_ms(fleet: Fleet) -> float:
    """Let one second pass at an entry VM at rest."""
    node = build_fleet_node(fleet, now=START_S)
    steps = iter(range(10**6))

    def pass_second() -> None:
        for _ in range(TICKS_PER_S):
            node.tick(now=START_S + next(steps) / TICKS_PER_S, wall=WALL_TIME_S)

    pass_second()
    return median_ms(pass_second)


def receive_heartbeat_ms(fleet: Fleet) -> float:
    """Open, decode and take a heartbeat."""
    node = build_fleet_node(fleet, now=START_S)
    sealer = FrameSealer(keys=[b"k" * 16])
    frames = [
        sealer.seal(encode(fleet.heartbeat(1, sequence=number + 2)))
        for number in range(600)
    ]
    rest = iter(frames)

    def receive() -> None:
        for _ in range(100):
            heartbeat = sealer.open(next(rest)).and_then(decode).unwrap()
            event = HeartbeatReceived(heartbeat)  # type: ignore[arg-type]
            node.handle_membership(event, now=START_S, wall=WALL_TIME_S)

    return median_ms(receive) / 100


def build_heartbeat_ms(fleet: Fleet) -> float:
    """Make a heartbeat, and encode and seal it."""
    node = build_fleet_node(fleet, now=START_S)
    sealer = FrameSealer(keys=[b"k" * 16])
    return median_ms(lambda: sealer.seal(encode(node.heartbeat(now=START_S))))


def apply_list_ms(fleet: Fleet) -> float:
    """Take the platform's list again, unchanged."""
    node = build_fleet_node(fleet, now=START_S)
    listed = tuple(fleet.live_list())
    return median_ms(
        lambda: node.handle_membership(
            LiveListRead(listed), now=START_S, wall=WALL_TIME_S
        )
    )


def apply_list_change_ms(fleet: Fleet) -> float:
    """Take the platform's list after one upstream went or came."""
    node = build_fleet_node(fleet, now=START_S)
    whole = tuple(fleet.live_list())
    lists = iter((whole[1:], whole) * 10)
    return median_ms(
        lambda: node.handle_membership(
            LiveListRead(next(lists)), now=START_S, wall=WALL_TIME_S
        )
    )


def watch_ms(fleet: Fleet) -> float:
    """Compare what is believed with what was believed before."""
    node = build_fleet_node(fleet, now=START_S)
    watch = StatusMonitor()
    calls = BoundedCalls(timeout_s=0.5)
    watch.observe(node, calls, START_S)
    return median_ms(lambda: watch.observe(node, calls, START_S))


def start_ms(fleet: Fleet) -> float:
    """Hear all others and read the list for the first time, once."""
    listed = tuple(fleet.live_list())
    heartbeats = [fleet.heartbeat(each, sequence=1) for each in range(1, fleet.vms)]
    began = time.process_time()
    node = build_empty_node(fleet)
    node.adopt(fleet.configuration(), version=1, now=START_S)
    for heartbeat in heartbeats:
        node.handle_membership(
            HeartbeatReceived(heartbeat), now=START_S, wall=WALL_TIME_S
        )
    node.handle_membership(LiveListRead(listed), now=START_S, wall=WALL_TIME_S)
    return 1000 * (time.process_time() - began)


OPERATIONS = (
    Operation(name="a second of ticks", per_s="1", measure=ticks_per_second_ms),
    Operation(
        name="heartbeat taken",
        per_s="up to 25, 15 at 195",
        measure=receive_heartbeat_ms,
    ),
    Operation(name="heartbeat made", per_s="1 to 2", measure=build_heartbeat_ms),
    Operation(name="list taken, unchanged", per_s="up to 1", measure=apply_list_ms),
    Operation(
        name="list taken, changed", per_s="up to 1", measure=apply_list_change_ms
    ),
    Operation(name="beliefs compared", per_s="4, 0.9 at 195", measure=watch_ms),
    Operation(
        name="members and list learned at a start", per_s="once", measure=start_ms
    ),
)
