"""Grants that this entry VM holds from VMs of other regions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.endpoint import Endpoint

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.headroom_messages import HeadroomGrant
    from plankspindle_daemon.peer_messages.headroom_messages import HeadroomRequest

RENEW_BEFORE_S = 0.6


@define(kw_only=True)
class HeldGrant:
    """A grant as stored by its holder.

    Parameters
    ----------
    request_id : int
        Its number, sent along with each request that is moved under it.
    endpoint : Endpoint
        Caller listener of the VM that issued it.
    count : int
        Requests that may run there at once.
    valid_until : float
        Monotonic seconds, counted from the time of this VM's request for it.
    running : int
        Running requests that were moved under it.
    """

    request_id: int
    endpoint: Endpoint
    count: int
    valid_until: float
    running: int = 0


@define(kw_only=True)
class _PendingRequest:
    service: str
    region: str
    endpoint: Endpoint
    at: float


@define(kw_only=True)
class GrantTable:
    """Held grants by service and region.

    Parameters
    ----------
    incarnation : int
        Incarnation of this process; grants to another one are ignored.
    """

    incarnation: int
    missed: int = 0
    _pending_by_id: dict[int, _PendingRequest] = field(factory=dict)
    _held_by_target: dict[tuple[str, str], list[HeldGrant]] = field(factory=dict)
    _misses_by_target: dict[tuple[str, str], int] = field(factory=dict)

    def record_request(
        self, request: HeadroomRequest, *, region: str, endpoint: Endpoint, now: float
    ) -> None:
        """Record a headroom request; grants without one are ignored."""
        oldest_valid_at = now - request.duration_ms / 1000
        self._pending_by_id = {
            number: pending
            for number, pending in self._pending_by_id.items()
            if pending.at > oldest_valid_at
        }
        self._pending_by_id[request.request_id] = _PendingRequest(
            service=request.service, region=region, endpoint=endpoint, at=now
        )

    def accept_grant(self, grant: HeadroomGrant, now: float) -> None:
        """Store a grant, at most one for each request."""
        pending = self._pending_by_id.pop(grant.request_id, None)
        if pending is None or grant.holder_incarnation != self.incarnation:
            return
        held = HeldGrant(
            request_id=grant.request_id,
            endpoint=pending.endpoint,
            count=grant.count,
            valid_until=pending.at + grant.duration_ms / 1000,
        )
        if held.valid_until > now:
            target = (pending.service, pending.region)
            self._held_by_target.setdefault(target, []).append(held)

    def acquire(self, *, service: str, region: str, now: float) -> HeldGrant | None:
        """Count a moved request under a grant that has spare capacity.

        Returns
        -------
        HeldGrant or None
            None if no grant has spare capacity; the request then stays on this VM.
        """
        target = (service, region)
        held = [
            each
            for each in self._held_by_target.get(target, [])
            if each.valid_until > now or each.running
        ]
        self._held_by_target[target] = held
        for each in held:
            if each.valid_until > now and each.running < each.count:
                each.running += 1
                return each
        self.missed += 1
        self._misses_by_target[target] = self._misses_by_target.get(target, 0) + 1
        return None

    def release(self, held: HeldGrant) -> None:
        """Count the completion of a moved request."""
        held.running = max(0, held.running - 1)

    def take_demand(self, *, service: str, region: str, now: float) -> int:
        """Return how many more requests could be moved at once, and reset the count.

        Parameters
        ----------
        service, region : str
            Service and target region of the grants.
        now : float
            Monotonic seconds.

        Returns
        -------
        int
            Requests that found no spare capacity since the last call; if there were
            none, the running requests under grants that expire soon.
        """
        target = (service, region)
        misses = self._misses_by_target.pop(target, 0)
        if misses:
            return misses
        return sum(
            each.running
            for each in self._held_by_target.get(target, [])
            if each.valid_until - now < RENEW_BEFORE_S
        )

    def discard_all(self) -> None:
        """Discard all grants, which are unreliable after a pause of the process."""
        self._pending_by_id.clear()
        self._held_by_target.clear()
