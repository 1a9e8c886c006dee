"""What must learn how a request ended: nothing, an issued id, or a claim."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from plankspindle_core.classes import define
from plankspindle_daemon.idempotency.claim_row import ClaimRow
from plankspindle_daemon.idempotency.claim_store import ClaimStore
from plankspindle_daemon.idempotency.issued_ids import IssuedIds

if TYPE_CHECKING:
    from plankspindle_daemon.idempotency.recorded_answer import RecordedAnswer


class RequestRecord(Protocol):
    """Learns the steps of one request."""

    def record_started(self) -> None:
        """Learn that the request is about to reach an upstream."""

    def record_not_run(self) -> None:
        """Learn of a proof that what was started did not run."""

    def release(self) -> None:
        """Learn that the caller is told ``not-run``."""

    def finish(self, answer: RecordedAnswer | None) -> None:
        """Learn that a complete answer came; None if it was too long to keep."""


class NoRecord:
    """Record of a request without id or key."""

    def record_started(self) -> None:
        """Do nothing."""

    def record_not_run(self) -> None:
        """Do nothing."""

    def release(self) -> None:
        """Do nothing."""

    def finish(self, answer: RecordedAnswer | None) -> None:
        """Do nothing."""


@define(kw_only=True)
class IdRecord:
    """Record of a request with an id issued here.

    Parameters
    ----------
    ids : IssuedIds
        Memory of this process.
    request_id : str
        The id.
    """

    ids: IssuedIds
    request_id: str

    def record_started(self) -> None:
        """Assert that the id is not running yet."""
        self.ids.record_started(self.request_id)

    def record_not_run(self) -> None:
        """Allow the id to be started once more."""
        self.ids.record_not_run(self.request_id)

    def release(self) -> None:
        """Free the id for a later try of the caller."""
        self.ids.release(self.request_id)

    def finish(self, answer: RecordedAnswer | None) -> None:
        """Keep the answer for repeats."""
        self.ids.finish(self.request_id, answer)


@define(kw_only=True)
class ClaimRecord:
    """Record of a request with a key claimed at the table service.

    Parameters
    ----------
    store : ClaimStore
        Writer of the claim's end.
    key : str
        Row of the claim.
    row : ClaimRow
        Its content as claimed.
    """

    store: ClaimStore
    key: str
    row: ClaimRow

    def record_started(self) -> None:
        """Do nothing: the claim stands before the request is sent."""

    def record_not_run(self) -> None:
        """Do nothing: the claim stands until the request is given up."""

    def release(self) -> None:
        """Have the key freed for a later try of the caller."""
        self.store.close_claim(self.key, self.row.released())

    def finish(self, answer: RecordedAnswer | None) -> None:
        """Have the answer kept for repeats."""
        self.store.close_claim(self.key, self.row.finished(answer))
