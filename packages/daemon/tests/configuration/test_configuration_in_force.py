"""Tests of the decoding of versions that a VM receives."""

from __future__ import annotations

from plankspindle_core.configuration.codec import encode_configuration
from plankspindle_daemon.configuration.configuration_in_force import (
    ConfigurationInForce,
)
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.call_count import count_calls

CONTENT = encode_configuration(build_configuration())
OTHER = encode_configuration(
    build_configuration(upstreams_by_name={"u": build_upstream()})
)


def test_same_content_is_decoded_once() -> None:
    in_force = ConfigurationInForce()
    first_calls = count_calls(lambda: in_force.decode(CONTENT))
    assert count_calls(lambda: in_force.decode(CONTENT)) < first_calls / 10
    assert in_force.decode(CONTENT).unwrap() == build_configuration()


def test_other_content_is_decoded() -> None:
    in_force = ConfigurationInForce()
    in_force.decode(CONTENT)
    assert list(in_force.decode(OTHER).unwrap().upstreams_by_name) == ["u"]
    assert in_force.decode(CONTENT).unwrap() == build_configuration()


def test_invalid_content_is_refused_each_time() -> None:
    in_force = ConfigurationInForce()
    in_force.decode(CONTENT)
    assert in_force.decode(b"[]").is_err()
    assert in_force.decode(b"[]").is_err()
    assert in_force.decode(CONTENT).is_ok()
