"""Tests of the choice among all upstreams of a service, and of its cost."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from plankspindle_daemon.dispatch.domain_distances import DomainDistances
from plankspindle_daemon.dispatch.placement import Placement
from plankspindle_daemon.dispatch.placement_cost import response_cost_s
from plankspindle_daemon.dispatch.placement_cost import silence_cost_s
from plankspindle_daemon.dispatch.spillover_limiter import SpilloverLimiter
from plankspindle_daemon.upstreams.average_use import AverageUse
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_reported_slots_upstream
from plankspindle_testkit.builders import build_ticket
from plankspindle_testkit.call_count import count_calls
from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.fleet_node import build_fleet_node

if TYPE_CHECKING:
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

EXPECTED_S = 0.1
NOW = 30.0
MAX_CALLS_PER_UPSTREAM = 26
"""Function calls to compare one upstream with the best one so far."""


def build_placement(seed: int) -> Placement:
    distances = DomainDistances(home_domain="ba-1")
    distances.set_configuration(build_configuration())
    return Placement(
        distances=distances, limiter=SpilloverLimiter(), random=Random(seed)
    )


def build_used_upstreams(random: Random) -> dict[str, UpstreamState]:
    """Build upstreams in random states: idle, loaded, slow, or without an answer."""
    upstreams: dict[str, UpstreamState] = {}
    for number in range(12):
        domain = random.choice(["ba-1", "ba-2"])
        each = build_reported_slots_upstream(f"u{number}", failure_domain=domain)
        for ticket in range(random.randrange(3)):
            started_at = NOW - random.choice([0.05, 2.0])
            each.ledger.start(ticket=ticket, now=started_at, deadline=NOW + 9.0)
        if random.random() < 0.5:
            each.record_reported_load(random.randrange(4), NOW - random.random())
            each.record_latency(random.choice([0.5, 1.0, 3.0]), NOW - 0.5)
        upstreams[each.name] = each
    return upstreams


@pytest.mark.parametrize("seed", range(40))
def test_choice_without_key_is_that_of_lowest_cost(seed: int) -> None:
    upstreams = build_used_upstreams(Random(seed))
    placement, ticket = build_placement(seed), build_ticket(1, affinity=None)
    tie_breaks = Random(seed)
    costs = [
        (
            response_cost_s(each, ticket, EXPECTED_S, placement.distances, NOW)
            + silence_cost_s(each, EXPECTED_S, NOW),
            tie_breaks.random(),
            name,
        )
        for name, each in upstreams.items()
    ]
    chosen = placement.choose(
        ticket,
        upstreams,
        fits=lambda each: True,
        hit_s=EXPECTED_S,
        miss_s=None,
        now=NOW,
    )
    assert chosen.upstream.name == min(costs)[2]


def test_choice_without_key_makes_few_calls_per_upstream() -> None:
    fleet = Fleet(vms=9, upstreams=342)
    node = build_fleet_node(fleet, now=NOW)
    dispatcher = node.dispatchers_by_service["registry"]
    ticket = build_ticket(1, affinity=None)
    calls = count_calls(
        lambda: dispatcher.could_place_elsewhere(ticket, "u1", NOW + 5.0)
    )
    assert calls <= MAX_CALLS_PER_UPSTREAM * len(dispatcher.upstreams_by_name)


def test_average_use_follows_each_report_at_the_same_time() -> None:
    use, again = AverageUse(), AverageUse()
    for report in (0.5, 1.0, 0.25):
        use.average(NOW)
        use.record(report, NOW)
        again.record(report, NOW)
        assert use.average(NOW) == again.average(NOW) > 0
    assert use.average(NOW + 1.0) < use.average(NOW)


def test_declared_distance_follows_the_configuration() -> None:
    distances = DomainDistances(home_domain="ba-1")
    assert distances.rtt_s("ba-2") == 0.0
    distances.set_configuration(build_configuration())
    declared_ms = build_configuration().distance_ms("ba-1", "ba-2")
    assert distances.rtt_s("ba-2") == 2 * declared_ms / 1000 > 0
    distances.record_connect_time("ba-2", 0.25)
    assert distances.rtt_s("ba-2") == 0.25
