"""Keeps the quarantine at the platform, for a fleet that starts anew."""

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
from plankspindle_daemon.platform.table import RowWrite
from plankspindle_daemon.platform.table import Transaction
from plankspindle_daemon.quarantine.quarantine import Quarantine
from plankspindle_daemon.quarantine.quarantine_list import ENTRY_RETENTION_S
from plankspindle_daemon.quarantine.quarantine_list import QuarantineEntry
from plankspindle_daemon.quarantine.request_identity import identity_text

ROW_KEY = "quarantine"
MIN_REREAD_INTERVAL_S = 2.0
"""Least time between two reads that ends of upstreams lead to, in seconds."""
RETRY_S = 1.0
"""Pause after a call that failed, in seconds."""
MAX_PROBE_ATTEMPTS = 65_535


@define(kw_only=True)
class QuarantineStore:
    """Read the row once, and write it whenever this VM decides something.

    Parameters
    ----------
    quarantine : Quarantine
        The decisions.
    platform : PlatformClient
        Keeper of the row.
    random : Random
        Source of the jitter of pauses.

    Notes
    -----
    Entry VMs tell one another within a second or two, but when all of them end at once
    none is left that knows, and one that is cut off from the others hears nothing. All
    entries stand in one row: it is read once a start and where an upstream ends, and
    written only when a request is put in quarantine, tried or released.
    """

    quarantine: Quarantine
    platform: PlatformClient
    random: Random
    _wake_event: Any = Factory(Event)
    _read_at: float = -math.inf

    async def run(self) -> None:
        """Keep it for ever."""
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
        """Begin to write what was decided here, or to read what others decided."""
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
            for entry in _entries_of(read.unwrap().value):
                self.quarantine.restore(entry)
        return read

    async def _save(self) -> bool:
        """Write what is known, together with what the row holds; tell if that went."""
        read = await self._read()
        if read.is_err():
            return False
        self.quarantine.is_unsaved = False
        row = read.unwrap()
        value = self._value()
        if value == (row.value or {"entries": []}):
            return True
        write = RowWrite(key=ROW_KEY, expected_version=row.version, value=value)
        committed = await self.platform.commit(Transaction(writes=[write]))
        if committed.is_ok():
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


def _entries_of(value: dict[str, Any] | None) -> list[QuarantineEntry]:
    """Read the row; one that was damaged holds nothing back."""
    wall_behind_s = monotonic() - time.time()
    match _parse(value or {"entries": []}):
        case Ok(parsed):
            return [
                QuarantineEntry(
                    identity=identity,
                    quarantined_at=at + wall_behind_s,
                    probe_attempts=trials,
                )
                for identity, at, trials in parsed
                if abs(time.time() - at) < ENTRY_RETENTION_S
            ]
        case Err(detail):
            log_event("quarantine_unreadable", detail=detail)
    return []


def _parse(value: dict[str, Any]) -> Result[list[tuple[int, int, int]], str]:
    try:
        parsed = [
            (int(identity, 16), int(at), int(trials))
            for identity, at, trials in value["entries"]
        ]
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        return Err(f"{type(error).__name__}: {error}")
    for identity, _, trials in parsed:
        if not (0 <= identity < 1 << 64 and 0 <= trials <= MAX_PROBE_ATTEMPTS):
            return Err(f"no entry: {identity:x}, {trials}")
    return Ok(parsed)
