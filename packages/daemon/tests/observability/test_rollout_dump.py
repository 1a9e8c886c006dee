"""Roll-outs of a node as operators read them."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from plankspindle_daemon.observability.rollout_dump import dump_rollouts
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes
from plankspindle_daemon.rollouts.rollout_status import RolloutStatus
from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.fleet_node import build_fleet_node

if TYPE_CHECKING:
    from plankspindle_daemon.node.node import Node


class FakeRollouts:
    def status(self, now: float) -> list[Any]:
        outcomes = VersionOutcomes(
            operation="search",
            failure_domain="ke-1",
            baseline_answers=9,
            baseline_bad=0,
            target_answers=3,
            target_bad=1,
        )
        return [
            RolloutStatus(
                service="registry",
                version_in_force="v1",
                to_deadline_s=12.0 - now,
                outcomes=(outcomes,),
            )
        ]


def test_states_are_plain_values_with_counts_by_operation() -> None:
    node = cast("Node", SimpleNamespace(rollouts=FakeRollouts()))
    shown = json.loads(json.dumps(dump_rollouts(node, 4.0)))
    assert shown[0]["service"] == "registry"
    assert shown[0]["to_deadline_s"] == 8.0
    assert shown[0]["outcomes"][0]["target_bad"] == 1


def test_node_whose_settings_enable_no_rollouts_has_an_empty_list() -> None:
    node = build_fleet_node(Fleet(vms=2, upstreams=2), now=1.0)
    assert node.services.dispatchers_by_service
    assert dump_rollouts(node, 4.0) == []
