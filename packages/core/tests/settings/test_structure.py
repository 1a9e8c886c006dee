"""Tests that each error in settings and configurations is reported as one line."""

from __future__ import annotations

import pytest
import yaml

from plankspindle_core.configuration.codec import configuration_from_yaml
from plankspindle_core.configuration.codec import configuration_to_mapping
from plankspindle_core.configuration.codec import decode_configuration
from plankspindle_core.configuration.codec import encode_configuration
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.settings.reading import parse_settings
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_settings_mapping

PLACE = VmAddresses(name="a", failure_domain="ba-1", host="127.0.0.1", base_port=7000)


def settings_text(**changes: object) -> str:
    mapping = build_settings_mapping(PLACE, platform=Endpoint("127.0.0.2", 1))
    return yaml.safe_dump({**mapping, **changes})


@pytest.mark.parametrize(
    ("changes", "line"),
    [
        ({"speed": 1}, "document: unknown key speed"),
        ({"vm": 5}, "vm: expected str, not 5"),
        ({"platform": "host:1"}, "platform: 'host:1' is not an endpoint"),
        ({"platform": "127.0.0.1:0"}, "platform: '127.0.0.1:0' has no port"),
        ({"timing": {"probe_ms": "1"}}, "timing.probe_ms: expected int"),
        ({"timing": {"probe_ms": 0}}, "timing.probe_ms: must be > 0, not 0"),
        ({"secrets": {"peer_keys": []}}, "secrets.peer_keys: name at least one"),
        ({"secrets": {"peer_keys": ["xy"]}}, "secrets.peer_keys[0]: write at least"),
    ],
)
def test_invalid_setting_is_reported_with_its_key(
    changes: dict[str, object], line: str
) -> None:
    problems = parse_settings(settings_text(**changes)).unwrap_err().problems
    assert len(problems) == 1
    assert problems[0].startswith(line)


def test_missing_key_is_reported() -> None:
    text = yaml.safe_dump({"vm": "a"})
    problems = parse_settings(text).unwrap_err().problems
    assert any("required key 'platform' is missing" in line for line in problems)


def test_duplicate_key_is_rejected() -> None:
    problems = parse_settings("vm: a\nvm: b\n").unwrap_err().problems
    assert "duplicate key 'vm', line 2" in problems[0]


def test_two_listeners_on_one_address_are_rejected() -> None:
    same = {"caller": "127.0.0.1:1", "operator": "127.0.0.1:1", "peer": "127.0.0.1:3"}
    problems = parse_settings(settings_text(listen=same)).unwrap_err().problems
    assert problems[0].startswith("listen.operator: 127.0.0.1:1 is already")


def test_operator_listener_outside_loopback_requires_a_token() -> None:
    wide = {"caller": "10.0.0.1:1", "operator": "10.0.0.1:2", "peer": "10.0.0.1:3"}
    text = settings_text(listen=wide)
    assert "set a token" in parse_settings(text).unwrap_err().problems[0]


def test_configuration_round_trips_through_yaml_and_json() -> None:
    configuration = build_configuration()
    text = yaml.safe_dump(configuration_to_mapping(configuration))
    assert configuration_from_yaml(text).unwrap() == configuration
    encoded = encode_configuration(configuration)
    assert decode_configuration(encoded).unwrap() == configuration


@pytest.mark.parametrize(
    ("section", "changes", "line"),
    [
        (
            "upstreams",
            {"x": {"service": "none"}},
            "upstreams.x.failure_domain: required key",
        ),
        ("client_blocks", {"10.0.0.1/8": "kosice"}, "client_blocks.10.0.0.1/8"),
        ("client_blocks", {"10.0.0.0/8": "nowhere"}, "client_blocks.10.0.0.0/8: site"),
        ("priority_classes", ["gold", "gold"], "callers.desk.priority_class"),
        (
            "shifts",
            {
                "s": {
                    "service": "registry",
                    "from_region": "bratislava",
                    "to_region": "bratislava",
                    "cap_percent": 5,
                }
            },
            "shifts.s: from_region and to_region are the same",
        ),
    ],
)
def test_invalid_configuration_is_reported_with_its_key(
    section: str, changes: object, line: str
) -> None:
    mapping = configuration_to_mapping(build_configuration())
    text = yaml.safe_dump({**mapping, section: changes})
    problems = configuration_from_yaml(text).unwrap_err().problems
    assert any(problem.startswith(line) for problem in problems), problems
