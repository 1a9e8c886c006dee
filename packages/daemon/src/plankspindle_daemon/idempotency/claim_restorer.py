"""Writes claims again that the platform's store has lost by returning from a copy."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_daemon.idempotency.claim_row import ClaimRow
from plankspindle_daemon.idempotency.claim_row import ClaimState
from plankspindle_daemon.idempotency.recent_claims import HasRunElsewhere
from plankspindle_daemon.idempotency.recent_claims import IsHeldByOther
from plankspindle_daemon.idempotency.recent_claims import IsStored
from plankspindle_daemon.idempotency.recent_claims import MustBeWritten
from plankspindle_daemon.idempotency.recent_claims import RecentClaims
from plankspindle_daemon.idempotency.recent_claims import next_step
from plankspindle_daemon.platform.errors import ConditionFailed
from plankspindle_daemon.platform.platform_client import PlatformClient
from plankspindle_daemon.platform.table import ABSENT
from plankspindle_daemon.platform.table import RowWrite
from plankspindle_daemon.platform.table import Transaction

if TYPE_CHECKING:
    from plankspindle_daemon.platform.table import Row

INSERTS_PER_CALL = 64
CHECKS_PER_STEP = 2
"""Rows that one step reads; each may take a call of the read budget."""
MAX_HELD_S = 10.0
"""Time for which a claim of another attempt is awaited, in seconds."""


@define(kw_only=True)
class ClaimRestorer:
    """Restore the recent claims of this VM after a return of the store.

    Parameters
    ----------
    platform : PlatformClient
        Client of the table service.

    Attributes
    ----------
    written : int
        Claims that were written again.
    run_elsewhere : int
        Claims whose key has run again at another VM before they were restored.

    Notes
    -----
    Claims that the copy lacks are inserted first, many with one call. An insert fails
    for those that it has; their rows are read, since the copy may have an earlier state
    of them, or another attempt may have claimed the key meanwhile.
    """

    platform: PlatformClient
    written: int = 0
    run_elsewhere: int = 0
    _returns: int = 0
    _began_at: float = 0.0
    _to_insert: dict[str, ClaimRow] = Factory(dict)
    _to_check: dict[str, ClaimRow] = Factory(dict)
    _is_active: bool = False

    def begin_if_returned(self, claims: RecentClaims, now: float) -> None:
        """Begin to restore claims if the store has returned since the last call."""
        returns = self.platform.calls.era.returns
        if returns == self._returns:
            return
        self._returns = returns
        self._began_at = now
        self._is_active = True
        recent = claims.recent(now)
        self._to_insert = {
            key: row
            for key, row in recent.items()
            if row.state is not ClaimState.RELEASED
        }
        self._to_check = {
            key: row for key, row in recent.items() if row.state is ClaimState.RELEASED
        }

    async def step(self, claims: RecentClaims, now: float) -> None:
        """Insert what may be lost, and check a few of the other claims."""
        if not self._is_active:
            return
        while self._to_insert:
            if not await self._insert_batch():
                return
        if self._to_check:
            await self._check_some(claims, now)
        if not self._to_check:
            self._is_active = False
            log_event(
                "claims_restored",
                written=self.written,
                run_elsewhere=self.run_elsewhere,
                forgotten=claims.forgotten,
                took_ms=round((now - self._began_at) * 1000),
            )

    async def _insert_batch(self) -> bool:
        """Insert a batch of claims; return whether the store answered."""
        batch = dict(islice(self._to_insert.items(), INSERTS_PER_CALL))
        writes = [
            RowWrite(key=key, expected_version=ABSENT, value=row.to_mapping())
            for key, row in batch.items()
        ]
        committed = await self.platform.commit(Transaction(writes=writes))
        if committed.is_ok():
            self.written += len(batch)
            self._remove_inserted(batch)
            return True
        match committed.unwrap_err():
            case ConditionFailed(keys=keys):
                present = {key: batch[key] for key in keys if key in batch} or batch
                self._to_check |= present
                self._remove_inserted(present)
                return True
            case _:
                return False

    def _remove_inserted(self, keys: dict[str, ClaimRow]) -> None:
        for key in keys:
            self._to_insert.pop(key, None)

    async def _check_some(self, claims: RecentClaims, now: float) -> None:
        keys = list(islice(self._to_check, CHECKS_PER_STEP))
        read = await self.platform.read_rows(keys)
        if read.is_err():
            return
        latest_by_key = claims.recent(now)
        for key in keys:
            known = self._to_check.pop(key)
            claim = latest_by_key.get(key, known)
            await self._check(key, read.unwrap()[key], claim, now)

    async def _check(self, key: str, found: Row, claim: ClaimRow, now: float) -> None:
        """Write the claim where that is due, or put it back to be checked again."""
        match next_step(found, claim):
            case IsStored():
                return
            case HasRunElsewhere():
                self.run_elsewhere += 1
                log_event("claim_run_elsewhere", key=key)
                return
            case IsHeldByOther():
                if now - self._began_at < MAX_HELD_S:
                    self._to_check[key] = claim
                else:
                    log_event("claim_held_elsewhere", key=key)
                return
            case MustBeWritten():
                write = found.replaced_by(claim.to_mapping())
                committed = await self.platform.commit(Transaction(writes=[write]))
        if committed.is_ok():
            self.written += 1
        else:
            self._to_check[key] = claim
