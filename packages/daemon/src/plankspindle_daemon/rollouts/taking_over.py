"""Coordinators that begin with what their VM knows as a participant."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.rollouts.rollout_coordinator import RolloutCoordinator

if TYPE_CHECKING:
    from plankspindle_daemon.rollouts.rollout_order import RolloutOrder
    from plankspindle_daemon.rollouts.rollout_participant import RolloutParticipant


def coordinator_taking_over(
    participant: RolloutParticipant, order: RolloutOrder, now: float
) -> RolloutCoordinator:
    """Return a coordinator that begins with what this VM was told.

    Parameters
    ----------
    participant : RolloutParticipant
        The participant on this VM.
    order : RolloutOrder
        The order.
    now : float
        Monotonic seconds.
    """
    return RolloutCoordinator(
        vm=participant.vm,
        service=participant.service,
        order=order,
        baseline=participant.baseline,
        is_baseline_known=participant.is_baseline_known,
        started_at=now,
        canary=participant.canary_budget(),
        stage=participant.stage,
        reason=participant.reason,
        moving_at=participant.moving_at,
        ends_at=participant.ends_at,
        is_withdrawn=participant.is_withdrawn,
    )
