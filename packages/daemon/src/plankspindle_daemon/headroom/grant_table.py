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
    """A grant as its holder keeps it.

    Parameters
    ----------
    request_id : int
        Its number, sent along with each request moved under it.
    endpoint : Endpoint
        Caller listener of the VM that granted it.
    count : int
        Requests that may run there at once.
    valid_until : float
        Monotonic seconds, counted from the own request.
    running : int
        Requests moved under it that still run.
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
        Number of this process; grants to another one are dropped.
    """

    incarnation: int
    missed: int = 0
    _pending_by_id: dict[int, _PendingRequest] = field(factory=dict)
    _held_by_target: dict[tuple[str, str], list[HeldGrant]] = field(factory=dict)
    _misses_by_target: dict[tuple[str, str], int] = field(factory=dict)

    def record_request(
        self, request: HeadroomRequest, *, region: str, endpoint: Endpoint, now: float
    ) -> None:
        """Remember a request, so that only its answer is believed."""
        horizon = now - request.duration_ms / 1000
        self._pending_by_id = {
            number: asked
            for number, asked in self._pending_by_id.items()
            if asked.at > horizon
        }
        self._pending_by_id[request.request_id] = _PendingRequest(
            service=request.service, region=region, endpoint=endpoint, at=now
        )

    def accept_grant(self, grant: HeadroomGrant, now: float) -> None:
        """Keep a grant, each request once."""
        asked = self._pending_by_id.pop(grant.request_id, None)
        if asked is None or grant.holder_incarnation != self.incarnation:
            return
        held = HeldGrant(
            request_id=grant.request_id,
            endpoint=asked.endpoint,
            count=grant.count,
            valid_until=asked.at + grant.duration_ms / 1000,
        )
        if held.valid_until > now:
            target = (asked.service, asked.region)
            self._held_by_target.setdefault(target, []).append(held)

    def acquire(self, *, service: str, region: str, now: float) -> HeldGrant | None:
        """Count a moved request under a grant that has room.

        Returns
        -------
        HeldGrant or None
            None if there is no room; the request stays here.
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
        """Count the end of a moved request."""
        held.running = max(0, held.running - 1)

    def take_demand(self, *, service: str, region: str, now: float) -> int:
        """Give how many more requests at once there is use for, and count anew.

        Parameters
        ----------
        service, region : str
            What the grants are for.
        now : float
            Monotonic seconds.

        Returns
        -------
        int
            Requests that found no room since the last call; if there were none, the
            used part of the grants that end soon.
        """
        target = (service, region)
        missed = self._misses_by_target.pop(target, 0)
        if missed:
            return missed
        return sum(
            each.running
            for each in self._held_by_target.get(target, [])
            if each.valid_until - now < RENEW_BEFORE_S
        )

    def discard_all(self) -> None:
        """Distrust all grants, as after a pause."""
        self._pending_by_id.clear()
        self._held_by_target.clear()
