"""Tests of the order of upstreams for affinity keys."""

from __future__ import annotations

from collections import Counter

import hypothesis.strategies as st
import pytest
from hypothesis import given

from plankspindle_core.configuration.configuration import FailureDomain
from plankspindle_daemon.dispatch.domain_distances import DomainDistances
from plankspindle_daemon.dispatch.upstream_rankings import MAX_RANKED
from plankspindle_daemon.dispatch.upstream_rankings import UpstreamRankings
from plankspindle_testkit.builders import build_configuration

KEYS = tuple(f"k{number}" for number in range(12))


def build_orders(domain_by_name: dict[str, str]) -> UpstreamRankings:
    distances = DomainDistances(home_domain="ba-1")
    distances.set_configuration(build_configuration())
    orders = UpstreamRankings(distances=distances)
    orders.set_upstreams(domain_by_name)
    return orders


def near(*names: str) -> dict[str, str]:
    return dict.fromkeys(names, "ba-1")


@given(
    steps=st.lists(
        st.dictionaries(
            st.integers(0, 60).map("u{}".format),
            st.sampled_from(["ba-1", "ba-2", "ke-1"]),
            max_size=50,
        ),
        min_size=1,
        max_size=6,
    )
)
def test_orders_that_were_changed_are_those_that_are_made_anew(
    steps: list[dict[str, str]],
) -> None:
    orders = build_orders({})
    for domain_by_name in steps:
        orders.set_upstreams(domain_by_name)
        anew = build_orders(domain_by_name)
        for key in KEYS:
            changed, made = orders.get(key), anew.get(key)
            for names, whole in (
                (changed.local, made.local),
                (changed.remote, made.remote),
            ):
                assert names == whole[: len(names)]
                assert len(names) >= min(6, len(whole))


def test_an_upstream_that_changes_its_domain_changes_sides() -> None:
    orders = build_orders({"a": "ba-1", "b": "ke-1"})
    assert orders.get("k").local == ["a"]
    orders.set_upstreams({"a": "ke-1", "b": "ba-1"})
    assert orders.get("k").local == ["b"]
    assert orders.get("k").remote == ["a"]


def test_regions_that_change_change_the_sides() -> None:
    orders = build_orders({"a": "ba-1", "b": "ke-1"})
    assert orders.get("k").remote == ["b"]
    domains = {name: FailureDomain(region="one") for name in ("ba-1", "ba-2", "ke-1")}
    orders.distances.set_configuration(
        build_configuration(failure_domains_by_name=domains)
    )
    orders.rebuild()
    assert sorted(orders.get("k").local) == ["a", "b"]


def test_keys_spread_evenly_and_so_do_those_of_an_upstream_that_goes() -> None:
    names = [f"i-{number:08x}" for number in range(20)]
    orders = build_orders(near(*names))
    keys = [f"/p/{number}" for number in range(4_000)]
    firsts = Counter(orders.get(key).local[0] for key in keys)
    assert all(140 <= firsts[name] <= 260 for name in names)
    lost = names[3]
    seconds = Counter(
        orders.get(key).local[1] for key in keys if orders.get(key).local[0] == lost
    )
    assert len(seconds) == 19
    assert max(seconds.values()) < 0.2 * firsts[lost]


def test_places_of_keys_are_spread_evenly() -> None:
    orders = build_orders(near("a"))
    fractions = [orders.get(f"k{number}").hash_fraction for number in range(1_000)]
    assert sum(fraction < 0.3 for fraction in fractions) == pytest.approx(300, abs=60)


def test_every_process_has_the_same_order() -> None:
    orders = build_orders(near("a", "b", "c", "d", "e"))
    assert orders.get("k").local == ["d", "b", "e", "a", "c"]


def test_of_many_upstreams_a_key_remembers_the_first() -> None:
    orders = build_orders(near(*(f"u{number}" for number in range(400))))
    assert len(orders.get("k").local) == MAX_RANKED
