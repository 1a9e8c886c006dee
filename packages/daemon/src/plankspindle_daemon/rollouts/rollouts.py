"""Roll-outs of all services, as one entry VM takes part in them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_daemon.quarantine.aggregator_selector import AggregatorSelector
from plankspindle_daemon.rollouts.rollout_participant import CANARY_SHARE
from plankspindle_daemon.rollouts.rollout_participant import RolloutParticipant
from plankspindle_daemon.rollouts.rollout_roles import RolloutRoles
from plankspindle_daemon.rollouts.service_rollout import ServiceRollout
from plankspindle_daemon.rollouts.version_dispatch import VersionDispatch
from plankspindle_daemon.settings.daemon_settings import RolloutSettings
from plankspindle_daemon.versions.store_era import RESTORE_S
from plankspindle_daemon.versions.store_era import UNKNOWN_ERA
from plankspindle_daemon.versions.store_era import StoreEra

if TYPE_CHECKING:
    from plankspindle_core.configuration.configuration import Configuration
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.peer_messages.peer_message import SendToPeer
    from plankspindle_daemon.peer_messages.rollout_messages import RolloutDirective
    from plankspindle_daemon.peer_messages.rollout_messages import RolloutReport
    from plankspindle_daemon.rollouts.rollout_record import RolloutRecord
    from plankspindle_daemon.rollouts.rollout_record import StoredRollout
    from plankspindle_daemon.rollouts.rollout_status import RolloutStatus
    from plankspindle_daemon.versions.configuration_version import ConfigurationVersion

CHECK_PERIOD_S = 0.25
"""Period in which the record of at most one service is checked, in seconds.

