"""Keeps the record of a service of which this VM knows no order."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import evolve

from plankspindle_core.classes import define
from plankspindle_daemon.rollouts.rollout_participant import RolloutParticipant
from plankspindle_daemon.rollouts.rollout_record import RolloutRecord
from plankspindle_daemon.rollouts.rollout_roles import RolloutRoles
from plankspindle_daemon.rollouts.stage import Stage
from plankspindle_daemon.versions.store_era import RESTORE_S

if TYPE_CHECKING:
    from plankspindle_daemon.rollouts.rollout_record import StoredRollout

FIRST_CHECK_S = 5.0
"""Time to get to know the other VMs before the first check, in seconds."""
CHECK_PERIOD_S = 15.0
"""Period of checks whether this VM coordinates, in seconds.

A check ranks all VMs; with a long period it costs little in a large fleet.
"""

WITHDRAWAL_WAIT_S = 5.0
"""Time for the configuration to name the order of an unfinished record, in seconds."""


@define(kw_only=True)
class UnorderedRecord:
    """Record the software version in force, as the VM that would coordinate.

    A fleet that starts anew beside several versions then knows which one is in force.
    An order that was withdrawn while all VMs restarted is recorded as rolled back.

    Parameters
    ----------
    participant : RolloutParticipant
        Knows the version in force, and whether there is an order.
    roles : RolloutRoles
        Chooses the coordinator.
    """

    participant: RolloutParticipant
    roles: RolloutRoles
    _known: RolloutRecord | None = None
    _is_settled: bool = False
    _is_missing: bool = False
    _must_read: bool = False
    _to_write: RolloutRecord | None = None
    _unfinished: int | None = None
    _next_check_at: float = math.inf

    def check_due_at(self, now: float) -> float:
        """Return when :meth:`check` is due, in monotonic seconds; infinity if never."""
        if self._is_settled or self.has_work() or not self._is_concerned():
            return math.inf
        if self._is_missing and not self.participant.was_baseline_alone:
            return math.inf
        if math.isinf(self._next_check_at):
            self._next_check_at = now + FIRST_CHECK_S
        return self._next_check_at

    def check(self, now: float) -> None:
        """Read the record if this VM coordinates; ``now`` in monotonic seconds."""
        self._next_check_at = now + CHECK_PERIOD_S
        self.roles.refresh(now)
        self._must_read = self.roles.is_coordinator()

    def _is_concerned(self) -> bool:
        """Return whether a configuration was read, and no order is known."""
        participant = self.participant
        is_without_order = participant.order is None and participant.is_withdrawn
        return is_without_order and participant.baseline is not None

    def has_work(self) -> bool:
        """Return whether the record must be read or written."""
        is_due = self._must_read or self._to_write is not None
        return is_due and self._is_concerned()

    def handle_record(
        self, stored: StoredRollout, *, is_restoring: bool, now: float
    ) -> None:
        """Decide what to write after a read, which may have been made for another use.

        Parameters
        ----------
        stored : StoredRollout
            The record, or that there is none.
        is_restoring : bool
            Whether the platform's store returned from a copy just before.
        now : float
            Monotonic seconds.
        """
        is_asked = self.has_work()
        self._must_read, self._to_write = False, None
        record = stored.record
        if record is not None and record.is_finished:
            self._settle(record)
        elif record is not None and is_asked:
            self._note_unfinished(record, is_restoring=is_restoring, now=now)
        elif is_asked:
            self._note_missing(stored, is_restoring=is_restoring, now=now)

    def _note_missing(
        self, stored: StoredRollout, *, is_restoring: bool, now: float
    ) -> None:
        participant = self.participant
        if stored.row.value is not None:
            # It cannot be read, perhaps since a later release has written it.
            self._is_settled = True
        elif self._known is not None:
            self._to_write = self._known
        elif is_restoring:
            self._next_check_at = now + RESTORE_S
        elif participant.was_baseline_alone and participant.baseline is not None:
            self._to_write = RolloutRecord(
                service=participant.service, baseline_version=participant.baseline
            )
        else:
            self._is_missing = True

    def _note_unfinished(
        self, record: RolloutRecord, *, is_restoring: bool, now: float
    ) -> None:
        """Roll back an order that was withdrawn while no VM ran that knew it.

        The configuration may be about to name it, so it is looked for twice.
        """
        if is_restoring or self._unfinished != record.order:
            self._unfinished = record.order
            self._next_check_at = now + WITHDRAWAL_WAIT_S
        else:
            self._to_write = evolve(record, stage=Stage.ROLLED_BACK)

    def _settle(self, record: RolloutRecord) -> None:
        self._known, self._is_settled = record, True

    def record_to_write(self) -> RolloutRecord | None:
        """Return the record that is to be written; None if there is none."""
        return self._to_write if self.has_work() else None

    def handle_written(self, record: RolloutRecord) -> None:
        """Take the acknowledgement of a write."""
        self._to_write = None
        self._settle(record)
        if self.participant.order is None:
            self.participant.is_baseline_confirmed = True

    def expect_lost_record(self) -> None:
        """Read the record, and write it again if the store has lost it."""
        self._is_settled = False
        self._must_read = True
