"""Tests of finding routes and of distributing requests among services."""

from __future__ import annotations

from collections import Counter

import pytest

from plankspindle_core.configuration.route import ServicePart
from plankspindle_daemon.routes.route_table import RouteTable
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_route

HOST = "registry.example"


def build_table(**prefixes: str) -> RouteTable:
    routes = {
        name: build_route(host=HOST, path_prefix=prefix)
        for name, prefix in prefixes.items()
    }
    return RouteTable(routes_by_name=routes)


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/a/", "short"),
        ("/a/x", "short"),
        ("/a/b/", "long"),
        ("/a/b/c/d", "long"),
        ("/a/bc", "short"),
        ("/a", None),
        ("/b/a/", None),
        ("*", None),
        ("", None),
    ],
)
def test_route_with_longest_prefix_is_found(path: str, name: str | None) -> None:
    found = build_table(short="/a/", long="/a/b/").find(host=HOST, path=path)
    assert (found.name if found else None) == name


def test_host_lookup_ignores_port_and_case() -> None:
    table = build_table(one="/a/")
    assert table.find(host="Registry.Example:8080", path="/a/") is not None
    assert table.find(host="other.example", path="/a/") is None
    assert table.has_host(HOST)
    assert not table.has_host("other.example")


def test_every_ten_requests_are_distributed_by_weight() -> None:
    parts = [ServicePart(service="a", weight=90), ServicePart(service="b", weight=10)]
    table = RouteTable(routes_by_name={"r": build_route(host=HOST, parts=parts)})
    chosen = [table.find(host=HOST, path="/").service for _ in range(200)]
    for start in range(0, 200, 10):
        assert Counter(chosen[start : start + 10]) == {"a": 9, "b": 1}


def test_round_robin_continues_across_configuration_versions() -> None:
    parts = [ServicePart(service="a", weight=3), ServicePart(service="b", weight=1)]
    route = build_route(host=HOST, parts=parts)
    counts: Counter[str] = Counter()
    table = RouteTable(routes_by_name={"r": route})
    for _ in range(40):
        counts[table.find(host=HOST, path="/").service] += 1
        table = table.with_routes({"r": route})
    assert counts == {"a": 30, "b": 10}


@pytest.mark.parametrize(
    ("fields", "words"),
    [
        ({"path_prefix": "/a"}, "path_prefix"),
        ({"host": "Registry.example"}, "host"),
        ({"parts": [ServicePart(service="nowhere")]}, "'nowhere'"),
        ({"parts": [ServicePart(service="registry", weight=0)]}, "weight"),
        ({"priority_class": "tin"}, "'tin'"),
        ({"home_regions": ["vienna"]}, "home_regions"),
    ],
)
def test_invalid_route_is_reported_by_name(
    fields: dict[str, object], words: str
) -> None:
    routes = {"r": build_route(**fields)}
    problems = build_configuration(routes_by_name=routes).problems()
    assert len(problems) == 1
    assert problems[0].startswith("routes.r.")
    assert words in problems[0]


def test_two_routes_for_same_host_and_prefix_are_refused() -> None:
    routes = {"r": build_route(), "s": build_route()}
    problems = build_configuration(routes_by_name=routes).problems()
    assert problems == ["routes.s.host and path_prefix are those of route 'r'"]
