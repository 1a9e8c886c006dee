"""Plans that order a roll-out, and those that withdraw its order."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import pytest
from attrs import evolve
from result import Ok

from plankspindle_core.configuration.codec import decode_configuration
from plankspindle_core.configuration.rollout import Rollout
from plankspindle_daemon.configuration.configuration_reader import ConfigurationReader
from plankspindle_daemon.configuration.head_row import object_name
from plankspindle_daemon.control.intents import AbortRolloutIntent
from plankspindle_daemon.control.intents import ApplyIntent
from plankspindle_daemon.control.intents import Intent
from plankspindle_daemon.control.intents import RolloutIntent
from plankspindle_daemon.control.intents import UndoIntent
from plankspindle_daemon.control.intents import apply_intent
from plankspindle_daemon.control.intents import intent_from_mapping
from plankspindle_daemon.control.plan_store import PlanStore
from plankspindle_daemon.digests.digest_table import DigestTable
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.trial.fake_platform import FakePlatform
from plankspindle_testkit.trial.fake_platform import run_to_completion

if TYPE_CHECKING:
    from plankspindle_core.configuration.configuration import Configuration
    from plankspindle_daemon.control.plan import Plan
    from plankspindle_daemon.platform.platform_client import PlatformClient

ORDER = RolloutIntent(service="registry", target_version="v2", duration_ms=12_000)
MAPPING = {
    "kind": "rollout",
    "service": "registry",
    "target_version": "v2",
    "duration_ms": 12_000,
}


class Operator:
    """Plans and confirms one change after the other."""

    def __init__(self, *, allows_rollouts: bool = True) -> None:
        self._platform = FakePlatform(random=Random(1), fault_rate=0.0)
        client = cast("PlatformClient", self._platform)
        self.store = PlanStore(
            platform=client,
            reader=ConfigurationReader(platform=client),
            random=Random(3),
            digests=DigestTable(),
            allows_rollouts=allows_rollouts,
        )
        self.put_in_force(ApplyIntent(configuration=build_configuration()))

    def plan(self, intent: Intent) -> Plan:
        return run_to_completion(self.store.create(intent, "jana")).unwrap()

    def put_in_force(self, intent: Intent) -> Configuration:
        plan = self.plan(intent)
        assert run_to_completion(self.store.confirm(plan.id, "jana")).is_ok()
        content = self._platform.objects_by_name[object_name(plan.digest)]
        return decode_configuration(content).unwrap()


def order(number: int, target: str = "v2") -> dict[str, Rollout]:
    return {
        "registry": Rollout(target_version=target, duration_ms=12_000, number=number)
    }


def test_each_order_gets_the_number_of_its_version() -> None:
    operator = Operator()
    assert operator.put_in_force(ORDER).rollouts_by_service == order(2)
    assert operator.put_in_force(ORDER).rollouts_by_service == order(3)
    other = evolve(ORDER, target_version="v3")
    assert operator.put_in_force(other).rollouts_by_service == order(4, "v3")
    abort = AbortRolloutIntent(service="registry")
    assert operator.put_in_force(abort).rollouts_by_service == {}


# A file that is applied for another reason must not begin a roll-out anew.
def test_file_with_the_same_order_keeps_its_number() -> None:
    operator = Operator()
    operator.put_in_force(ORDER)
    file = build_configuration(rollouts_by_service=order(0), priority_classes=PRIORITY)
    assert operator.put_in_force(apply(file)).rollouts_by_service == order(2)
    changed = build_configuration(rollouts_by_service=order(0, "v3"))
    assert operator.put_in_force(apply(changed)).rollouts_by_service == order(4, "v3")


def test_file_without_the_order_withdraws_it_and_its_plan_says_so() -> None:
    operator = Operator()
    operator.put_in_force(ORDER)
    plan = operator.plan(apply(build_configuration()))
    assert "roll-outs: 0 added, 1 removed, 0 changed" in plan.effects


def test_order_restored_by_undo_is_a_new_one() -> None:
    operator = Operator()
    operator.put_in_force(ORDER)
    operator.put_in_force(AbortRolloutIntent(service="registry"))
    assert operator.put_in_force(UndoIntent(version=3)).rollouts_by_service == order(4)


def test_effects_name_versions_and_the_replaced_order() -> None:
    operator = Operator()
    first = operator.plan(ORDER).effects
    assert "software version v2 within 12 s" in first[0]
    upstreams = {
        name: build_upstream(software_version=version)
        for name, version in (("a", "v1"), ("b", "v1"), ("c", "v2"))
    }
    operator.put_in_force(apply(build_configuration(upstreams_by_name=upstreams)))
    operator.put_in_force(ORDER)
    again = operator.plan(evolve(ORDER, target_version="v3", duration_ms=1_000)).effects
    assert "it replaces the order for v2" in again
    assert "declared upstreams by software version: 2 of v1, 1 of v2" in again
    assert "so short an order leaves little time to judge the version" in again


def test_orders_are_refused_where_settings_disable_them() -> None:
    operator = Operator(allows_rollouts=False)
    refused = run_to_completion(operator.store.create(ORDER, "jana")).unwrap_err()
    assert "rollouts.enabled" in str(refused)


@pytest.mark.parametrize(
    "changes",
    [
        {"service": "none"},
        {"target_version": ""},
        {"target_version": 2},
        {"duration_ms": -1},
        {"duration_ms": 86_400_001},
        {"duration_ms": "12s"},
        {"number": 3},
    ],
)
def test_invalid_order_is_refused(changes: dict[str, Any]) -> None:
    parsed = intent_from_mapping({**MAPPING, **changes})
    assert parsed.and_then(
        lambda intent: apply_intent(intent, build_configuration())
    ).is_err()


def test_intents_are_parsed() -> None:
    assert intent_from_mapping(MAPPING) == Ok(ORDER)
    abort = {"kind": "abort-rollout", "service": "registry"}
    assert intent_from_mapping(abort) == Ok(AbortRolloutIntent(service="registry"))


def test_abort_without_an_order_is_refused() -> None:
    abort = AbortRolloutIntent(service="registry")
    refused = apply_intent(abort, build_configuration()).unwrap_err()
    assert "no roll-out of 'registry' is ordered" in str(refused)


def apply(configuration: Configuration) -> ApplyIntent:
    return ApplyIntent(configuration=configuration)


PRIORITY = ["gold", "silver", "bronze", "iron"]
