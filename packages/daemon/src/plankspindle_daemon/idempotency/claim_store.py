"""Claims of idempotency keys in the table service, written in batches."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Any

from attrs import field
from curio import Event
from curio import TaskTimeout
from curio import sleep

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.supervisor import Supervisor
from plankspindle_core.time_limit import TimeLimit
from plankspindle_daemon.idempotency.claim_attempt import ClaimAttempt
from plankspindle_daemon.idempotency.claim_attempt import ClaimEvent
from plankspindle_daemon.idempotency.claim_attempt import DeadlineExceeded
from plankspindle_daemon.idempotency.claim_attempt import ReadRow
from plankspindle_daemon.idempotency.claim_attempt import ReadUnanswered
from plankspindle_daemon.idempotency.claim_attempt import RowRead
from plankspindle_daemon.idempotency.claim_attempt import Settled
from plankspindle_daemon.idempotency.claim_attempt import WriteAnswered
from plankspindle_daemon.idempotency.claim_attempt import WriteRow
from plankspindle_daemon.idempotency.claim_attempt import WriteUnanswered
from plankspindle_daemon.idempotency.claim_restorer import ClaimRestorer
from plankspindle_daemon.idempotency.claim_row import ClaimRow
from plankspindle_daemon.idempotency.claim_row import ClaimState
from plankspindle_daemon.idempotency.claim_row import claim_row_from_mapping
from plankspindle_daemon.idempotency.recent_claims import RecentClaims
from plankspindle_daemon.idempotency.verdicts import RunIt
from plankspindle_daemon.idempotency.verdicts import StoreRestoring
from plankspindle_daemon.platform.errors import ConditionFailed
from plankspindle_daemon.platform.platform_client import PlatformClient
from plankspindle_daemon.platform.table import ABSENT
from plankspindle_daemon.platform.table import Row
from plankspindle_daemon.platform.table import RowWrite
from plankspindle_daemon.platform.table import Transaction

if TYPE_CHECKING:
    from plankspindle_daemon.idempotency.verdicts import ClaimVerdict

MAX_BATCH = 64
RETRY_DELAY_S = 0.1
MAX_UNCLOSED = 10_000
CLOSE_PERIOD_S = 0.25


@define(kw_only=True)
class _PendingWrite:
    write: RowWrite
    done: Any = field(factory=Event)
    event: ClaimEvent | None = None


@frozen(kw_only=True)
class UnclosedClaim:
    """Claim whose request is completed, and the row that closes it.

    Parameters
    ----------
    key : str
        Key of the claim row.
    row : ClaimRow
        Final content: released or finished, with the nonce of the claim.
    """

    key: str
    row: ClaimRow


@define(kw_only=True)
class ClaimStore:
    """Claim keys, and close the claims of completed requests.

    Parameters
    ----------
    platform : PlatformClient
        Client of the table service.
    random : Random
        Source of jitter.
    supervisor : Supervisor
        Supervisor of the background tasks.

    Attributes
    ----------
    unclosed_by_nonce : dict of str to UnclosedClaim
        Claims that are still to be closed.
    dropped_closings : int
        Claims that were left open because too many were waiting to be closed.
    recent : RecentClaims
        Claims that the store loses if it returns from a copy.
    restorer : ClaimRestorer
        Writes them again.
    """

    platform: PlatformClient
    random: Random
    supervisor: Supervisor
    unclosed_by_nonce: dict[str, UnclosedClaim] = field(factory=dict)
    dropped_closings: int = 0
    recent: RecentClaims = field(factory=RecentClaims)
    restorer: ClaimRestorer = field(init=False)
    _pending: list[_PendingWrite] = field(factory=list)
    _wake: Any = field(factory=Event)
    _tasks: list[Any] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.restorer = ClaimRestorer(platform=self.platform)

    async def start(self) -> None:
        """Start the tasks that write batches and close claims."""
        self._tasks = [
            await self.supervisor.spawn(self._write_batches),
            await self.supervisor.spawn(self._close_claims),
        ]

    async def close(self) -> None:
        """Stop the tasks; claims that are not closed yet stay claimed."""
        for task in self._tasks:
            await task.cancel()
        self._tasks = []

    async def claim(
        self, *, key: str, claim_row: ClaimRow, deadline: float
    ) -> ClaimVerdict:
        """Claim a key.

        Parameters
        ----------
        key : str
            Key of the claim row.
        claim_row : ClaimRow
            Row to write.
        deadline : float
            Monotonic seconds after which the request is not run.

        Returns
        -------
        ClaimVerdict
            ``RunIt`` if this attempt provably made the claim.

        Notes
        -----
        After a return of the store no new key runs until other VMs have had the time to
        write again what the store lost, also if the answer to the claim itself is what
        tells of the return.
        """
        era = self.platform.calls.era
        left_s = era.restoring_left_s(monotonic())
        if left_s > 0:
            return StoreRestoring(left_s)
        attempt = ClaimAttempt(key=key, claim_row=claim_row)
        effects = attempt.begin()
        try:
            async with TimeLimit(max(0.0, deadline - monotonic())):
                while not isinstance(effects[-1], Settled):
                    effects = attempt.handle(await self._perform(effects[-1]))
        except TaskTimeout:
            self.close_claim(key, claim_row.released())
            effects = attempt.handle(DeadlineExceeded())
        settled = effects[-1]
        assert isinstance(settled, Settled)
        if not isinstance(settled.verdict, RunIt):
            return settled.verdict
        left_s = era.restoring_left_s(monotonic())
        if left_s > 0:
            self.close_claim(key, claim_row.released())
            return StoreRestoring(left_s)
        self.recent.record(key, claim_row, monotonic())
        return settled.verdict

    async def _perform(self, effect: WriteRow | ReadRow | Settled) -> ClaimEvent:
        match effect:
            case WriteRow(write=write):
                return await self._write(write)
            case ReadRow(key=key):
                read = await self.platform.read_row(key)
                if read.is_ok():
                    return RowRead(read.unwrap())
                await self._wait_before_retry()
                return ReadUnanswered()
            case Settled():
                raise AssertionError("a settled attempt has no further step")

    async def _wait_before_retry(self) -> None:
        await sleep(RETRY_DELAY_S * self.random.uniform(0.5, 1.5))

    async def _write(self, write: RowWrite) -> ClaimEvent:
        pending = _PendingWrite(write=write)
        self._pending.append(pending)
        await self._wake.set()
        try:
            while pending.event is None:
                await pending.done.wait()
        finally:
            if pending in self._pending:
                self._pending.remove(pending)
        return pending.event

    async def _write_batches(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending:
                await self._write_batch(self._select_batch())

    def _select_batch(self) -> list[_PendingWrite]:
        by_key: dict[str, _PendingWrite] = {}
        for pending in self._pending:
            if pending.write.key not in by_key and len(by_key) < MAX_BATCH:
                by_key[pending.write.key] = pending
        return list(by_key.values())

    async def _write_batch(self, batch: list[_PendingWrite]) -> None:
        transaction = Transaction(writes=[each.write for each in batch])
        committed = await self.platform.commit(transaction)
        if committed.is_ok():
            await self._complete_writes(batch, WriteAnswered(True))
            return
        match committed.unwrap_err():
            case ConditionFailed(keys=keys):
                failed = [each for each in batch if each.write.key in keys]
                await self._complete_writes(failed or batch, WriteAnswered(False))
            case _:
                await self._complete_writes(batch, WriteUnanswered())

    async def _complete_writes(
        self, batch: list[_PendingWrite], event: ClaimEvent
    ) -> None:
        for pending in batch:
            if pending in self._pending:
                self._pending.remove(pending)
            pending.event = event
            await pending.done.set()

    def close_claim(self, key: str, row: ClaimRow) -> None:
        """Queue a claim to be closed as soon as the platform answers.

        Parameters
        ----------
        key : str
            Key of the claim row.
        row : ClaimRow
            Final content: released or finished, with the nonce of the claim.
        """
        if len(self.unclosed_by_nonce) >= MAX_UNCLOSED:
            self.dropped_closings += 1
            return
        self.recent.record(key, row, monotonic())
        # Two attempts on one key may both be queued: each closes only its own claim.
        self.unclosed_by_nonce[row.nonce] = UnclosedClaim(key=key, row=row)

    async def _close_claims(self) -> None:
        while True:
            await sleep(CLOSE_PERIOD_S * self.random.uniform(0.8, 1.2))
            await self.restore_lost_claims()
            await self.close_ended_claims()

    async def restore_lost_claims(self) -> None:
        """Write claims again that the store has lost, as far as that is due."""
        self.restorer.begin_if_returned(self.recent, monotonic())
        await self.restorer.step(self.recent, monotonic())

    async def close_ended_claims(self) -> None:
        """Try once to close a batch of queued claims."""
        claims_by_key: dict[str, UnclosedClaim] = {}
        for claim in self.unclosed_by_nonce.values():
            if len(claims_by_key) < MAX_BATCH:
                claims_by_key.setdefault(claim.key, claim)
        if claims_by_key:
            await self._close_batch(claims_by_key)

    async def _close_batch(self, claims_by_key: dict[str, UnclosedClaim]) -> None:
        read = await self.platform.read_rows(list(claims_by_key))
        if read.is_err():
            return
        writes = []
        for key, claim in claims_by_key.items():
            row = read.unwrap()[key]
            if not needs_closing_write(row, claim.row):
                self._discard(claim)
                continue
            writes.append(row.replaced_by(claim.row.to_mapping()))
        if writes:
            await self.platform.commit(Transaction(writes=writes))

    def _discard(self, claim: UnclosedClaim) -> None:
        self.unclosed_by_nonce.pop(claim.row.nonce, None)


def needs_closing_write(row: Row, closing_row: ClaimRow) -> bool:
    """Return whether the closing row must still be written.

    Notes
    -----
    An absent row does not prove that the claim failed: its insert may take effect after
    this read. Writing the closing row makes such a late insert fail its condition.
    """
    if row.version == ABSENT:
        return True
    found = claim_row_from_mapping(row.value)
    is_mine = found.is_ok() and found.unwrap().nonce == closing_row.nonce
    return is_mine and found.unwrap().state is ClaimState.CLAIMED
