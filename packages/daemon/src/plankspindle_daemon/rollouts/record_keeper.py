"""Reads and writes the records of roll-outs at the platform."""

from __future__ import annotations

from random import Random
from typing import Any

from attrs import Factory
from curio import Event
from curio import sleep

from plankspindle_core.classes import define
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.platform.errors import ConditionFailed
from plankspindle_daemon.rollouts.rollout_record import RolloutRecordPort
from plankspindle_daemon.rollouts.rollouts import Rollouts

RETRY_S = 0.5
"""Pause after a call that failed, in seconds."""


@define(kw_only=True)
class RecordKeeper:
    """Read a record when the roll-outs need it, and write it when they decide.

    Parameters
    ----------
    rollouts : Rollouts
        The roll-outs.
    records : RolloutRecordPort
        Keeps the records.
    random : Random
        Source of the jitter of pauses.

    Notes
    -----
    A write follows a read, and is made on condition that the row is as it was read. If
    its answer is lost, or another VM was first, the next read settles what holds.
    """

    rollouts: Rollouts
    records: RolloutRecordPort
    random: Random
    _wake_event: Any = Factory(Event)

    async def run(self) -> None:
        """Read and write records until the task is cancelled."""
        while True:
            await self._wake_event.wait()
            self._wake_event.clear()
            await self._settle_all()

    async def wake_if_needed(self) -> None:
        """Wake the task if a record must be read or written."""
        if self.rollouts.services_with_record_work(monotonic()):
            await self._wake_event.set()

    async def _settle_all(self) -> None:
        while services := self.rollouts.services_with_record_work(monotonic()):
            settled = [await self._settle(service) for service in services]
            if not all(settled):
                await sleep(RETRY_S * self.random.uniform(0.8, 1.2))

    async def _settle(self, service: str) -> bool:
        """Read the record and write it if needed; return whether both succeeded."""
        read_at = monotonic()
        read = await self.records.read(service)
        if read.is_err():
            return False
        stored, now = read.unwrap(), monotonic()
        self.rollouts.handle_record(service, stored, read_at=read_at, now=now)
        record = self.rollouts.record_to_write(service, now)
        if record is None:
            return True
        written = await self.records.write(record, replacing=stored.row)
        if written.is_ok():
            self.rollouts.handle_written(record, monotonic())
            log_event(
                "rollout_recorded",
                service=service,
                stage=record.stage.value,
                order=record.order,
            )
            return True
        if not isinstance(written.unwrap_err(), ConditionFailed):
            detail = str(written.unwrap_err())
            log_event("rollout_not_recorded", service=service, detail=detail)
        return False


def make_record_keeper(
    rollouts: Rollouts, records: RolloutRecordPort | None, random: Random
) -> RecordKeeper | None:
    """Create the keeper; None if there are no roll-outs, or nothing keeps records."""
    if records is None or not rollouts.settings.enabled:
        return None
    return RecordKeeper(rollouts=rollouts, records=records, random=random)
