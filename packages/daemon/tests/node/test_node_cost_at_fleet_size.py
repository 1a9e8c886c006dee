"""Cost of one entry VM's background work, by the size of the fleet.

A process starts in a fleet of 195 entry VMs and 900 upstreams and then serves no
requests. Work per member or per change must not grow with the number of members, since
it is done once for each pair of VMs in the fleet: 195 times 194 times.
"""

from __future__ import annotations

from plankspindle_daemon.membership.messages import HeartbeatReceived
from plankspindle_daemon.membership.messages import LiveListRead
from plankspindle_daemon.platform.bounded_calls import BoundedCalls
from plankspindle_daemon.status_changes.status_monitor import StatusMonitor
from plankspindle_testkit.call_count import count_calls
from plankspindle_testkit.fleet_node import WALL_TIME_S
from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.fleet_node import build_empty_node
from plankspindle_testkit.fleet_node import build_fleet_node
from plankspindle_testkit.versions import build_version

SMALL = Fleet(vms=30, upstreams=100)
LARGE = Fleet(vms=195, upstreams=900)
MAX_GROWTH = 1.5
"""Growth factor that still counts as constant, since some work is periodic."""
NOW = 10.0
CALLS_PER_UPSTREAM_S = 60
"""Function calls per second for each upstream without requests.

At 0.1 us each, 900 upstreams take 5 ms of the 33 ms per second that a VM may spend on
control.
"""


def _first_heartbeats(fleet: Fleet) -> int:
    """Count the function calls for the first heartbeats of the last ten members."""
    node = build_empty_node(fleet)
    node.adopt(fleet.configuration(), version=build_version(1), now=NOW)
    node.handle_membership(
        LiveListRead(tuple(fleet.live_list())), now=NOW, wall=WALL_TIME_S
    )
    heartbeats = [
        HeartbeatReceived(fleet.heartbeat(number, sequence=1))
        for number in range(1, fleet.vms)
    ]
    for event in heartbeats[:-10]:
        node.handle_membership(event, now=NOW, wall=WALL_TIME_S)

    def receive() -> None:
        for event in heartbeats[-10:]:
            node.handle_membership(event, now=NOW, wall=WALL_TIME_S)

    return count_calls(receive)


def test_first_heartbeat_of_member_costs_same_at_any_fleet_size() -> None:
    assert _first_heartbeats(LARGE) <= MAX_GROWTH * _first_heartbeats(SMALL)


def test_idle_second_stays_within_cpu_budget() -> None:
    node = build_fleet_node(LARGE, now=NOW)
    monitor = StatusMonitor()
    calls = BoundedCalls(timeout_s=1.0)
    monitor.observe(node, calls, NOW)

    def run_one_second() -> None:
        for tick in range(20):
            now = NOW + tick / 20
            node.tick(now=now, wall=WALL_TIME_S + tick / 20)
            if tick % 5 == 0:
                monitor.observe(node, calls, now)

    assert count_calls(run_one_second) <= CALLS_PER_UPSTREAM_S * LARGE.upstreams


def test_lookups_include_new_member_within_quarter_second() -> None:
    node = build_fleet_node(SMALL, now=NOW)
    node.tick(now=NOW + 0.3, wall=WALL_TIME_S)
    joined = SMALL.heartbeat(SMALL.vms, sequence=1)
    node.handle_membership(HeartbeatReceived(joined), now=NOW + 0.31, wall=WALL_TIME_S)
    node.tick(now=NOW + 0.56, wall=WALL_TIME_S)
    assert node.steering is not None
    returned = [each.name for each in node.steering.nearest_vms(joined.failure_domain)]
    assert joined.sender in returned


def test_capacity_is_computed_once_for_many_rejections_in_short_time() -> None:
    dispatcher = build_fleet_node(LARGE, now=NOW).dispatchers_by_service["registry"]
    once = count_calls(lambda: dispatcher.capacity(NOW))

    def reject_many() -> None:
        for number in range(100):
            dispatcher.capacity(NOW + number / 1000)

    assert count_calls(reject_many) <= MAX_GROWTH * once


def test_lookups_are_not_recomputed_without_changes() -> None:
    node = build_fleet_node(LARGE, now=NOW)
    node.tick(now=NOW, wall=WALL_TIME_S)
    max_calls = MAX_GROWTH * count_calls(
        lambda: node.tick(now=NOW + 0.05, wall=WALL_TIME_S)
    )
    refresh = count_calls(
        lambda: node.steering_updater.refresh(node.version, NOW + 0.5)
    )
    assert refresh <= max_calls
