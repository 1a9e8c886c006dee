"""Tests of workspaces in a configuration."""

from __future__ import annotations

import pytest

from plankspindle_core.configuration.codec import configuration_from_yaml
from plankspindle_core.configuration.codec import decode_configuration
from plankspindle_core.configuration.codec import encode_configuration
from plankspindle_testkit.builders import GOLD_KEY
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_workspace

KEY = "ymh2rrytapjsujqurtyi"


def test_configuration_contains_digests_and_no_keys() -> None:
    depot = build_workspace(
        KEY,
        priority_class="gold",
        rate_per_s=8.0,
        burst=4.0,
        home_regions=["kosice"],
    )
    configuration = build_configuration(workspaces_by_name={"depot": depot})
    assert configuration.problems() == []
    content = encode_configuration(configuration)
    assert KEY.encode() not in content
    assert decode_configuration(content).unwrap() == configuration


@pytest.mark.parametrize(
    ("fields", "problem"),
    [
        ({"priority_class": "platinum"}, "workspaces.depot.priority_class"),
        ({"home_regions": ["vienna"]}, "workspaces.depot.home_regions"),
    ],
)
def test_undeclared_reference_is_a_problem(
    fields: dict[str, object], problem: str
) -> None:
    depot = build_workspace(KEY, **fields)
    problems = build_configuration(workspaces_by_name={"depot": depot}).problems()
    assert [each for each in problems if each.startswith(problem)]


def test_key_of_two_workspaces_or_callers_is_a_problem() -> None:
    by_name = {"depot": build_workspace(KEY), "yard": build_workspace(KEY)}
    problems = build_configuration(workspaces_by_name=by_name).problems()
    assert problems == [
        "workspaces.yard.key_sha256s: one key is that of workspace 'depot'"
    ]
    by_name = {"depot": build_workspace(GOLD_KEY)}
    problems = build_configuration(workspaces_by_name=by_name).problems()
    assert problems == [
        "workspaces.depot.key_sha256s: one key is that of caller 'dealer'"
    ]


def test_workspace_with_the_name_of_a_caller_is_a_problem() -> None:
    by_name = {"dealer": build_workspace(KEY)}
    problems = build_configuration(workspaces_by_name=by_name).problems()
    assert problems == ["workspaces.dealer: a caller has the same name"]


@pytest.mark.parametrize(
    "line",
    ["rate_per_s: -1", "burst: -1", "key_sha256s: [plain]", "api_keys: [plain]"],
)
def test_invalid_workspace_in_yaml_is_reported_with_its_key(line: str) -> None:
    text = (
        "failure_domains: {ba-1: {region: bratislava}}\n"
        "priority_classes: [gold]\n"
        f"workspaces:\n  depot: {{{line}}}\n"
    )
    found = configuration_from_yaml(text)
    assert found.is_err()
    assert "workspaces.depot" in str(found.unwrap_err())
