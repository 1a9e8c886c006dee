"""Messages by which entry VMs of a failure domain lend slots to each other."""

from __future__ import annotations

from plankspindle_core.classes import frozen


@frozen(kw_only=True)
class SlotRequest:
    """Request a loan of slots.

    Parameters
    ----------
    sender : str
        Name of the borrower.
    request_id : int
        Random id, repeated in the grant.
    upstream : str
        Upstream whose slots are requested.
    count : int
        Requested number of slots.
    duration_ms : int
        Requested duration of the loan.
    incarnation : int
        Incarnation of the borrowing process.
    """

    sender: str
    request_id: int
    upstream: str
    count: int
    duration_ms: int
    incarnation: int


@frozen(kw_only=True)
class SlotGrant:
    """Grant a loan of slots for a limited time.

    Parameters
    ----------
    sender : str
        Name of the lender.
    request_id : int
        Id of the request that it answers.
    upstream : str
        Upstream whose slots are lent.
    count : int
        Number of slots; zero denies the request.
    duration_ms : int
        Duration of the loan, counted by the borrower from the sending of its request.
    borrower_incarnation : int
        Incarnation of the only process that may use the grant.
    """

    sender: str
    request_id: int
    upstream: str
    count: int
    duration_ms: int
    borrower_incarnation: int
