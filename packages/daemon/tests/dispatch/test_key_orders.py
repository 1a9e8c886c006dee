"""Tests of the order of upstreams for affinity keys."""

from __future__ import annotations

from collections import Counter

import hypothesis.strategies as st
import pytest
from hypothesis import given

from plankspindle_core.configuration.configuration import FailureDomain
from plankspindle_daemon.dispatch.key_orders import KEPT
from plankspindle_daemon.dispatch.key_orders import KeyOrders
from plankspindle_daemon.dispatch.measured_distances import MeasuredDistances
from plankspindle_testkit.builders import build_configuration

KEYS = tuple(f"k{number}" for number in range(12))


def build_orders(domain_by_name: dict[str, str]) -> KeyOrders:
    distances = MeasuredDistances(home_domain="ba-1")
    distances.use(build_configuration())
    orders = KeyOrders(distances=distances)
    orders.use(domain_by_name)
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
        orders.use(domain_by_name)
        anew = build_orders(domain_by_name)
        for key in KEYS:
            changed, made = orders.of(key), anew.of(key)
            for names, whole in (
                (changed.near, made.near),
                (changed.far, made.far),
            ):
                assert names == whole[: len(names)]
                assert len(names) >= min(6, len(whole))


def test_an_upstream_that_changes_its_domain_changes_sides() -> None:
    orders = build_orders({"a": "ba-1", "b": "ke-1"})
    assert orders.of("k").near == ["a"]
    orders.use({"a": "ke-1", "b": "ba-1"})
    assert orders.of("k").near == ["b"]
    assert orders.of("k").far == ["a"]


def test_regions_that_change_change_the_sides() -> None:
    orders = build_orders({"a": "ba-1", "b": "ke-1"})
    assert orders.of("k").far == ["b"]
    domains = {name: FailureDomain(region="one") for name in ("ba-1", "ba-2", "ke-1")}
    orders.distances.use(build_configuration(failure_domains_by_name=domains))
    orders.forget_regions()
    assert sorted(orders.of("k").near) == ["a", "b"]


def test_keys_spread_evenly_and_so_do_those_of_an_upstream_that_goes() -> None:
    names = [f"i-{number:08x}" for number in range(20)]
    orders = build_orders(near(*names))
    keys = [f"/p/{number}" for number in range(4_000)]
    firsts = Counter(orders.of(key).near[0] for key in keys)
    assert all(140 <= firsts[name] <= 260 for name in names)
    lost = names[3]
    seconds = Counter(
        orders.of(key).near[1] for key in keys if orders.of(key).near[0] == lost
    )
    assert len(seconds) == 19
    assert max(seconds.values()) < 0.2 * firsts[lost]


def test_places_of_keys_are_spread_evenly() -> None:
    orders = build_orders(near("a"))
    fractions = [orders.of(f"k{number}").fraction for number in range(1_000)]
    assert sum(fraction < 0.3 for fraction in fractions) == pytest.approx(300, abs=60)


def test_every_process_has_the_same_order() -> None:
    orders = build_orders(near("a", "b", "c", "d", "e"))
    assert orders.of("k").near == ["d", "b", "e", "a", "c"]


def test_of_many_upstreams_a_key_remembers_the_first() -> None:
    orders = build_orders(near(*(f"u{number}" for number in range(400))))
    assert len(orders.of("k").near) == KEPT
