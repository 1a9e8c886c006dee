"""State of the roll-outs of a node, as plain JSON values for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from attrs import asdict

if TYPE_CHECKING:
    from plankspindle_daemon.node.node import Node


def dump_rollouts(node: Node, now: float) -> list[dict[str, Any]]:
    """Return the state of each service's roll-out, as this entry VM knows it.

    Parameters
    ----------
    node : Node
        The node; one without roll-outs has an empty list.
    now : float
        Monotonic seconds.
    """
    return [asdict(status) for status in node.rollouts.status(now)]
