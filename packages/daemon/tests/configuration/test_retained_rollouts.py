"""Tests of what stays in force when the platform's store returns from a copy."""

from __future__ import annotations

from plankspindle_core.configuration.rollout import Rollout
from plankspindle_daemon.configuration.configuration_in_force import (
    ConfigurationInForce,
)
from plankspindle_daemon.versions.store_era import RESTORE_S
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.versions import build_version

ORDER = Rollout(target_version="2.0", duration_ms=20_000, number=7)
RESTORED = Rollout(target_version="2.0", duration_ms=20_000, number=5)


def returned_without_order() -> ConfigurationInForce:
    in_force = ConfigurationInForce()
    configuration = build_configuration(rollouts_by_service={"registry": ORDER})
    in_force.adopt(configuration, build_version(1, era=1), 0.0)
    in_force.adopt(build_configuration(), build_version(2, era=2), 1.0)
    return in_force


def orders(in_force: ConfigurationInForce) -> dict[str, Rollout]:
    assert in_force.content is not None
    return in_force.content.rollouts_by_service


def test_lost_order_stays_until_it_is_restored() -> None:
    in_force = returned_without_order()
    assert orders(in_force) == {"registry": ORDER}
    restored = build_configuration(rollouts_by_service={"registry": RESTORED})
    in_force.adopt(restored, build_version(3, era=2), 1.5)
    assert orders(in_force) == {"registry": RESTORED}


def test_order_that_is_not_restored_ends() -> None:
    in_force = returned_without_order()
    assert in_force.end_retention_if_due(1.0 + RESTORE_S - 0.1) is None
    assert in_force.end_retention_if_due(1.0 + RESTORE_S) is not None
    assert orders(in_force) == {}


def test_order_withdrawn_without_a_return_ends_at_once() -> None:
    in_force = ConfigurationInForce()
    configuration = build_configuration(rollouts_by_service={"registry": ORDER})
    in_force.adopt(configuration, build_version(1, era=1), 0.0)
    in_force.adopt(build_configuration(), build_version(2, era=1), 1.0)
    assert orders(in_force) == {}
