"""Slots of one upstream as this entry VM may use them."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.invariants import check_invariant


@frozen(kw_only=True)
class Loan:
    """Slots that change hands until a time.

    Parameters
    ----------
    request_id : int
        Request that the loan answers.
    count : int
        Number of slots.
    until : float
        End in monotonic seconds of this process.
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
        Slots this VM may use on its own account.
    deadlines_by_ticket : dict of int to float
        End of each running request, monotonic seconds.
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
        """Slots of the own share that are not lent out."""
        self._expire(now)
        return max(0, self.share - sum(loan.count for loan in self._lent))

    def allowance(self, now: float, deadline: float) -> int:
        """Slots usable by a request that ends by a deadline.

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
        """Tell whether more runs, here or on slots lent out, than is allowed now."""
        self._expire(now)
        lent = sum(loan.count for loan in self._lent)
        borrowed = sum(loan.count for loan in self._borrowed)
        return self.in_flight + lent > self.share + borrowed

    def start(self, *, ticket: int, now: float, deadline: float) -> None:
        """Count a request that starts."""
        allowed = self.allowance(now, deadline)
        check_invariant(
            "slots-within-allowance",
            self.in_flight < allowed,
            f"{self.in_flight} run, {allowed} are allowed",
        )
        check_invariant("share-within-slots", self.share <= self.slots)
        self.deadlines_by_ticket[ticket] = deadline

    def finish(self, *, ticket: int) -> None:
        """Stop counting a request."""
        self.deadlines_by_ticket.pop(ticket, None)

    def shrink_share(self, share: int) -> None:
        """Take a smaller share at once; a larger one is left for :meth:`grow_share`."""
        self.share = min(self.share, share)

    def grow_share(self, share: int) -> None:
        """Take a larger share, once no other member can still use its slots.

        Notes
        -----
        Loans end with it: the lender may have left, and its slots are part of the
        larger share.
        """
        if share > self.share:
            self.share = share
            self._borrowed.clear()

    def lend(self, *, request_id: int, count: int, now: float, until: float) -> int:
        """Lend idle slots of the own share.

        Parameters
        ----------
        request_id : int
            Request of the borrower; a repeated one is lent nothing more.
        count : int
            Slots asked for.
        now, until : float
            Monotonic seconds.

        Returns
        -------
        int
            Slots lent, maybe zero. They are idle until the loan ends even if the
            grant is lost.
        """
        if any(loan.request_id == request_id for loan in self._lent):
            return 0
        idle = self.own_allowance(now) - self.in_flight
        lent = max(0, min(count, idle))
        if lent:
            self._lent.append(Loan(request_id=request_id, count=lent, until=until))
        return lent

    def borrow(self, loan: Loan, now: float) -> None:
        """Take a loan that was granted; each request is granted once."""
        self._expire(now)
        known = any(each.request_id == loan.request_id for each in self._borrowed)
        if loan.until > now and not known:
            self._borrowed.append(loan)

    def release_all(self) -> None:
        """Give up share and loans, since others may have taken them in a pause.

        Running requests stay counted, and slots that were lent stay lent.
        """
        self.share = 0
        self._borrowed.clear()

    def _expire(self, now: float) -> None:
        if self._lent:
            self._lent = [loan for loan in self._lent if loan.until > now]
        if self._borrowed:
            self._borrowed = [loan for loan in self._borrowed if loan.until > now]
