"""What one entry VM does whether anyone calls or not, by the size of the fleet.

The pattern: a process that starts in a fleet of 195 entry VMs and 900 upstreams, and
then serves nobody. Work for one member, or for one change, must not grow with the
number of members, since the fleet pays it once for each pair: 195 times 194 times.
"""

from __future__ import annotations

from plankspindle_daemon.membership.messages import HeartbeatReceived
from plankspindle_daemon.membership.messages import LiveListRead
from plankspindle_daemon.platform.bounded_calls import BoundedCalls
from plankspindle_daemon.status_changes.status_monitor import StatusMonitor
from plankspindle_testkit.call_count import count_calls
from plankspindle_testkit.fleet_node import WALL
from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.fleet_node import build_empty_node
from plankspindle_testkit.fleet_node import build_fleet_node

SMALL = Fleet(vms=30, upstreams=100)
LARGE = Fleet(vms=195, upstreams=900)
FLAT = 1.5
"""Growth that still counts as none: some work is done once in a while."""
NOW = 10.0
CALLS_PER_UPSTREAM_S = 60
"""Calls a second for each upstream at rest: at 0.1 us each, 900 upstreams take 5 ms of
the 33 ms a second that a VM may spend on control."""


def _first_heartbeats(fleet: Fleet) -> int:
    """Count the calls for the first heartbeats of the last ten members."""
    node = build_empty_node(fleet)
    node.adopt(fleet.configuration(), version=1, now=NOW)
    node.handle_membership(LiveListRead(tuple(fleet.listed())), now=NOW, wall=WALL)
    heartbeats = [
        HeartbeatReceived(fleet.heartbeat(number, sequence=1))
        for number in range(1, fleet.vms)
    ]
    for event in heartbeats[:-10]:
        node.handle_membership(event, now=NOW, wall=WALL)

    def hear() -> None:
        for event in heartbeats[-10:]:
            node.handle_membership(event, now=NOW, wall=WALL)

    return count_calls(hear)


def test_a_member_that_is_first_heard_costs_the_same_at_any_size() -> None:
    assert _first_heartbeats(LARGE) <= FLAT * _first_heartbeats(SMALL)


def test_a_second_at_rest_stays_within_its_part_of_the_processor() -> None:
    node = build_fleet_node(LARGE, now=NOW)
    watch = StatusMonitor()
    calls = BoundedCalls(timeout_s=1.0)
    watch.observe(node, calls, NOW)

    def pass_second() -> None:
        for tick in range(20):
            now = NOW + tick / 20
            node.tick(now=now, wall=WALL + tick / 20)
            if tick % 5 == 0:
                watch.observe(node, calls, now)

    assert count_calls(pass_second) <= CALLS_PER_UPSTREAM_S * LARGE.upstreams


def test_look_ups_follow_a_member_within_a_quarter_second() -> None:
    node = build_fleet_node(SMALL, now=NOW)
    node.tick(now=NOW + 0.3, wall=WALL)
    joined = SMALL.heartbeat(SMALL.vms, sequence=1)
    node.handle_membership(HeartbeatReceived(joined), now=NOW + 0.31, wall=WALL)
    node.tick(now=NOW + 0.56, wall=WALL)
    assert node.steering is not None
    named = [each.name for each in node.steering.nearest_vms(joined.failure_domain)]
    assert joined.sender in named


def test_many_rejections_in_a_moment_sum_up_the_room_once() -> None:
    dispatcher = build_fleet_node(LARGE, now=NOW).dispatchers_by_service["registry"]
    once = count_calls(lambda: dispatcher.capacity(NOW))

    def reject_many() -> None:
        for number in range(100):
            dispatcher.capacity(NOW + number / 1000)

    assert count_calls(reject_many) <= FLAT * once


def test_look_ups_are_not_worked_out_anew_while_nothing_changes() -> None:
    node = build_fleet_node(LARGE, now=NOW)
    node.tick(now=NOW, wall=WALL)
    again = FLAT * count_calls(lambda: node.tick(now=NOW + 0.05, wall=WALL))
    refresh = count_calls(
        lambda: node.steering_updater.refresh(node.version, NOW + 0.5)
    )
    assert refresh <= again
