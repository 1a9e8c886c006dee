"""State machine that decides the stages of a roll-out."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import evolve
from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.rollouts.canary_share import CanaryBudget
from plankspindle_daemon.rollouts.judgement import Verdict
from plankspindle_daemon.rollouts.listed_sides import ListedSides
from plankspindle_daemon.rollouts.rollout_evidence import RolloutEvidence
from plankspindle_daemon.rollouts.rollout_order import MIN_MOVE_S
from plankspindle_daemon.rollouts.rollout_order import RolloutOrder
from plankspindle_daemon.rollouts.rollout_participant import CANARY_SHARE
from plankspindle_daemon.rollouts.rollout_participant import later_stage
from plankspindle_daemon.rollouts.rollout_record import RolloutRecord
from plankspindle_daemon.rollouts.stage import Stage
from plankspindle_daemon.rollouts.superseded_order import SupersededOrder

if TYPE_CHECKING:
    from collections.abc import Mapping

    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.dispatch.version_counts import ListedVersion
    from plankspindle_daemon.peer_messages.rollout_messages import RolloutReport
    from plankspindle_daemon.rollouts.rollout_participant import RolloutParticipant

MEMORY_S = 5.0
"""Time for which a coordinator goes on that nobody reports to, in seconds."""
CONTACT_S = 1.5
"""Time for which reports of most VMs, or the record, entitle to direct, in seconds.

