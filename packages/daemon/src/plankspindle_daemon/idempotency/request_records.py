"""Idempotency records of requests: none, an issued id, or a claimed key."""

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
    """Record of the progress of one request."""

    def record_started(self) -> None:
        """Record that the request is about to be sent."""

    def record_not_run(self) -> None:
        """Record that the request that was sent provably did not run."""

    def release(self) -> None:
        """Release the id or key, since the caller is answered ``not-run``."""

    def finish(self, answer: RecordedAnswer | None) -> None:
        """Record a complete answer; None if it was too long to keep."""


class NoRecord:
    """Empty record, for a request without id or key."""

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
    """Record of a request with an id that this process issued.

    Parameters
    ----------
    ids : IssuedIds
        Ids issued by this process.
    request_id : str
        The id.
    """

    ids: IssuedIds
    request_id: str

    def record_started(self) -> None:
        """Record the start, and assert that the request is not running yet."""
        self.ids.record_started(self.request_id)

    def record_not_run(self) -> None:
        """Allow the request to be sent again."""
        self.ids.record_not_run(self.request_id)

    def release(self) -> None:
        """Release the id for a later retry of the caller."""
        self.ids.release(self.request_id)

    def finish(self, answer: RecordedAnswer | None) -> None:
        """Record the answer for repeats."""
        self.ids.finish(self.request_id, answer)


@define(kw_only=True)
class ClaimRecord:
    """Record of a request with a key claimed in the table service.

    Parameters
    ----------
    store : ClaimStore
        Store that closes the claim.
    key : str
        Key of the claim row.
    row : ClaimRow
        Content of the row when it was claimed.
    """

    store: ClaimStore
    key: str
    row: ClaimRow

    def record_started(self) -> None:
        """Do nothing: the key is claimed before the request is sent."""

    def record_not_run(self) -> None:
        """Do nothing: the key stays claimed until the request is completed."""

    def release(self) -> None:
        """Queue the release of the key, for a later retry of the caller."""
        self.store.close_claim(self.key, self.row.released())

    def finish(self, answer: RecordedAnswer | None) -> None:
        """Queue the recording of the answer for repeats."""
        self.store.close_claim(self.key, self.row.finished(answer))
