"""Headroom that this entry VM has promised to VMs of other failure domains."""

from __future__ import annotations

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.invariants import check_invariant

RESERVE_SHARE = 0.25
"""Share of the capacity that is never granted, so that own callers of a higher class
find slots at once."""


@define(kw_only=True)
class IssuedGrant:
    """A grant as the granting side keeps it.

    Parameters
    ----------
    count : int
        Requests that may run at once.
    valid_until : float
        Monotonic seconds after which none may start.
    running : int
        Requests that run under it.
    """

    count: int
    valid_until: float
    running: int = 0

    def unused(self, now: float) -> int:
        """Requests that may still start."""
        return self.count - self.running if now < self.valid_until else 0


@define(kw_only=True)
class HeadroomLedger:
    """Promises of one service on this VM, by request id.

    Notes
    -----
    Only own counts are used. The promises that are not used yet and all running
    requests together never pass the capacity less the reserve, at the time of a grant.
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
        """Promise headroom.

        Parameters
        ----------
        request_id : int
            Request of the other side; a repeated one gets nothing more.
        requested : int
            Requests asked for.
        capacity, in_flight : int
            Slots usable on this VM, and requests running on them.
        now, valid_until : float
            Monotonic seconds.

        Returns
        -------
        int
            Requests promised, maybe zero.
        """
        self._expire(now)
        if request_id in self.issued_by_id:
            return 0
        grantable = int(capacity * (1.0 - RESERVE_SHARE))
        promised = sum(each.unused(now) for each in self.issued_by_id.values())
        count = max(0, min(requested, grantable - in_flight - promised))
        if count == 0:
            self.refused += 1
            return 0
        self.issued_by_id[request_id] = IssuedGrant(
            count=count, valid_until=valid_until
        )
        self.granted += count
        check_invariant(
            "grants-within-headroom",
            in_flight + promised + count <= grantable,
            f"{in_flight} run, {promised} + {count} promised of {grantable}",
        )
        return count

    def begin(self, request_id: int, now: float) -> bool:
        """Start a moved request under a promise; False if none allows it."""
        promise = self.issued_by_id.get(request_id)
        if promise is None or promise.unused(now) < 1:
            return False
        promise.running += 1
        return True

    def end(self, request_id: int) -> None:
        """End a moved request."""
        promise = self.issued_by_id.get(request_id)
        if promise is not None:
            promise.running = max(0, promise.running - 1)

    def _expire(self, now: float) -> None:
        self.issued_by_id = {
            number: promise
            for number, promise in self.issued_by_id.items()
            if now < promise.valid_until or promise.running
        }
