"""Stores the quarantine at the platform, so that it survives a restart of the fleet."""

from __future__ import annotations

import math
import time
from random import Random
from typing import Any

from attrs import Factory
from curio import Event
from curio import sleep
from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import define
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.platform.errors import ConditionFailed
from plankspindle_daemon.platform.errors import PlatformUnavailable
from plankspindle_daemon.platform.platform_client import PlatformClient
from plankspindle_daemon.platform.table import Row
from plankspindle_daemon.platform.table import Transaction
from plankspindle_daemon.quarantine.quarantine import Quarantine
from plankspindle_daemon.quarantine.quarantine_list import ENTRY_RETENTION_S
from plankspindle_daemon.quarantine.quarantine_list import QuarantineEntry
from plankspindle_daemon.quarantine.request_identity import identity_text
from plankspindle_daemon.versions.acknowledged_write import AcknowledgedWrite

ROW_KEY = "quarantine"
MIN_REREAD_INTERVAL_S = 2.0
"""Minimum time between two reads that upstream crashes cause, in seconds."""
RETRY_S = 1.0
"""Pause after a call that failed, in seconds."""
MAX_PROBE_ATTEMPTS = 65_535


@define(kw_only=True)
class QuarantineStore:
    """Read the row at the start, and write it whenever this VM decides something.

    Parameters
    ----------
    quarantine : Quarantine
        The quarantine to be stored.
    platform : PlatformClient
        Client of the platform that holds the row.
    random : Random
        Source of the jitter of pauses.

    Notes
    -----
    Entry VMs notify one another within a second or two, but if all of them stop at once
    the state is lost, and a VM that is partitioned from the others receives no updates.
    All entries are in one row: it is read once at the start and when an upstream
    crashes, and written only when a request is quarantined, sent as a probe attempt or
    released.
    """

    quarantine: Quarantine
    platform: PlatformClient
    random: Random
    _wake_event: Any = Factory(Event)
    _read_at: float = -math.inf
    _saved: AcknowledgedWrite | None = None

    async def run(self) -> None:
        """Read and write the row until the task is cancelled."""
        while (await self._read()).is_err():
            await self._pause()
        while True:
            await self._wake_event.wait()
            self._wake_event.clear()
            if self.quarantine.needs_reread:
                await self._read()
            while self.quarantine.is_unsaved:
                if not await self._save():
                    await self._pause()

    async def wake_if_needed(self) -> None:
        """Wake the task if the row must be written or read again."""
        if self._saved is not None and self._saved.may_be_lost(self.platform.calls.era):
            self._saved = None
            self.quarantine.is_unsaved = True
        may_read = monotonic() - self._read_at >= MIN_REREAD_INTERVAL_S
        if self.quarantine.is_unsaved or (self.quarantine.needs_reread and may_read):
            await self._wake_event.set()

    async def _pause(self) -> None:
        await sleep(RETRY_S * self.random.uniform(0.8, 1.2))

    async def _read(self) -> Result[Row, PlatformUnavailable]:
        self.quarantine.needs_reread = False
        self._read_at = monotonic()
        read = await self.platform.read_row(ROW_KEY)
        if read.is_ok():
            for entry in read_entries(read.unwrap().value):
                self.quarantine.restore(entry)
        return read

    async def _save(self) -> bool:
        """Merge the state with the row and write it; return whether that succeeded."""
        read = await self._read()
        if read.is_err():
            return False
        self.quarantine.is_unsaved = False
        row = read.unwrap()
        value = self._value()
        if value == (row.value or {"entries": []}):
            return True
        writes = [row.replaced_by(value)]
        committed = await self.platform.commit(Transaction(writes=writes))
        if committed.is_ok():
            era = self.platform.calls.era.number
            self._saved = AcknowledgedWrite(era=era, at=monotonic())
            log_event("quarantine_saved", entries=len(value["entries"]), era=era)
            return True
        self.quarantine.is_unsaved = True
        if not isinstance(committed.unwrap_err(), ConditionFailed):
            log_event("quarantine_not_saved", detail=str(committed.unwrap_err()))
        return False

    def _value(self) -> dict[str, Any]:
        ahead_s = time.time() - monotonic()
        entries = self.quarantine.quarantine_list.entries_by_identity.values()
        return {
            "entries": [
                [
                    identity_text(each.identity),
                    round(each.quarantined_at + ahead_s),
                    each.probe_attempts,
                ]
                for each in sorted(entries, key=lambda each: each.identity)
            ]
        }


def read_entries(value: Any) -> list[QuarantineEntry]:
    """Return the readable entries of the row that are recent; log the others.

    Parameters
    ----------
    value : object
        Content of the row; None if there is no row.
    """
    if value is None:
        return []
    found = value.get("entries") if isinstance(value, dict) else None
    if not isinstance(found, list):
        log_event("quarantine_unreadable", detail=f"no list of entries: {value!r:.40}")
        return []
    entries = []
    for each in found:
        match _parse_entry(each):
            case Ok(entry):
                entries.append(entry)
            case Err(detail):
                log_event("quarantine_unreadable", detail=detail)
    oldest = monotonic() - ENTRY_RETENTION_S
    latest = monotonic() + ENTRY_RETENTION_S
    return [each for each in entries if oldest < each.quarantined_at < latest]


def _parse_entry(found: Any) -> Result[QuarantineEntry, str]:
    """Parse an entry: identity, wall time in seconds, and probe attempts."""
    try:
        text, wall_s, probe_attempts = found
        identity, probe_attempts = int(text, 16), int(probe_attempts)
        quarantined_at = int(wall_s) + monotonic() - time.time()
    except (TypeError, ValueError, OverflowError) as error:
        return Err(f"{found!r:.40}: {error!r:.80}")
    if not (0 <= identity < 1 << 64 and 0 <= probe_attempts <= MAX_PROBE_ATTEMPTS):
        return Err(f"{found!r:.40}: identity or probe attempts out of range")
    return Ok(
        QuarantineEntry(
            identity=identity,
            quarantined_at=quarantined_at,
            probe_attempts=probe_attempts,
        )
    )
