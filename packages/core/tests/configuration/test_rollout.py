"""Tests of orders of roll-outs in a configuration."""

from __future__ import annotations

import json

import pytest
from attrs import evolve

from plankspindle_core.configuration.codec import configuration_from_mapping
from plankspindle_core.configuration.codec import configuration_to_mapping
from plankspindle_core.configuration.codec import decode_configuration
from plankspindle_core.configuration.codec import encode_configuration
from plankspindle_core.configuration.rollout import Rollout
from plankspindle_testkit.builders import build_configuration

ORDER = Rollout(target_version="v2", duration_ms=12_000, number=9)


def test_orders_and_software_versions_round_trip() -> None:
    base = build_configuration(rollouts_by_service={"registry": ORDER})
    upstreams = {
        name: evolve(upstream, software_version="v1")
        for name, upstream in base.upstreams_by_name.items()
    }
    configuration = evolve(base, upstreams_by_name=upstreams)
    assert configuration.problems() == []
    content = encode_configuration(configuration)
    assert json.loads(content)["rollouts"]["registry"]["target_version"] == "v2"
    assert decode_configuration(content).unwrap() == configuration


# Daemons of the earlier release refuse a configuration with keys that they don't know.
def test_configuration_without_orders_has_no_new_keys() -> None:
    mapping = configuration_to_mapping(build_configuration())
    assert "rollouts" not in mapping
    assert mapping["upstreams"]
    for upstream in mapping["upstreams"].values():
        assert "software_version" not in upstream


@pytest.mark.parametrize(
    ("service", "fields", "problem"),
    [
        ("none", {}, "rollouts.none: the service is not declared"),
        ("registry", {"target_version": ""}, "rollouts.registry.target_version: must"),
        ("registry", {"duration_ms": -1}, "rollouts.registry.duration_ms"),
    ],
)
def test_invalid_order_is_a_problem(
    service: str, fields: dict[str, object], problem: str
) -> None:
    order = {"target_version": "v2", "duration_ms": 12_000, **fields}
    mapping = configuration_to_mapping(build_configuration())
    found = configuration_from_mapping({**mapping, "rollouts": {service: order}})
    assert any(each.startswith(problem) for each in found.unwrap_err().problems)
