"""Directives that tell the stage of a roll-out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.peer_messages.rollout_messages import RolloutDirective
from plankspindle_daemon.rollouts.stage import Stage

if TYPE_CHECKING:
    from plankspindle_daemon.rollouts.rollout_coordinator import RolloutCoordinator


def directive_of(coordinator: RolloutCoordinator, now: float) -> RolloutDirective:
    """Return what the entry VMs are to do; ``now`` in monotonic seconds."""
    is_moving = coordinator.stage is Stage.MOVING
    moving_s, left_s = now - coordinator.moving_at, coordinator.ends_at - now
    return RolloutDirective(
        sender=coordinator.vm,
        service=coordinator.service,
        order=coordinator.order.number,
        stage=coordinator.stage.value,
        baseline_version=coordinator.settled_baseline or "",
        target_version=coordinator.order.target_version,
        moving_ms=round(1000 * moving_s) if is_moving else 0,
        ends_in_ms=round(1000 * left_s) if is_moving else 0,
        reason=coordinator.reason,
        canary_share=coordinator.canary.share,
    )
