"""State of a service's roll-out for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_daemon.peer_messages.rollout_messages import VersionOutcomes

if TYPE_CHECKING:
    from plankspindle_daemon.rollouts.service_rollout import ServiceRollout


@frozen(kw_only=True)
class RolloutStatus:
    """State of a service's roll-out as one entry VM knows it.

    Parameters
    ----------
    service : str
        The service.
    version_in_force : str, optional
        Software version in force.
    stage : str, optional
        Stage of the last order; None if there was no order.
    reason : str
        What decided it.
    order : int
        Number of the order; zero if there was none.
    baseline, target : str, optional
        Software versions that the order moves between.
    target_share : float
        Share of the keys whose requests this VM sends to the target.
    coordinator : str, optional
        VM that coordinates, as far as this one knows.
    to_deadline_s : float, optional
        Time to the deadline in seconds, negative if it is past.
    is_of_all_vms : bool
        Whether the counts are of all entry VMs, and not only of this one.
    requests, exposed : int
        Requests since the order, and those of them sent to the target.
    outcomes : tuple of VersionOutcomes
        Judged and bad answers by version, operation and failure domain.
    """

    service: str
    version_in_force: str | None
    stage: str | None = None
    reason: str = ""
    order: int = 0
    baseline: str | None = None
    target: str | None = None
    target_share: float = 0.0
    coordinator: str | None = None
    to_deadline_s: float | None = None
    is_of_all_vms: bool = False
    requests: int = 0
    exposed: int = 0
    outcomes: tuple[VersionOutcomes, ...] = ()


def status_of(rollout: ServiceRollout, now: float) -> RolloutStatus:
    """Return the state of a service's roll-out; ``now`` in monotonic seconds."""
    participant, order = rollout.participant, rollout.participant.order
    if order is None:
        return RolloutStatus(
            service=rollout.service,
            version_in_force=participant.version_in_force,
            baseline=participant.baseline,
        )
    split = participant.split(now)
    chosen = rollout.roles.coordinator()
    counts = rollout.dispatch.version_counts(rollout.service)
    evidence = None if rollout.coordinator is None else rollout.coordinator.evidence
    return RolloutStatus(
        service=rollout.service,
        version_in_force=participant.version_in_force,
        stage=participant.stage.value,
        reason=participant.reason,
        order=order.number,
        baseline=participant.baseline,
        target=order.target_version,
        target_share=0.0 if split is None else split.target_share,
        coordinator=None if chosen is None else chosen.name,
        to_deadline_s=round(order.deadline - now, 3),
        is_of_all_vms=evidence is not None,
        requests=counts.requests if evidence is None else evidence.requests,
        exposed=counts.exposed if evidence is None else evidence.exposed,
        outcomes=counts.outcomes if evidence is None else evidence.outcomes(),
    )
