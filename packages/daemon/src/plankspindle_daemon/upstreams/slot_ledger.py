"""Slots of one upstream that this entry VM may use."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.invariants import check_invariant


@frozen(kw_only=True)
class Loan:
    """Slots lent by one VM to another until a time.

    Parameters
    ----------
    request_id : int
        Loan request that was granted.
    count : int
        Number of slots.
    until : float
        End of the loan, monotonic seconds of this process.
    """

    request_id: int
    count: int
    until: float


@define(kw_only=True)
class SlotLedger:
    """Count of running requests against share and loans.

    Parameters
    ----------
    slots : int
        Slots of the upstream, all members together.

    Attributes
    ----------
    share : int
        Slots of this VM's own share.
    deadlines_by_ticket : dict of int to float
        Deadline of each running request, monotonic seconds.
    """

    slots: int
    share: int = 0
    deadlines_by_ticket: dict[int, float] = Factory(dict)
    _lent: list[Loan] = Factory(list)
    _borrowed: list[Loan] = Factory(list)

    @property
    def in_flight(self) -> int:
        """Running requests."""
        return len(self.deadlines_by_ticket)

    def own_allowance(self, now: float) -> int:
        """Return the slots of the own share that are not lent."""
        self._expire(now)
        return max(0, self.share - sum(loan.count for loan in self._lent))

    def allowance(self, now: float, deadline: float) -> int:
        """Return the slots usable by a request with a deadline.

        Parameters
        ----------
        now, deadline : float
            Monotonic seconds.

        Returns
        -------
        int
            Own slots that are not lent, and borrowed ones whose loan outlives the
            deadline.
        """
        own = self.own_allowance(now)
        return own + sum(
            loan.count for loan in self._borrowed if loan.until >= deadline
        )

    def is_over_share(self, now: float) -> bool:
        """Return whether more slots are in use, here or lent, than are allowed now."""
        self._expire(now)
        lent = sum(loan.count for loan in self._lent)
        borrowed = sum(loan.count for loan in self._borrowed)
        return self.in_flight + lent > self.share + borrowed

    def start(
        self, *, ticket: int, now: float, deadline: float, is_upload: bool = False
    ) -> None:
        """Record the start of a request."""
        del is_upload
        allowed = self.allowance(now, deadline)
        check_invariant(
            "slots-within-allowance",
            self.in_flight < allowed,
            f"{self.in_flight} requests running, {allowed} allowed",
        )
        check_invariant("share-within-slots", self.share <= self.slots)
        self.deadlines_by_ticket[ticket] = deadline

    def finish(self, *, ticket: int) -> None:
        """Remove a request from the running ones."""
        self.deadlines_by_ticket.pop(ticket, None)

    def shrink_share(self, share: int) -> None:
        """Apply a smaller share at once; a larger one needs :meth:`grow_share`."""
        self.share = min(self.share, share)

    def grow_share(self, share: int) -> None:
        """Apply a larger share, once no other member can still use its slots.

        Notes
        -----
        This ends all loans to this VM: the lender may have left, and its slots are then
        part of the larger share.
        """
        if share > self.share:
            self.share = share
            self._borrowed.clear()

    def lend(self, *, request_id: int, count: int, now: float, until: float) -> int:
        """Lend idle slots of the own share.

        Parameters
        ----------
        request_id : int
            Loan request of the borrower; a repeated one is granted no further slots.
        count : int
            Slots requested.
        now, until : float
            Monotonic seconds.

        Returns
        -------
        int
            Slots lent, possibly zero. They stay reserved until the loan ends, even if
            the grant message is lost.
        """
        if any(loan.request_id == request_id for loan in self._lent):
            return 0
        idle = self.own_allowance(now) - self.in_flight
        lent = max(0, min(count, idle))
        if lent:
            self._lent.append(Loan(request_id=request_id, count=lent, until=until))
        return lent

    def borrow(self, loan: Loan, now: float) -> None:
        """Add a granted loan; a repeated grant of the same request is ignored."""
        self._expire(now)
        is_repeated = any(each.request_id == loan.request_id for each in self._borrowed)
        if loan.until > now and not is_repeated:
            self._borrowed.append(loan)

    def release_all(self) -> None:
        """Release the own share and borrowed slots, as after a pause of the process.

        Other VMs may have taken them meanwhile.

        Running requests stay counted, and slots that were lent stay lent.
        """
        self.share = 0
        self._borrowed.clear()

    def _expire(self, now: float) -> None:
        if self._lent:
            self._lent = [loan for loan in self._lent if loan.until > now]
        if self._borrowed:
            self._borrowed = [loan for loan in self._borrowed if loan.until > now]
