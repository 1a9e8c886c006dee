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
    """The write was not answered; it may have taken effect."""


@frozen
class RowRead:
    """The row was read."""

    row: Row


@frozen
class ReadUnanswered:
    """The row could not be read."""


@frozen
class DeadlineExceeded:
    """The deadline of the request has passed."""


ClaimEvent = (
    WriteAnswered | WriteUnanswered | RowRead | ReadUnanswered | DeadlineExceeded
)


@frozen
class WriteRow:
    """Write the row conditionally."""

    write: RowWrite


@frozen
class ReadRow:
    """Read the row."""

    key: str


@frozen
class Settled:
    """The attempt is completed."""

    verdict: ClaimVerdict


ClaimEffect = WriteRow | ReadRow | Settled


@define(kw_only=True)
class ClaimAttempt:
    """Claim a key by a conditional insert; read the row if the answer is lost.

    Parameters
    ----------
    key : str
        Key of the row to claim.
    claim_row : ClaimRow
        Row to write, with the nonce of this attempt.

    Notes
    -----
    The write is repeated only after a read has shown that it did not take effect. The
    repeat has the same condition and nonce: if a delayed first write takes effect after
    all, the repeat fails and the next read finds the nonce.
    """

    key: str
    claim_row: ClaimRow
    replaced_row: Row | None = None
    done: bool = False

    def begin(self) -> list[ClaimEffect]:
        """Return the first step: an insert, on the assumption that the key is new."""
        return [self._write()]

    def handle(self, event: ClaimEvent) -> list[ClaimEffect]:
        """Handle one event and return the next step."""
        match event:
            case WriteAnswered(took_effect=True):
                return self._settle(RunIt())
            case WriteAnswered() | WriteUnanswered():
                return [ReadRow(self.key)]
            case RowRead(row=row):
                return self._handle_row(row)
            case ReadUnanswered():
                return [ReadRow(self.key)]
            case DeadlineExceeded():
                return self._settle(StoreUnavailable())

    def _write(self) -> ClaimEffect:
        replaced = self.replaced_row or Row(key=self.key, version=ABSENT)
        return WriteRow(replaced.replaced_by(self.claim_row.to_mapping()))

    def _handle_row(self, row: Row) -> list[ClaimEffect]:
        if row.version == ABSENT:
            self.replaced_row = None
            return [self._write()]
        decoded = claim_row_from_mapping(row.value)
        if decoded.is_err():
            return self._settle(InProgress())
        found = decoded.unwrap()
        if found.nonce == self.claim_row.nonce:
            return self._settle(RunIt())
        if found.fingerprint != self.claim_row.fingerprint:
            return self._settle(Mismatch())
        return self._handle_other_claim(row, found)

    def _handle_other_claim(self, row: Row, found: ClaimRow) -> list[ClaimEffect]:
        match found.state:
            case ClaimState.CLAIMED:
                return self._settle(InProgress())
            case ClaimState.RELEASED:
                self.replaced_row = row
                return [self._write()]
            case ClaimState.FINISHED if found.answer is None:
                return self._settle(AnsweredUnrecorded())
            case ClaimState.FINISHED:
                assert found.answer is not None
                return self._settle(Replay(found.answer))

    def _settle(self, verdict: ClaimVerdict) -> list[ClaimEffect]:
        self.done = True
        return [Settled(verdict)]
