"""Tests of the choice among upstreams that every entry VM may use."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import evolve

from plankspindle_daemon.dispatch.domain_distances import DomainDistances
from plankspindle_daemon.dispatch.placement import Placement
from plankspindle_daemon.dispatch.seen_keys import MAX_SEEN_KEYS
from plankspindle_daemon.dispatch.seen_keys import SEEN_KEY_TTL_S
from plankspindle_daemon.dispatch.spillover_limiter import SpilloverLimiter
from plankspindle_daemon.upstreams.health import BackedOff
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_reported_slots_upstream
from plankspindle_testkit.builders import build_ticket

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.placement_choice import PlacementChoice
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

EXPECTED_S = 0.1
FULL = 8
"""Requests that fill the four slots and the queue of an upstream."""


def build_placement(upstreams: dict[str, UpstreamState], seed: int = 1) -> Placement:
    distances = DomainDistances(home_domain="ba-1")
    distances.set_configuration(build_configuration())
    placement = Placement(
        distances=distances, limiter=SpilloverLimiter(), random=Random(seed)
    )
    placement.rankings.set_upstreams(
        {n: u.upstream.failure_domain for n, u in upstreams.items()}
    )
    return placement


def build_upstreams(**domains: str) -> dict[str, UpstreamState]:
    return {
        name: build_reported_slots_upstream(
            name, failure_domain=domain.replace("_", "-")
        )
        for name, domain in domains.items()
    }


def choose(
    placement: Placement,
    upstreams: dict[str, UpstreamState],
    key: str | None = None,
    *,
    now: float = 0.0,
    bulky: bool = False,
) -> PlacementChoice | None:
    return placement.choose(
        build_ticket(1, affinity=key, bulky=bulky),
        upstreams,
        fits=lambda each: each.usable_slots(now) > each.load(now),
        hit_s=EXPECTED_S,
        miss_s=None,
        now=now,
    )


def load(upstream: UpstreamState, count: int) -> None:
    for number in range(count):
        upstream.ledger.start(ticket=number, now=0.0, deadline=9.0)


def test_entry_vms_agree_on_the_upstream_of_a_key() -> None:
    upstreams = build_upstreams(a="ba_1", b="ba_1", c="ba_2", d="ba_2")
    for number in range(20):
        chosen = {
            choose(
                build_placement(upstreams, seed), upstreams, f"k{number}"
            ).upstream.name
            for seed in range(5)
        }
        assert len(chosen) == 1


def test_only_keys_of_a_leaving_upstream_move() -> None:
    upstreams = build_upstreams(a="ba_1", b="ba_1", c="ba_1")
    placement = build_placement(upstreams)
    keys = [f"k{number}" for number in range(60)]
    before = {key: choose(placement, upstreams, key).upstream.name for key in keys}
    upstreams["b"].leaving = True
    after = {key: choose(placement, upstreams, key).upstream.name for key in keys}
    moved = {key for key in keys if before[key] != after[key]}
    assert moved == {key for key in keys if before[key] == "b"}


def test_key_waits_for_its_upstream_in_a_busy_fleet() -> None:
    upstreams = build_upstreams(a="ba_1", b="ba_1", c="ba_1")
    placement = build_placement(upstreams)
    preferred = choose(placement, upstreams, "k").upstream
    load(preferred, FULL)
    for other in upstreams.values():
        if other is not preferred:
            load(other, 3)
    assert choose(placement, upstreams, "k") is None


def test_key_is_served_by_another_upstream_in_an_idle_fleet() -> None:
    upstreams = build_upstreams(a="ba_1", b="ba_1", c="ba_1")
    placement = build_placement(upstreams)
    preferred = choose(placement, upstreams, "k").upstream
    load(preferred, FULL)
    chosen = choose(placement, upstreams, "k")
    assert chosen.upstream is not preferred
    assert not chosen.is_hit


def make_all_keys_remote(placement: Placement) -> Placement:
    """Plan all keys for remote regions, as if the local one had no upstreams."""
    placement.plan.update(local_slots=0.0, remote_slots=9.0, vm_share=0.5)
    return placement


def test_full_region_spills_a_key_to_its_planned_remote_upstream_as_a_miss() -> None:
    upstreams = build_upstreams(a="ba_1", x="ke_1", y="ke_1", z="zi_1")
    placement = build_placement(upstreams)
    load(upstreams["a"], FULL)
    chosen = choose(placement, upstreams, "k")
    assert not chosen.is_hit
    planned = choose(make_all_keys_remote(placement), upstreams, "k")
    assert planned.upstream is chosen.upstream
    assert planned.is_hit


def test_key_stays_in_its_region_while_its_upstream_is_only_busy() -> None:
    upstreams = build_upstreams(a="ba_1", x="ke_1")
    placement = build_placement(upstreams)
    load(upstreams["a"], 3)
    assert choose(placement, upstreams, "k").upstream is upstreams["a"]


def test_hot_key_overflows_to_the_upstream_that_has_seen_it() -> None:
    upstreams = build_upstreams(a="ba_1", b="ba_1")
    placement = build_placement(upstreams)
    first = choose(placement, upstreams, "k").upstream
    (second,) = (each for each in upstreams.values() if each is not first)
    load(first, 4)
    assert choose(placement, upstreams, "k").upstream is first
    placement.seen_keys.record_seen("k", second.name, -SEEN_KEY_TTL_S - 1)
    assert choose(placement, upstreams, "k").upstream is first
    placement.seen_keys.record_seen("k", second.name, -SEEN_KEY_TTL_S + 1)
    chosen = choose(placement, upstreams, "k")
    assert chosen.upstream is second
    assert chosen.is_hit


def test_recorded_seen_keys_are_bounded() -> None:
    placement = build_placement(build_upstreams(a="ba_1"))
    for number in range(MAX_SEEN_KEYS + 100):
        placement.seen_keys.record_seen(f"k{number}", "a", 0.001 * number)
    assert len(placement.seen_keys.seen_at) <= MAX_SEEN_KEYS
    placement.seen_keys.record_seen("late", "a", 1_000.0)
    assert list(placement.seen_keys.seen_at) == [("late", "a")]


def test_entry_vms_agree_on_the_upstream_of_a_remote_key() -> None:
    upstreams = build_upstreams(a="ba_1", b="ba_2", x="ke_1", y="ke_1", z="zi_1")
    for number in range(20):
        chosen = [
            choose(
                make_all_keys_remote(build_placement(upstreams, seed)),
                upstreams,
                f"k{number}",
            )
            for seed in range(5)
        ]
        assert len({choice.upstream.name for choice in chosen}) == 1
        assert all(choice.is_hit for choice in chosen)
        assert chosen[0].upstream.name in "xyz"


def test_planned_share_of_keys_goes_to_the_remote_region() -> None:
    upstreams = build_upstreams(a="ba_1", x="ke_1")
    placement = build_placement(upstreams)
    placement.plan.update(local_slots=9.0, remote_slots=27.0, vm_share=0.5)
    remote = sum(
        choose(placement, upstreams, f"k{number}").upstream is upstreams["x"]
        for number in range(400)
    )
    assert 160 < remote < 240


def test_large_responses_stay_local_though_their_key_is_remote() -> None:
    upstreams = build_upstreams(a="ba_1", x="ke_1")
    placement = make_all_keys_remote(build_placement(upstreams))
    assert choose(placement, upstreams, "k", bulky=True).upstream is upstreams["a"]
    assert choose(placement, upstreams, "k").upstream is upstreams["x"]


def test_key_restricted_to_regions_prefers_an_upstream_there() -> None:
    upstreams = build_upstreams(a="ba_1", x="ke_1", z="zi_1")
    placement = make_all_keys_remote(build_placement(upstreams))
    for regions, name in ((("kosice",), "x"), (("bratislava", "kosice"), "a")):
        restricted = evolve(
            build_ticket(1, affinity="k"), allowed_regions=frozenset(regions)
        )
        chosen = placement.choose(
            restricted,
            upstreams,
            fits=lambda each, regions=regions: (
                placement.distances.region_of(each.upstream.failure_domain) in regions
            ),
            hit_s=EXPECTED_S,
            miss_s=None,
            now=0.0,
        )
        assert chosen.upstream.name == name
        assert chosen.is_hit


def test_keys_of_a_backed_off_upstream_go_to_the_next_in_rank() -> None:
    upstreams = build_upstreams(a="ba_1", b="ba_1")
    placement = build_placement(upstreams)
    preferred = choose(placement, upstreams, "k").upstream
    preferred.health.state = BackedOff(until=5.0, failures=1)
    chosen = choose(placement, upstreams, "k")
    assert chosen.upstream is not preferred
    assert chosen.is_hit
    assert choose(placement, upstreams, "k", now=9.0).upstream is preferred


def test_large_responses_stay_in_their_failure_domain() -> None:
    upstreams = build_upstreams(a="ba_1", b="ba_2")
    load(upstreams["a"], 4)
    placement = build_placement(upstreams)
    assert choose(placement, upstreams).upstream.name == "b"
    assert choose(placement, upstreams, bulky=True).upstream.name == "a"


def test_measured_round_trip_time_overrides_the_declared_one() -> None:
    distances = DomainDistances(home_domain="ba-1")
    distances.set_configuration(build_configuration())
    assert distances.rtt_s("ke-1") == 0.07
    distances.record_connect_time("ke-1", 0.02)
    distances.record_connect_time("ke-1", 0.05)
    assert distances.rtt_s("ke-1") == 0.02


def test_unresponsive_upstream_costs_more() -> None:
    upstreams = build_upstreams(a="ba_1", b="ba_1")
    placement = build_placement(upstreams)
    upstreams["a"].ledger.start(ticket=1, now=0.0, deadline=9.0)
    upstreams["b"].ledger.start(ticket=1, now=1.9, deadline=9.0)
    upstreams["b"].ledger.start(ticket=2, now=1.9, deadline=9.0)
    assert choose(placement, upstreams, now=2.0).upstream.name == "b"


def test_retry_may_spill_to_a_region_not_planned_for_its_key() -> None:
    """The planned upstream stops answering, and its region has no free slots."""
    upstreams = build_upstreams(near="ba_1", far="ke_1", farther="ke_1")
    placement = build_placement(upstreams)
    placement.plan.update(local_slots=0.0, remote_slots=8.0, vm_share=1.0)
    placement.limiter.set_capacity(4.0, 0.0)
    for number in range(20):
        placement.limiter.should_spill(0.1 * number, wants_spill=False)
    first = choose(placement, upstreams, "k", now=2.0)
    assert first is not None
    other = {"far": "farther", "farther": "far"}[first.upstream.name]
    load(upstreams[other], FULL)
    ticket = build_ticket(1, affinity="k").excluding(frozenset({first.upstream.name}))

    def fits(upstream: UpstreamState) -> bool:
        return upstream.name not in ticket.excluded_upstreams and upstream.usable_slots(
            2.0
        ) > upstream.load(2.0)

    assert placement.has_candidate(ticket, upstreams, fits=fits, now=2.0)
    retry = placement.choose(
        ticket, upstreams, fits=fits, hit_s=EXPECTED_S, miss_s=None, now=2.0
    )
    assert retry is not None
    assert retry.upstream.name == "near"
    assert retry.spills


def test_retry_has_no_candidate_outside_its_key_ranking() -> None:
    names = {f"u{number}": "ba_1" for number in range(8)}
    upstreams = build_upstreams(**names)
    placement = build_placement(upstreams)
    ranked = placement.rankings.get("k").local
    ticket = build_ticket(1, affinity="k").excluding(frozenset(ranked[:1]))
    ranked_next = set(ranked[1:3])
    assert not placement.has_candidate(
        ticket,
        upstreams,
        fits=lambda each: each.name not in {*ranked_next, *ticket.excluded_upstreams},
        now=0.0,
    )
    assert placement.has_candidate(
        ticket, upstreams, fits=lambda each: each.name in ranked_next, now=0.0
    )
