"""The part of one entry VM in the roll-outs of one service, in all its roles."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.dispatch.version_split import VersionSplit
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.peer_messages.rollout_messages import RolloutDirective
from plankspindle_daemon.rollouts.rollout_log import VersionLog
from plankspindle_daemon.rollouts.rollout_log import log_stage
from plankspindle_daemon.rollouts.rollout_participant import RolloutParticipant
from plankspindle_daemon.rollouts.rollout_participant import parse_stage
from plankspindle_daemon.rollouts.rollout_roles import RolloutRoles
from plankspindle_daemon.rollouts.stage import Stage
from plankspindle_daemon.rollouts.unordered_record import UnorderedRecord
from plankspindle_daemon.rollouts.version_dispatch import VersionDispatch
from plankspindle_daemon.versions.acknowledged_write import AcknowledgedWrite
from plankspindle_daemon.versions.store_era import StoreEra

if TYPE_CHECKING:
    from plankspindle_core.configuration.rollout import Rollout
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.peer_messages.rollout_messages import RolloutReport
    from plankspindle_daemon.rollouts.rollout_collector import RolloutCollector  # noqa: TC004
    from plankspindle_daemon.rollouts.rollout_coordinator import RolloutCoordinator  # noqa: TC004
    from plankspindle_daemon.rollouts.rollout_order import RolloutOrder
    from plankspindle_daemon.rollouts.rollout_record import RolloutRecord
    from plankspindle_daemon.rollouts.rollout_record import StoredRollout

REPORT_PERIOD_S = 0.25
MOVING_REPORT_PERIOD_S = 0.1
"""Period of reports in the stage ``MOVING``, whose end waits for them, in seconds."""
DIRECTIVE_PERIOD_S = 0.5


@define(kw_only=True)
class ServiceRollout:
    """Take part in the roll-outs of a service, and collect or coordinate if chosen.

    Parameters
    ----------
    participant : RolloutParticipant
        Follows directives.
    roles : RolloutRoles
        Chooses collectors and the coordinator.
    dispatch : VersionDispatch
        Divides requests among software versions.
    store_era : StoreEra
        Era of the platform's store.

    Attributes
    ----------
    collector, coordinator : RolloutCollector, RolloutCoordinator or None
        The roles that this VM has.
    needs_read : bool
        Whether this VM must read the record, whatever its role.
    unordered : UnorderedRecord
        Keeps the record while there is no order.

    Notes
    -----
    What only a collector or coordinator needs is imported with the first order, so that
    a process starts without it.
    """

    participant: RolloutParticipant
    roles: RolloutRoles
    dispatch: VersionDispatch
    store_era: StoreEra
    collector: RolloutCollector | None = None
    coordinator: RolloutCoordinator | None = None
    needs_read: bool = False
    unordered: UnorderedRecord = field(init=False)
    _store_ahead_s: float = 0.0
    _confirmed: AcknowledgedWrite | None = None
    _next_report_at: float = -math.inf
    _next_directive_at: float = -math.inf
    _told_stage: Stage | None = None
    _split: VersionSplit | None = None
    _has_read_baseline: bool = False
    _log: VersionLog = Factory(VersionLog)

    def __attrs_post_init__(self) -> None:
        self.unordered = UnorderedRecord(participant=self.participant, roles=self.roles)

    @property
    def service(self) -> str:
        """The service."""
        return self.participant.service

    @property
    def is_active(self) -> bool:
        """Whether an order runs, or other VMs may still have to be told its end."""
        return self.participant.is_running or self.coordinator is not None

    def take_order(
        self, rollout: Rollout | None, *, is_restoring: bool, now: float
    ) -> None:
        """Take the operator's order as configured; None if there is none."""
        participant = self.participant
        if participant.take_order(rollout, is_restoring=is_restoring, now=now):
            self.collector = self.coordinator = None
            self._told_stage = None
            self._confirmed = None
            self.roles.begin_order(now)
        if self.coordinator is not None:
            self.coordinator.is_withdrawn = participant.is_withdrawn
        self._share_numbers()
        self._split = None
        self.observe_versions(now)

    def _share_numbers(self) -> None:
        """Let all roles know the numbers of the order."""
        order = self.participant.order
        if order is not None and self.coordinator is not None:
            self.coordinator.order = order.given_at(self.coordinator.order.ordered_at)
        if order is not None and self.collector is not None:
            self.collector.order = order

    def observe_versions(self, now: float) -> None:
        """Apply that upstreams were listed or removed."""
        listed = self.dispatch.listed_versions(self.service)
        participant = self.participant
        participant.observe_versions(listed, now=now)
        # Where one version was listed alone before, it is the one in force, and the
        # whole fleet need not read the record at the moment when another is listed.
        is_guessed = len(listed) > 1 and not participant.was_baseline_alone
        if is_guessed and not self._has_read_baseline:
            self._has_read_baseline = self.needs_read = True
        self._log.log_unnamed(participant, listed)
        self.apply_split(now)

    def tick(self, now: float) -> list[SendToPeer]:
        """Do all work that is due, and return the messages."""
        effects: list[SendToPeer] = []
        if self.is_active or self.collector is not None:
            self.roles.refresh(now)
            if self.participant.is_running:
                self.roles.avoid_silent(self.participant.directed_at, now)
            if self.participant.take_due_read(now):
                self.needs_read = True
            is_due = now >= self._next_report_at
            if is_due:
                is_moving = self.participant.stage is Stage.MOVING
                period_s = MOVING_REPORT_PERIOD_S if is_moving else REPORT_PERIOD_S
                self._next_report_at = now + period_s
                effects += self._report(now)
            effects += self._coordinate(now, is_due=is_due)
        self.apply_split(now)
        return effects

    def _report(self, now: float) -> list[SendToPeer]:
        """Report to the collector, and as a collector to the coordinator."""
        from plankspindle_daemon.rollouts.report_parts import messages_of_report

        effects: list[SendToPeer] = []
        order = self.participant.order
        counts = self.dispatch.version_counts(self.service)
        report = self.participant.report(counts, now)
        collector, coordinator = self.roles.collector(), self.roles.coordinator()
        if order is None or collector is None or coordinator is None:
            return effects
        if report is not None and collector.endpoint is not None:
            effects += messages_of_report(report, [collector.endpoint])
        elif report is not None:
            self._ensure_collector(order, now).take(report, None, now)
        if self.collector is None:
            return effects
        if collector.endpoint is not None and not self._collects_for_others(now):
            self.collector = None
            return effects
        if report is None and not self._collects_for_others(now):
            return effects
        sums = self.collector.report(self._own_members(), now)
        effects += messages_of_report(
            sums, sorted(self.roles.coordinator_endpoints(now))
        )
        if coordinator.endpoint is None or self.coordinator is not None:
            self._ensure_coordinator(order, now).handle_report(sums, None, now)
        return effects

    def _own_members(self) -> list[str]:
        """Return the VMs that should report here."""
        collector = self.roles.collector()
        is_own = collector is not None and collector.endpoint is None
        return self.roles.domain_members() if is_own else []

    def _collects_for_others(self, now: float) -> bool:
        return self.collector is not None and self.collector.hears_others(now)

    def _ensure_collector(self, order: RolloutOrder, now: float) -> RolloutCollector:
        from plankspindle_daemon.rollouts.rollout_collector import RolloutCollector

        if self.collector is None:
            self.collector = RolloutCollector(
                vm=self.participant.vm,
                failure_domain=self.participant.failure_domain,
                incarnation=self.participant.incarnation,
                service=self.service,
                order=order,
                started_at=now,
            )
        return self.collector

    def _ensure_coordinator(
        self, order: RolloutOrder, now: float
    ) -> RolloutCoordinator:
        from plankspindle_daemon.rollouts.taking_over import coordinator_taking_over

        if self.coordinator is None:
            self.coordinator = coordinator_taking_over(self.participant, order, now)
            self._told_stage = self.coordinator.stage
        return self.coordinator

    def _coordinate(self, now: float, *, is_due: bool) -> list[SendToPeer]:
        """Decide stages if that is due and tell them, if this VM coordinates."""
        coordinator = self.coordinator
        if coordinator is None:
            return []
        is_chosen = self.roles.is_coordinator()
        is_unneeded = coordinator.is_unneeded(is_chosen=is_chosen, now=now)
        if is_unneeded or self.roles.is_led_by_another(now):
            self.coordinator = None
            return []
        if is_due:
            listed = self.dispatch.listed_versions(self.service)
            coordinator.learn_baseline(self.participant, now)
            coordinator.tick(
                listed,
                self.roles.vms_by_domain(),
                known_vms=self.roles.known_vms(now),
                now=now,
            )
        if coordinator.stage is self._told_stage and now < self._next_directive_at:
            return []
        if not coordinator.may_direct(now):
            return []
        if coordinator.stage is not self._told_stage:
            self._told_stage = coordinator.stage
            log_stage(coordinator, now)
        self._next_directive_at = now + DIRECTIVE_PERIOD_S
        return self._direct(coordinator, now)

    def _direct(self, coordinator: RolloutCoordinator, now: float) -> list[SendToPeer]:
        from plankspindle_daemon.rollouts.stage_directive import directive_of

        directive = directive_of(coordinator, now)
        self._follow(directive, now)
        endpoints = coordinator.evidence.collectors(now)
        endpoints |= self.roles.collector_endpoints()
        endpoints |= self._relay_endpoints(now)
        return [SendToPeer(message=directive, to=each) for each in sorted(endpoints)]

    def _relay_endpoints(self, now: float) -> set[Endpoint]:
        """Return the addresses of the VMs that get directives from this one."""
        endpoints: set[Endpoint] = set()
        if self.collector is not None:
            endpoints |= self.collector.endpoints(now)
        collector = self.roles.collector()
        if collector is not None and collector.endpoint is None:
            endpoints |= self.roles.domain_endpoints()
        return endpoints

    def _follow(self, directive: RolloutDirective, now: float) -> None:
        if self.participant.apply_directive(directive, now):
            self._confirm(now)
            self.apply_split(now)

    def handle(
        self, message: RolloutReport | RolloutDirective, sender: Endpoint, now: float
    ) -> list[SendToPeer]:
        """Take a message of the VM at ``sender``, and return the messages it causes."""
        if isinstance(message, RolloutDirective):
            return self._handle_directive(message, sender, now)
        self._handle_report(message, sender, now)
        return []

    def _handle_directive(
        self, directive: RolloutDirective, sender: Endpoint, now: float
    ) -> list[SendToPeer]:
        """Follow a directive, and relay it if it comes from the coordinator itself."""
        self._follow(directive, now)
        self._learn_from(directive)
        self.roles.refresh(now)
        self.roles.note_directive(directive.sender, now)
        if sender != self.roles.endpoint_of(directive.sender):
            return []
        endpoints = self._relay_endpoints(now) - {sender}
        return [SendToPeer(message=directive, to=each) for each in sorted(endpoints)]

    def _learn_from(self, directive: RolloutDirective) -> None:
        """Read the record if another coordinator tells a later stage."""
        coordinator, order = self.coordinator, self.participant.order
        stage = parse_stage(directive.stage)
        if coordinator is None or order is None or stage is None:
            return
        if directive.order in order.aliases:
            coordinator.learn_stage(stage, self.participant)

    def _handle_report(
        self, report: RolloutReport, sender: Endpoint, now: float
    ) -> None:
        """Take a report, as the collector or coordinator that its sender chose."""
        order = self.participant.order
        if order is None or report.order not in order.aliases:
            return
        if report.is_of_domain:
            self._ensure_coordinator(order, now).handle_report(report, sender, now)
        else:
            self._ensure_collector(order, now).take(report, sender, now)

    def apply_split(self, now: float) -> None:
        """Divide requests as directives say that still hold."""
        split = self.participant.split(now)
        if split is not None and split != self._split:
            self._split = split
            self.dispatch.set_version_split(self.service, split, now)
        self._log.log_in_force(self.participant)

    def has_record_work(self, now: float) -> bool:
        """Return whether the record must be read or written."""
        if self.needs_read or self.unordered.has_work():
            return True
        coordinator = self.coordinator
        return coordinator is not None and (
            coordinator.needs_read or self.record_to_write(now) is not None
        )

    def handle_record(
        self, stored: StoredRollout, *, read_at: float, is_restoring: bool, now: float
    ) -> None:
        """Follow the record as read.

        Parameters
        ----------
        stored : StoredRollout
            The record, or that there is none.
        read_at, now : float
            Before the read and now, in monotonic seconds.
        is_restoring : bool
            Whether the platform's store returned from a copy just before.
        """
        self.needs_read = False
        self._store_ahead_s = stored.store_now_s - read_at
        self.unordered.handle_record(stored, is_restoring=is_restoring, now=now)
        record, participant = stored.record, self.participant
        if record is not None:
            self._confirm(read_at)
            order = participant.order
            if order is not None and is_restoring and order.has_content_of(record):
                participant.order = order.also_known_as(record.order)
                self._share_numbers()
            participant.apply_record(
                record, read_at=read_at, store_ahead_s=self._store_ahead_s
            )
        if self.coordinator is not None:
            self.coordinator.handle_record(
                record, store_ahead_s=self._store_ahead_s, read_at=read_at
            )
        self.apply_split(now)

    def record_to_write(self, now: float) -> RolloutRecord | None:
        """Return the record that must be written, if this VM coordinates."""
        if self.coordinator is None:
            return self.unordered.record_to_write()
        return self.coordinator.record_to_write(
            store_ahead_s=self._store_ahead_s, now=now
        )

    def handle_written(self, record: RolloutRecord, now: float) -> None:
        """Take the acknowledgement of a write."""
        self._confirm(now)
        if self.coordinator is not None:
            self.coordinator.handle_written(record, store_ahead_s=self._store_ahead_s)
        else:
            self.unordered.handle_written(record)

    def _confirm(self, now: float) -> None:
        """Note that the record of the present stage is in the store."""
        self._confirmed = AcknowledgedWrite(era=self.store_era.number, at=now)

    def restore_record(self, now: float) -> None:
        """Write the record again if the store may have lost it, as the coordinator."""
        order, confirmed = self.participant.order, self._confirmed
        if confirmed is None or not confirmed.may_be_lost(self.store_era):
            return
        self.roles.refresh(now)
        if self.coordinator is None and not self.roles.is_coordinator():
            return
        self._confirmed = None
        if order is None:
            self.unordered.expect_lost_record()
            return
        self._ensure_coordinator(order, now).expect_lost_record()
