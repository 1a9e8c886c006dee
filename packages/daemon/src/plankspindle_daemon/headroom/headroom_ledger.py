"""Headroom that this entry VM has granted to VMs of other failure domains."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.invariants import check_invariant

RESERVE_SHARE = 0.25
"""Share of the capacity that is never granted.

It keeps slots free for requests of a higher class from local callers, which then need
not wait.
"""


@define(kw_only=True)
class IssuedGrant:
    """A grant as stored by the VM that issued it.

    Parameters
    ----------
    count : int
        Requests that may run at once.
    valid_until : float
        Monotonic seconds after which no request may start.
    running : int
        Requests that run under it.
    """

    count: int
    valid_until: float
    running: int = 0

    def unused(self, now: float) -> int:
        """Return the number of requests that may still start."""
        return self.count - self.running if now < self.valid_until else 0


@define(kw_only=True)
class HeadroomLedger:
    """Issued grants of one service on this VM, by request id.

    Notes
    -----
    Only counts of this VM are used. At the time of a grant, the unused parts of all
    grants and all running requests together never exceed the capacity less the reserve.
    """

    issued_by_id: dict[int, IssuedGrant] = Factory(dict)
    granted: int = 0
    refused: int = 0

    def grant(
        self,
        *,
        request_id: int,
        requested: int,
        capacity: int,
        in_flight: int,
        now: float,
        valid_until: float,
    ) -> int:
        """Grant headroom.

        Parameters
        ----------
        request_id : int
            Id of the headroom request; a repeated one is granted nothing more.
        requested : int
            Requests that the holder wants to move.
        capacity, in_flight : int
            Usable slots on this VM, and requests running on them.
        now, valid_until : float
            Monotonic seconds.

        Returns
        -------
        int
            Requests granted, possibly zero.
        """
        self._expire(now)
        if request_id in self.issued_by_id:
            return 0
        grantable = int(capacity * (1.0 - RESERVE_SHARE))
        unused = sum(each.unused(now) for each in self.issued_by_id.values())
        count = max(0, min(requested, grantable - in_flight - unused))
        if count == 0:
            self.refused += 1
            return 0
        self.issued_by_id[request_id] = IssuedGrant(
            count=count, valid_until=valid_until
        )
        self.granted += count
        check_invariant(
            "grants-within-headroom",
            in_flight + unused + count <= grantable,
            f"{in_flight} in flight + {unused} unused + {count} granted of {grantable}",
        )
        return count

    def begin(self, request_id: int, now: float) -> bool:
        """Start a moved request under a grant; return False if no grant allows it."""
        issued = self.issued_by_id.get(request_id)
        if issued is None or issued.unused(now) < 1:
            return False
        issued.running += 1
        return True

    def end(self, request_id: int) -> None:
        """Count the completion of a moved request."""
        issued = self.issued_by_id.get(request_id)
        if issued is not None:
            issued.running = max(0, issued.running - 1)

    def _expire(self, now: float) -> None:
        self.issued_by_id = {
            number: issued
            for number, issued in self.issued_by_id.items()
            if now < issued.valid_until or issued.running
        }
