"""Claims of this VM that the platform's store may lose by returning from a copy."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.idempotency.claim_row import ClaimRow
from plankspindle_daemon.idempotency.claim_row import ClaimState
from plankspindle_daemon.idempotency.claim_row import claim_row_from_mapping
from plankspindle_daemon.platform.table import ABSENT
from plankspindle_daemon.versions.store_era import MAX_COPY_AGE_S

if TYPE_CHECKING:
    from plankspindle_daemon.platform.table import Row

MAX_RECENT_CLAIMS = 2_000
"""Most claims that are remembered; with answers of 4 KB they take 8 MB."""


@frozen
class IsStored:
    """The store has the claim as it is, so nothing has to be written."""


@frozen
class MustBeWritten:
    """The store lacks the claim, or has an earlier state of it."""


@frozen
class IsHeldByOther:
    """Another attempt holds the key for now; it may still release it."""


@frozen
class HasRunElsewhere:
    """Another attempt with the key has run since the claim was lost."""


RestoreStep = IsStored | MustBeWritten | IsHeldByOther | HasRunElsewhere


@define(kw_only=True)
class RecentClaims:
    """The last state of each claim that this VM made or closed recently.

    Attributes
    ----------
    forgotten : int
        Claims that were dropped early, since too many were recent.
    """

    forgotten: int = 0
    _claims_by_key: OrderedDict[str, tuple[ClaimRow, float]] = Factory(OrderedDict)

    def record(self, key: str, row: ClaimRow, now: float) -> None:
        """Record a claim that was made or closed.

        Parameters
        ----------
        key : str
            Key of the claim row.
        row : ClaimRow
            Its content.
        now : float
            Monotonic seconds.
        """
        known = self._claims_by_key.get(key)
        if known is not None and _has_run(known[0]) and known[0].nonce != row.nonce:
            # A later attempt was answered from the row and closes only itself.
            return
        self._claims_by_key[key] = (row, now)
        self._claims_by_key.move_to_end(key)
        self._expire(now)

    def _expire(self, now: float) -> None:
        while self._claims_by_key:
            key, (_, at) = next(iter(self._claims_by_key.items()))
            if now - at <= MAX_COPY_AGE_S:
                break
            del self._claims_by_key[key]
        while len(self._claims_by_key) > MAX_RECENT_CLAIMS:
            self._claims_by_key.popitem(last=False)
            self.forgotten += 1

    def recent(self, now: float) -> dict[str, ClaimRow]:
        """Return the claims that a copy may lack, by the key of their row."""
        self._expire(now)
        return {key: row for key, (row, _) in self._claims_by_key.items()}


def next_step(found: Row, claim: ClaimRow) -> RestoreStep:
    """Return what restoring a claim takes.

    Parameters
    ----------
    found : Row
        The row as read after the return.
    claim : ClaimRow
        The last state of the claim that this VM knows.
    """
    if found.version == ABSENT:
        return IsStored() if claim.state is ClaimState.RELEASED else MustBeWritten()
    decoded = claim_row_from_mapping(found.value)
    if decoded.is_err():
        return IsHeldByOther()
    stored = decoded.unwrap()
    if stored.nonce == claim.nonce:
        return IsStored() if stored.state is claim.state else MustBeWritten()
    if claim.state is ClaimState.RELEASED:
        return IsStored()
    match stored.state:
        case ClaimState.RELEASED:
            return MustBeWritten()
        case ClaimState.CLAIMED:
            return IsHeldByOther()
        case ClaimState.FINISHED:
            return HasRunElsewhere()


def _has_run(row: ClaimRow) -> bool:
    return row.state is not ClaimState.RELEASED
