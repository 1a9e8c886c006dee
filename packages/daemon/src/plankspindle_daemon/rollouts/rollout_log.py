"""Log lines on roll-outs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.logs.key_value_destination import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_daemon.rollouts.rollout_coordinator import RolloutCoordinator
    from plankspindle_daemon.rollouts.rollout_participant import RolloutParticipant


@define(kw_only=True)
class VersionLog:
    """Log changes of the software version in force, and of versions without order."""

    _in_force: str | None = None
    _unnamed: frozenset[str] = Factory(frozenset)

    def log_in_force(self, participant: RolloutParticipant) -> None:
        """Log the version in force if it has changed."""
        if participant.version_in_force == self._in_force:
            return
        self._in_force = participant.version_in_force
        log_event(
            "rollout_version_in_force",
            service=participant.service,
            software_version=self._in_force,
            is_confirmed=participant.is_baseline_confirmed,
        )

    def log_unnamed(
        self, participant: RolloutParticipant, listed: Iterable[str]
    ) -> None:
        """Log listed versions that nobody ordered, if they changed."""
        named = {participant.baseline}
        if participant.order is not None:
            named.add(participant.order.target_version)
        unnamed = frozenset(listed) - named
        if unnamed and unnamed != self._unnamed:
            log_event(
                "software_versions_unnamed",
                service=participant.service,
                software_versions=",".join(sorted(unnamed)),
                in_force=participant.version_in_force,
            )
        self._unnamed = unnamed


def log_stage(coordinator: RolloutCoordinator, now: float) -> None:
    """Log a new stage with the inputs that decided it; ``now`` in monotonic seconds."""
    evidence = coordinator.evidence
    outcomes = evidence.outcomes()
    answered = [each for each in outcomes if not each.is_of_timing]
    log_event(
        "rollout_stage",
        service=coordinator.service,
        stage=coordinator.stage.value,
        reason=coordinator.reason,
        order=coordinator.order.number,
        baseline=coordinator.baseline,
        target=coordinator.order.target_version,
        requests=evidence.requests,
        exposed=evidence.exposed,
        target_answers=sum(each.target_answers for each in answered),
        target_bad=sum(each.target_bad for each in outcomes),
        baseline_answers=sum(each.baseline_answers for each in answered),
        baseline_bad=sum(each.baseline_bad for each in outcomes),
        log_ratio=round(evidence.latest.log_ratio, 2),
        threshold=round(evidence.latest.threshold, 2),
        to_deadline_s=round(coordinator.order.deadline - now, 2),
    )
