"""Roll-outs of a node as operators read them."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from attrs import frozen

from plankspindle_daemon.observability.rollout_dump import dump_rollouts
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes

if TYPE_CHECKING:
    from plankspindle_daemon.node.node import Node


@frozen(kw_only=True)
class Status:
    service: str
    to_deadline_s: float
    outcomes: tuple[VersionOutcomes, ...]


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
            Status(service="registry", to_deadline_s=12.0 - now, outcomes=(outcomes,))
        ]


def test_states_are_plain_values_with_counts_by_operation() -> None:
    node = cast("Node", SimpleNamespace(rollouts=FakeRollouts()))
    shown = json.loads(json.dumps(dump_rollouts(node, 4.0)))
    assert shown[0]["service"] == "registry"
    assert shown[0]["to_deadline_s"] == 8.0
    assert shown[0]["outcomes"][0]["target_bad"] == 1


def test_node_without_rollouts_has_an_empty_list() -> None:
    assert dump_rollouts(cast("Node", SimpleNamespace()), 4.0) == []