A VM that is cut off follows itself for this time and a lease.
"""
READ_PERIOD_S = 0.75
"""Period of reading the record if few VMs report, in seconds."""


@define(kw_only=True)
class RolloutCoordinator:
    """Decide the stage of one order, from the reports of all entry VMs.

    Parameters
    ----------
    vm : str
        Name of this VM.
    service : str
        The service.
    order : RolloutOrder
        The order.
    baseline : str or None
        Software version in force before the order.
    is_baseline_known : bool
        Whether it is more than the likeliest one.
    started_at : float
        Monotonic seconds.
    canary : CanaryBudget
        Share of the requests that the canary gets.
    stage : Stage
        Stage that this VM knows as it begins.
    reason : str
        What decided it.
    moving_at, ends_at : float
        Start and planned end of the stage ``MOVING``, in monotonic seconds.

    Attributes
    ----------
    is_withdrawn : bool
        Whether the operator has withdrawn the order.
    needs_read : bool
        Whether the record must be read.
    recorded : Stage or None
        Stage of this order in the record, as acknowledged; None if there is none or it
        is not known.

    Notes
    -----
    Nothing is decided on an order before the record was read, except that a bad or
    withdrawn one is halted: the order may have been settled before.
    """

    vm: str
    service: str
    order: RolloutOrder
    baseline: str | None
    started_at: float
    is_baseline_known: bool = False
    canary: CanaryBudget = Factory(lambda: CanaryBudget(base_share=CANARY_SHARE))
    stage: Stage = Stage.PREPARING
    reason: str = ""
    moving_at: float = math.inf
    ends_at: float = math.inf
    is_withdrawn: bool = False
    needs_read: bool = True
    recorded: Stage | None = None
    evidence: RolloutEvidence = field(init=False)
    _has_read: bool = False
    _read_at: float = -math.inf
    _is_heard_by_most: bool = False
    _has_asked_for_move: bool = False
    _wanted: Stage | None = None
    _wanted_reason: str = ""
    _canary_at: float = math.inf
    _superseded: SupersededOrder = Factory(SupersededOrder)
    _sides: ListedSides = Factory(lambda: ListedSides.of({}, baseline=None, target=""))

    def __attrs_post_init__(self) -> None:
        self.evidence = RolloutEvidence(
            canary_share=self.canary.base_share, started_at=self.started_at
        )
        if self.stage is not Stage.PREPARING:
            self._canary_at = self.started_at

    def handle_report(
        self, report: RolloutReport, sender: Endpoint | None, now: float
    ) -> None:
        """Take the report of a collector, and learn of a halt or an end from it."""
        self.evidence.take(report, sender, now)
        stage = later_stage(self.stage, self.evidence.latest_stage())
        if stage is self.stage:
            return
        if stage is Stage.MOVING and math.isinf(self.moving_at):
            self._learn_of_move(now)
        elif stage is Stage.CANARY:
            self._begin_canary("reports", now)
        else:
            self._enter(stage, "reports")

    def _learn_of_move(self, now: float) -> None:
        """Read the times of a move that another VM began, or replace lost ones.

        The entry VMs keep the earlier ones that they were told.
        """
        if not self._has_asked_for_move:
            self._has_asked_for_move = True
            self.needs_read = True
            self._has_read = False
        elif self._has_read:
            self.moving_at, self.ends_at = now, self.order.move_ends_at(now)
            self._enter(Stage.MOVING, "reports")

    def learn_baseline(self, participant: RolloutParticipant, now: float) -> None:
        """Take the version in force as this VM knows it, until a record names it."""
        if self.stage is Stage.PREPARING and not self.is_baseline_known:
            self.baseline = participant.baseline
            is_alone = participant.is_baseline_alone(now)
            self.is_baseline_known = participant.is_baseline_known or is_alone

    def learn_stage(self, stage: Stage, participant: RolloutParticipant) -> None:
        """Take a later stage that another coordinator told, as this VM follows it."""
        if later_stage(self.stage, stage) is self.stage:
            return
        self.needs_read = True
        self.moving_at, self.ends_at = participant.moving_at, participant.ends_at
        self._enter(stage, participant.reason)

    def handle_record(
        self, record: RolloutRecord | None, *, store_ahead_s: float, read_at: float
    ) -> None:
        """Follow the record as read; it wins over what was not acknowledged.

        Parameters
        ----------
        record : RolloutRecord, optional
            The record; None if there is none.
        store_ahead_s : float
            Time by which the store's clock is ahead of the monotonic one, in seconds.
        read_at : float
            Monotonic time before the read, in seconds.
        """
        self._read_at = read_at
        self.needs_read = False
        self._has_read = True
        self.recorded = None
        if record is None:
            return
        self.is_baseline_known = True
        if record.order not in self.order.aliases:
            self._note_other_order(record, read_at)
            return
        self._superseded.record(is_later=False, now=read_at)
        # A record under an earlier number is written again under the restored one.
        self.recorded = record.stage if record.order == self.order.number else None
        self.order = self.order.given_at(record.ordered_at_s - store_ahead_s)
        self.baseline = record.baseline_version
        if record.stage is not Stage.CANARY:
            self._follow(record, store_ahead_s)

    def _note_other_order(self, record: RolloutRecord, now: float) -> None:
        is_later = record.order >= self.order.number
        self._superseded.record(is_later=is_later, now=now)
        if self.stage is Stage.PREPARING:
            self.baseline = record.version_in_force

    def handle_written(self, record: RolloutRecord, *, store_ahead_s: float) -> None:
        """Take the acknowledgement of a write of this VM."""
        if record.order in self.order.aliases:
            self.recorded = record.stage
            if record.stage is not Stage.CANARY:
                self._follow(record, store_ahead_s)

    def _follow(self, record: RolloutRecord, store_ahead_s: float) -> None:
        """Enter the stage of the record, unless a later one is known."""
        if later_stage(self.stage, record.stage) is self.stage:
            return
        if record.stage is Stage.MOVING:
            self.moving_at = record.moving_at_s - store_ahead_s
            self.ends_at = record.ends_at_s - store_ahead_s
        is_own = record.stage is self._wanted
        self._enter(record.stage, self._wanted_reason if is_own else "record")

    def expect_lost_record(self) -> None:
        """Read the record, and write it again if the store has lost it."""
        self.needs_read = True
        self.recorded = None
        self._has_read = False

    def tick(
        self,
        listed: dict[str, ListedVersion],
        vms_by_domain: Mapping[str, int],
        *,
        known_vms: int,
        now: float,
    ) -> None:
        """Decide whether another stage is due.

        Parameters
        ----------
        listed : dict of str to ListedVersion
            Upstreams of the service by software version.
        vms_by_domain : mapping of str to int
            Entry VMs that are not known to have failed.
        known_vms : int
            Number of all entry VMs, with those that failed just before.
        now : float
            Monotonic seconds.
        """
        self._sides = ListedSides.of(
            listed, baseline=self.baseline, target=self.order.target_version
        )
        self._wanted = None
        self._is_heard_by_most = (
            2 * self.evidence.heard_vms(now, for_s=CONTACT_S) > known_vms
        )
        if not self._is_heard_by_most and now - self._read_at >= READ_PERIOD_S:
            self.needs_read = self.needs_read or not self.stage.is_final
        match self.stage:
            case Stage.PREPARING | Stage.CANARY | Stage.MOVING if self.is_withdrawn:
                self._enter(Stage.HALTED, "withdrawn")
            case Stage.PREPARING:
                self._prepare(now)
            case Stage.CANARY:
                self._watch_canary(now)
            case Stage.MOVING:
                self._watch_move(vms_by_domain, now)
            case _:
                pass
        if self.stage is Stage.HALTED:
            self._want(Stage.ROLLED_BACK, self.reason)

    def _prepare(self, now: float) -> None:
        if not self._has_read or self._superseded.holds(now):
            return
        baseline = self.settled_baseline
        if baseline is None:
            return
        if baseline == self.order.target_version:
            self._want(Stage.COMPLETE, "in-force-already")
        elif self._sides.suffice_for_canary(is_urgent=self.order.is_urgent(now)):
            self._begin_canary("upstreams-warm", now)
        elif now >= self.order.planned_end:
            self._enter(Stage.HALTED, "no-upstreams")

    @property
    def settled_baseline(self) -> str | None:
        """Baseline that all VMs may be told; None if it is not known well enough.

        If the target is taken for in force already, the others would stop.
        """
        is_target = self.baseline == self.order.target_version
        is_guess = self.stage is Stage.PREPARING and not self.is_baseline_known
        return None if is_target and is_guess else self.baseline

    def _begin_canary(self, reason: str, now: float) -> None:
        self._canary_at = now
        self.evidence.begin_canary()
        self.canary.begin(self.order, requests=self.evidence.requests, now=now)
        self._enter(Stage.CANARY, reason)

    def _watch_canary(self, now: float) -> None:
        evidence = self.evidence
        evidence.check_budget(self.canary)
        upstreams = math.ceil(self.canary.share * self._sides.target.listed)
        if self._is_bad(upstreams, now):
            return
        if now < self.order.move_begins_at(self._canary_at):
            return
        if evidence.latest.is_suspicious:
            if now >= self.order.planned_end - MIN_MOVE_S:
                self._enter(Stage.HALTED, "suspicious-answers")
        elif evidence.is_enough() and self._sides.suffice_for_all():
            if self._is_heard_by_most:
                self._want(Stage.MOVING, "canary-good")
        elif now >= self.order.planned_end:
            self._enter(Stage.HALTED, "no-evidence")

    def _watch_move(self, vms_by_domain: Mapping[str, int], now: float) -> None:
        if self._is_bad(self._sides.target.listed, now):
            return
        if self._is_heard_by_most and self.evidence.is_emptied(vms_by_domain, now):
            if self.evidence.latest.is_suspicious:
                self._enter(Stage.HALTED, "suspicious-answers")
            else:
                self._want(Stage.COMPLETE, "baseline-emptied")

    def _is_bad(self, upstreams: int, now: float) -> bool:
        found = self.evidence.judge(upstreams, now)
        if found.verdict is not Verdict.BAD:
            return False
        operation = found.operation or "all"
        self._enter(Stage.HALTED, f"bad-answers:{operation}")
        return True

    def _want(self, stage: Stage, reason: str) -> None:
        """Enter a stage once its record is acknowledged."""
        self._wanted, self._wanted_reason = stage, reason

    def _enter(self, stage: Stage, reason: str) -> None:
        self.stage, self.reason = stage, reason
        self._wanted = None

    def is_unneeded(self, *, is_chosen: bool, now: float) -> bool:
        """Return whether another VM coordinates, or all know the recorded end."""
        last_at = max(self.evidence.heard_at, self.started_at)
        if now - last_at <= MEMORY_S:
            return False
        if self.stage.is_final:
            return self.recorded is self.stage
        return not is_chosen

    def may_direct(self, now: float) -> bool:
        """Return whether the VMs may follow this one, in monotonic seconds.

        One that hears few VMs may be cut off from those that halt the order; the record
        tells it.
        """
        if self._superseded.holds(now):
            return False
        if self.stage not in (Stage.CANARY, Stage.MOVING):
            return True
        return self._is_heard_by_most or now - self._read_at <= CONTACT_S

    def record_to_write(
        self, *, store_ahead_s: float, now: float
    ) -> RolloutRecord | None:
        """Return the record that is to be written; None if there is none.

        Parameters
        ----------
        store_ahead_s : float
            Time by which the store's clock is ahead of the monotonic one, in seconds.
        now : float
            Monotonic seconds.
        """
        stage = self._stage_to_record(now)
        baseline = self.settled_baseline
        if stage is None or baseline is None:
            return None
        moving_at, ends_at = self.moving_at, self.ends_at
        if stage is Stage.MOVING and math.isinf(moving_at):
            moving_at, ends_at = now, self.order.move_ends_at(now)
        blank = RolloutRecord(
            service=self.service, baseline_version=baseline, stage=stage
        )
        record = self.order.filled_in(blank, store_ahead_s=store_ahead_s)
        if math.isinf(moving_at):
            return record
        return evolve(
            record,
            moving_at_s=moving_at + store_ahead_s,
            ends_at_s=ends_at + store_ahead_s,
        )

    def _stage_to_record(self, now: float) -> Stage | None:
        if self._superseded.holds(now):
            return None
        stage = self._wanted or self.stage
        if stage is Stage.HALTED:
            stage = Stage.ROLLED_BACK
        if stage is Stage.PREPARING:
            stage = Stage.CANARY
        recorded = self.recorded
        is_recorded = recorded is not None and later_stage(recorded, stage) is recorded
        return None if is_recorded else stage
