"""State of the roll-outs of a node, as plain JSON values for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol
from typing import cast

from attrs import asdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_daemon.node.node import Node


class RolloutSource(Protocol):
    """What the node's roll-outs tell."""

    def status(self, now: float) -> Iterable[Any]:
        """Return the state of each service's roll-out; now is monotonic seconds."""


def dump_rollouts(node: Node, now: float) -> list[dict[str, Any]]:
    """Return the state of each service's roll-out, as this entry VM knows it.

    Parameters
    ----------
    node : Node
        The node; one without roll-outs has an empty list.
    now : float
        Monotonic seconds.
    """
    rollouts = cast("RolloutSource | None", getattr(node, "rollouts", None))
    if rollouts is None:
        return []
    return [asdict(status) for status in rollouts.status(now)]
