"""State machine of one attempt to claim an idempotency key."""

from __future__ import annotations

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.idempotency.claim_row import ClaimRow
from plankspindle_daemon.idempotency.claim_row import ClaimState
from plankspindle_daemon.idempotency.claim_row import claim_row_from_mapping
from plankspindle_daemon.idempotency.verdicts import AnsweredUnrecorded
from plankspindle_daemon.idempotency.verdicts import ClaimVerdict
from plankspindle_daemon.idempotency.verdicts import InProgress
from plankspindle_daemon.idempotency.verdicts import Mismatch
from plankspindle_daemon.idempotency.verdicts import Replay
from plankspindle_daemon.idempotency.verdicts import RunIt
from plankspindle_daemon.idempotency.verdicts import StoreUnavailable
from plankspindle_daemon.platform.table import ABSENT
from plankspindle_daemon.platform.table import Row
from plankspindle_daemon.platform.table import RowWrite


@frozen
class WriteAnswered:
    """The conditional write took effect, or failed on its condition."""

    took_effect: bool


@frozen
class WriteUnanswered:
    """No answer came; the write may have taken effect."""


@frozen
class RowRead:
    """The row was read."""

    row: Row


@frozen
class ReadUnanswered:
    """The row could not be read."""


@frozen
class DeadlineExceeded:
    """The time of the request is used up."""


ClaimEvent = (
    WriteAnswered | WriteUnanswered | RowRead | ReadUnanswered | DeadlineExceeded
)


@frozen
class WriteRow:
    """Make a conditional write."""

    write: RowWrite


@frozen
class ReadRow:
    """Read the row."""

    key: str


@frozen
class Settled:
    """The attempt is over."""

    verdict: ClaimVerdict


ClaimEffect = WriteRow | ReadRow | Settled


@define(kw_only=True)
class ClaimAttempt:
    """Claim a key by a conditional insert, settling lost answers by reading back.

    Parameters
    ----------
    key : str
        Row to claim.
    claim_row : ClaimRow
        Row to write, with a nonce of this attempt.

    Notes
    -----
    The write is repeated only after a read has shown that it did not take effect, and
    with the same condition and nonce, so a delayed first write that still lands makes
    the repeat fail and the next read find the nonce.
    """

    key: str
    claim_row: ClaimRow
    expected_version: int = ABSENT
    done: bool = False

    def begin(self) -> list[ClaimEffect]:
        """Start with the write, assuming that the key is new."""
        return [self._write()]

    def handle(self, event: ClaimEvent) -> list[ClaimEffect]:
        """Take one event and give the next step."""
        match event:
            case WriteAnswered(took_effect=True):
                return self._settle(RunIt())
            case WriteAnswered() | WriteUnanswered():
                return [ReadRow(self.key)]
            case RowRead(row=row):
                return self._take_row(row)
            case ReadUnanswered():
                return [ReadRow(self.key)]
            case DeadlineExceeded():
                return self._settle(StoreUnavailable())

    def _write(self) -> ClaimEffect:
        return WriteRow(
            RowWrite(
                key=self.key,
                expected_version=self.expected_version,
                value=self.claim_row.to_mapping(),
            )
        )

    def _take_row(self, row: Row) -> list[ClaimEffect]:
        if row.version == ABSENT:
            self.expected_version = ABSENT
            return [self._write()]
        decoded = claim_row_from_mapping(row.value)
        if decoded.is_err():
            return self._settle(InProgress())
        found = decoded.unwrap()
        if found.nonce == self.claim_row.nonce:
            return self._settle(RunIt())
        if found.fingerprint != self.claim_row.fingerprint:
            return self._settle(Mismatch())
        return self._take_other_attempt(row, found)

    def _take_other_attempt(self, row: Row, found: ClaimRow) -> list[ClaimEffect]:
        match found.state:
            case ClaimState.CLAIMED:
                return self._settle(InProgress())
            case ClaimState.RELEASED:
                self.expected_version = row.version
                return [self._write()]
            case ClaimState.FINISHED if found.answer is None:
                return self._settle(AnsweredUnrecorded())
            case ClaimState.FINISHED:
                assert found.answer is not None
                return self._settle(Replay(found.answer))

    def _settle(self, verdict: ClaimVerdict) -> list[ClaimEffect]:
        self.done = True
        return [Settled(verdict)]
