"""Requests headroom in other regions, and grants headroom of this VM."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.headroom.grant_table import GrantTable
from plankspindle_daemon.headroom.headroom_ledger import HeadroomLedger
from plankspindle_daemon.peer_messages.headroom_messages import HeadroomGrant
from plankspindle_daemon.peer_messages.headroom_messages import HeadroomRequest
from plankspindle_daemon.peer_messages.peer_message import SendToPeer

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.dispatcher import Dispatcher

MAX_REQUESTED = 64
GRANT_DURATION_MS = 2_000
REQUEST_PERIOD_S = 0.25


@frozen(kw_only=True)
class HeadroomTarget:
    """An entry VM of another region that headroom may be requested from.

    Parameters
    ----------
    service, region : str
        Service whose requests are to be moved, and the region to move them to.
    caller_endpoint, peer_endpoint : Endpoint
        Listeners of the entry VM.
    """

    service: str
    region: str
    caller_endpoint: Endpoint
    peer_endpoint: Endpoint


@define(kw_only=True)
class HeadroomManager:
    """Manage the held and issued grants of one entry VM.

    Parameters
    ----------
    vm : str
        Name of this VM.
    incarnation : int
        Incarnation of this process.
    random : Random
        Source of request ids.
    """

    vm: str
    incarnation: int
    random: Random
    grants: GrantTable = field(init=False)
    ledgers_by_service: dict[str, HeadroomLedger] = Factory(dict)
    _next_round: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.grants = GrantTable(incarnation=self.incarnation)

    def is_request_due(self, now: float) -> bool:
        """Return whether headroom may be requested now, at most once a period."""
        if now < self._next_round:
            return False
        self._next_round = now + REQUEST_PERIOD_S
        return True

    def request_headroom(self, target: HeadroomTarget, now: float) -> list[SendToPeer]:
        """Request as much headroom as there is demand for, if there is any."""
        demand = self.grants.take_demand(
            service=target.service, region=target.region, now=now
        )
        if demand == 0:
            return []
        request = HeadroomRequest(
            sender=self.vm,
            request_id=self.random.getrandbits(63),
            service=target.service,
            count=min(demand, MAX_REQUESTED),
            duration_ms=GRANT_DURATION_MS,
            incarnation=self.incarnation,
        )
        self.grants.record_request(
            request, region=target.region, endpoint=target.caller_endpoint, now=now
        )
        return [SendToPeer(message=request, to=target.peer_endpoint)]

    def handle_request(
        self,
        request: HeadroomRequest,
        dispatcher: Dispatcher,
        reply_to: Endpoint,
        now: float,
    ) -> list[SendToPeer]:
        """Grant headroom from this VM's dispatcher counts, or send no answer."""
        if dispatcher.queue:
            return []
        ledger = self.ledgers_by_service.setdefault(request.service, HeadroomLedger())
        duration_ms = min(request.duration_ms, GRANT_DURATION_MS)
        count = ledger.grant(
            request_id=request.request_id,
            requested=request.count,
            capacity=dispatcher.capacity(now),
            in_flight=dispatcher.in_flight(),
            now=now,
            valid_until=now + duration_ms / 1000,
        )
        if count == 0:
            return []
        grant = HeadroomGrant(
            sender=self.vm,
            request_id=request.request_id,
            service=request.service,
            count=count,
            duration_ms=duration_ms,
            holder_incarnation=request.incarnation,
        )
        return [SendToPeer(message=grant, to=reply_to)]

    def begin_moved(self, service: str, request_id: int, now: float) -> bool:
        """Start a request that was moved here, if a grant allows it."""
        ledger = self.ledgers_by_service.get(service)
        return ledger is not None and ledger.begin(request_id, now)

    def end_moved(self, service: str, request_id: int) -> None:
        """Count the completion of a request that was moved here."""
        self.ledgers_by_service[service].end(request_id)
