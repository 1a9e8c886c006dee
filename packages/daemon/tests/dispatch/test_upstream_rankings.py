"""Tests of the rankings of upstreams per affinity key."""

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


def build_rankings(domain_by_name: dict[str, str]) -> UpstreamRankings:
    distances = DomainDistances(home_domain="ba-1")
    distances.set_configuration(build_configuration())
    rankings = UpstreamRankings(distances=distances)
    rankings.set_upstreams(domain_by_name)
    return rankings


def local(*names: str) -> dict[str, str]:
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
def test_updated_rankings_equal_rankings_computed_from_scratch(
    steps: list[dict[str, str]],
) -> None:
    rankings = build_rankings({})
    for domain_by_name in steps:
        rankings.set_upstreams(domain_by_name)
        rebuilt = build_rankings(domain_by_name)
        for key in KEYS:
            updated, expected = rankings.get(key), rebuilt.get(key)
            for names, expected_names in (
                (updated.local, expected.local),
                (updated.remote, expected.remote),
            ):
                assert names == expected_names[: len(names)]
                assert len(names) >= min(6, len(expected_names))


def test_upstream_that_changes_its_domain_changes_sides() -> None:
    rankings = build_rankings({"a": "ba-1", "b": "ke-1"})
    assert rankings.get("k").local == ["a"]
    rankings.set_upstreams({"a": "ke-1", "b": "ba-1"})
    assert rankings.get("k").local == ["b"]
    assert rankings.get("k").remote == ["a"]


def test_rebuild_follows_changed_regions() -> None:
    rankings = build_rankings({"a": "ba-1", "b": "ke-1"})
    assert rankings.get("k").remote == ["b"]
    domains = {name: FailureDomain(region="one") for name in ("ba-1", "ba-2", "ke-1")}
    rankings.distances.set_configuration(
        build_configuration(failure_domains_by_name=domains)
    )
    rankings.rebuild()
    assert sorted(rankings.get("k").local) == ["a", "b"]


def test_keys_spread_evenly_and_so_do_keys_of_a_removed_upstream() -> None:
    names = [f"i-{number:08x}" for number in range(20)]
    rankings = build_rankings(local(*names))
    keys = [f"/p/{number}" for number in range(4_000)]
    firsts = Counter(rankings.get(key).local[0] for key in keys)
    assert all(140 <= firsts[name] <= 260 for name in names)
    removed = names[3]
    seconds = Counter(
        rankings.get(key).local[1]
        for key in keys
        if rankings.get(key).local[0] == removed
    )
    assert len(seconds) == 19
    assert max(seconds.values()) < 0.2 * firsts[removed]


def test_hash_fractions_are_spread_evenly() -> None:
    rankings = build_rankings(local("a"))
    fractions = [rankings.get(f"k{number}").hash_fraction for number in range(1_000)]
    assert sum(fraction < 0.3 for fraction in fractions) == pytest.approx(300, abs=60)


def test_ranking_is_the_same_in_every_process() -> None:
    rankings = build_rankings(local("a", "b", "c", "d", "e"))
    assert rankings.get("k").local == ["d", "b", "e", "a", "c"]


def test_ranking_is_truncated_with_many_upstreams() -> None:
    rankings = build_rankings(local(*(f"u{number}" for number in range(400))))
    assert len(rankings.get("k").local) == MAX_RANKED