A check ranks all VMs, so those of many services must not fall together.
"""
RECORD_RESTORE_S = 10.0
"""Time after a return of the store in which records are written again, in seconds."""


@define(kw_only=True)
class Rollouts:
    """Take part in the roll-outs of all services.

    Parameters
    ----------
    selector : AggregatorSelector
        Knows this VM, and the others that are not known to have failed.
    incarnation : int
        Random number that identifies this process.
    dispatch : VersionDispatch
        Divides requests among software versions.
    settings : RolloutSettings
        Whether there are roll-outs, and their bounds.
    store_era : StoreEra
        Era of the platform's store.
    """

    selector: AggregatorSelector
    incarnation: int
    dispatch: VersionDispatch
    settings: RolloutSettings = Factory(RolloutSettings)
    store_era: StoreEra = Factory(StoreEra)
    rollouts_by_service: dict[str, ServiceRollout] = Factory(dict)
    is_active: bool = False
    _configuration_era: int = UNKNOWN_ERA
    _restoring_until: float = -math.inf
    _known_era: int = UNKNOWN_ERA
    _records_restored_until: float = -math.inf
    _next_check_at: float = -math.inf

    def update_configuration(
        self, configuration: Configuration, version: ConfigurationVersion, now: float
    ) -> None:
        """Take the orders of a version of the configuration, in monotonic seconds."""
        if not self.settings.enabled:
            return
        if version.era > self._configuration_era > UNKNOWN_ERA:
            self._restoring_until = now + RESTORE_S
        self._configuration_era = version.era
        for service in configuration.services_by_name:
            rollout = self.rollouts_by_service.get(service)
            if rollout is None:
                rollout = self.rollouts_by_service[service] = self._make(service)
            order = configuration.rollouts_by_service.get(service)
            rollout.take_order(order, is_restoring=self._is_restoring(now), now=now)
        for service in self.rollouts_by_service.keys() - configuration.services_by_name:
            del self.rollouts_by_service[service]
        self._update_activity()

    def _make(self, service: str) -> ServiceRollout:
        return ServiceRollout(
            participant=RolloutParticipant(
                vm=self.selector.vm,
                failure_domain=self.selector.failure_domain,
                incarnation=self.incarnation,
                service=service,
                canary_share=min(CANARY_SHARE, self.settings.exposure_share / 2),
                exposure_slack=self.settings.exposure_slack,
            ),
            roles=RolloutRoles(service=service, selector=self.selector),
            dispatch=self.dispatch,
            store_era=self.store_era,
        )

    def _is_restoring(self, now: float) -> bool:
        """Return whether the operator may still restore orders that the store lost."""
        if now < self._restoring_until:
            return True
        return self.store_era.returns > 0 and self.store_era.restoring_left_s(now) > 0

    def observe_versions(self, now: float) -> None:
        """Apply that upstreams were listed or removed; ``now`` in monotonic seconds."""
        for rollout in self.rollouts_by_service.values():
            rollout.observe_versions(now)
        self._update_activity()

    def _update_activity(self) -> None:
        rollouts = self.rollouts_by_service.values()
        self.is_active = any(each.is_active for each in rollouts)

    def tick(self, now: float) -> list[SendToPeer]:
        """Do all work that is due, and return the messages."""
        if not self.settings.enabled:
            return []
        if self.store_era.number != self._known_era:
            self._note_era(now)
        if now < self._records_restored_until:
            for rollout in self.rollouts_by_service.values():
                rollout.restore_record(now)
            self._update_activity()
        if now >= self._next_check_at:
            self._next_check_at = now + CHECK_PERIOD_S
            self._check_record(now)
        if not self.is_active:
            return []
        effects = [
            effect
            for rollout in self.rollouts_by_service.values()
            for effect in rollout.tick(now)
        ]
        self._update_activity()
        return effects

    def _check_record(self, now: float) -> None:
        """Check the record of the service whose check is due for the longest time."""
        due_at, service = min(
            (
                (rollout.unordered.check_due_at(now), service)
                for service, rollout in self.rollouts_by_service.items()
            ),
            default=(math.inf, ""),
        )
        if due_at <= now:
            self.rollouts_by_service[service].unordered.check(now)

    def recover_from_pause(self, now: float) -> None:
        """End the exposure if directives have expired during a pause of the process."""
        for rollout in self.rollouts_by_service.values():
            rollout.apply_split(now)

    def _note_era(self, now: float) -> None:
        if self._known_era != UNKNOWN_ERA:
            self._records_restored_until = now + RECORD_RESTORE_S
        self._known_era = self.store_era.number

    def handle(
        self, message: RolloutReport | RolloutDirective, sender: Endpoint, now: float
    ) -> list[SendToPeer]:
        """Take a message of the VM at ``sender``, and return the messages it causes."""
        rollout = self.rollouts_by_service.get(message.service)
        if rollout is None:
            return []
        effects = rollout.handle(message, sender, now)
        self.is_active = self.is_active or rollout.is_active
        return effects

    def status(self, now: float) -> list[RolloutStatus]:
        """Return the state of all services; ``now`` in monotonic seconds."""
        from plankspindle_daemon.rollouts.rollout_status import status_of

        rollouts = self.rollouts_by_service
        return [status_of(rollouts[name], now) for name in sorted(rollouts)]

    def services_with_record_work(self, now: float) -> list[str]:
        """Return the services whose record must be read or written."""
        return [
            service
            for service, rollout in self.rollouts_by_service.items()
            if rollout.has_record_work(now)
        ]

    def handle_record(
        self, service: str, stored: StoredRollout, *, read_at: float, now: float
    ) -> None:
        """Follow a record as read.

        Parameters
        ----------
        service : str
            The service.
        stored : StoredRollout
            Its record, or that there is none.
        read_at, now : float
            Before the read and now, in monotonic seconds.
        """
        rollout = self.rollouts_by_service.get(service)
        if rollout is not None:
            rollout.handle_record(
                stored,
                read_at=read_at,
                is_restoring=self._is_restoring(now),
                now=now,
            )

    def record_to_write(self, service: str, now: float) -> RolloutRecord | None:
        """Return the record that this VM must write now; None if there is none."""
        rollout = self.rollouts_by_service.get(service)
        return None if rollout is None else rollout.record_to_write(now)

    def handle_written(self, record: RolloutRecord, now: float) -> None:
        """Take the acknowledgement of a write."""
        rollout = self.rollouts_by_service.get(record.service)
        if rollout is not None:
            rollout.handle_written(record, now)
