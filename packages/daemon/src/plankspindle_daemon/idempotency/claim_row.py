"""Row of the table service with the claim of one idempotency key."""

from __future__ import annotations

import hashlib
from enum import Enum
from typing import Any

from attrs import evolve
from result import Err
from result import Ok
from result import Result

from plankspindle_core.classes import frozen
from plankspindle_core.errors import Unreadable
from plankspindle_daemon.idempotency.fingerprint import Fingerprint
from plankspindle_daemon.idempotency.recorded_answer import RecordedAnswer
from plankspindle_daemon.idempotency.recorded_answer import answer_from_mapping

CLAIM_PREFIX = "claims/"
"""Prefix of the keys of claim rows; a digest follows, which spreads them evenly."""


class ClaimState(Enum):
    """State of the request with an idempotency key."""

    CLAIMED = "claimed"
    RELEASED = "released"
    FINISHED = "finished"


@frozen(kw_only=True)
class ClaimRow:
    """Content of a claim row.

    Parameters
    ----------
    fingerprint : Fingerprint
        Fingerprint of the caller and request that the key belongs to.
    nonce : str
        Random text of the attempt that claimed the key.
    state : ClaimState
        State of the claim. ``CLAIMED`` has no timeout: only the holder changes it.
    expires_at : float
        Earliest time of removal, seconds since the Unix epoch.
    answer : RecordedAnswer, optional
        Answer of a finished request, if it was short enough to record.
    """

    fingerprint: Fingerprint
    nonce: str
    state: ClaimState
    expires_at: float
    answer: RecordedAnswer | None = None

    def released(self) -> ClaimRow:
        """Return the row for a request that provably was not run."""
        return evolve(self, state=ClaimState.RELEASED)

    def finished(self, answer: RecordedAnswer | None) -> ClaimRow:
        """Return the row for a request that was answered."""
        return evolve(self, state=ClaimState.FINISHED, answer=answer)

    def to_mapping(self) -> dict[str, Any]:
        """Return the mapping that is stored in the table service."""
        return {
            "caller": self.fingerprint.caller,
            "digest": self.fingerprint.digest,
            "nonce": self.nonce,
            "state": self.state.value,
            "expires_at": self.expires_at,
            "answer": None if self.answer is None else self.answer.to_mapping(),
        }


def claim_row_from_mapping(mapping: Any) -> Result[ClaimRow, Unreadable]:
    """Decode a mapping from the table service."""
    try:
        recorded = mapping["answer"]
        answer = None
        if recorded is not None:
            decoded = answer_from_mapping(recorded)
            if decoded.is_err():
                return Err(decoded.unwrap_err())
            answer = decoded.unwrap()
        return Ok(
            ClaimRow(
                fingerprint=Fingerprint(
                    caller=mapping["caller"], digest=mapping["digest"]
                ),
                nonce=mapping["nonce"],
                state=ClaimState(mapping["state"]),
                expires_at=float(mapping["expires_at"]),
                answer=answer,
            )
        )
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        return Err(Unreadable(repr(error)))


def claim_key(*, service: str, idempotency_key: str) -> str:
    """Return the key of the row for an idempotency key.

    Parameters
    ----------
    service : str
        Name of the requested service.
    idempotency_key : str
        Key that the caller chose.
    """
    qualified_key = f"{service}/{idempotency_key}".encode("latin-1", "replace")
    return CLAIM_PREFIX + hashlib.sha256(qualified_key).hexdigest()
