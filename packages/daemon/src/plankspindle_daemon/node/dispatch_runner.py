"""Carries out the effects of the services' dispatchers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

from attrs import field
from curio import Event

from plankspindle_core.classes import define
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.http.errors import ConnectFailed
from plankspindle_core.http.fetch import fetch
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import GrantSlots
from plankspindle_daemon.dispatch.messages import ProbeCompleted
from plankspindle_daemon.dispatch.messages import Reject
from plankspindle_daemon.dispatch.messages import RequestArrived
from plankspindle_daemon.dispatch.messages import RequestSlots
from plankspindle_daemon.dispatch.messages import RequestWithdrawn
from plankspindle_daemon.dispatch.messages import SendProbe
from plankspindle_daemon.dispatch.messages import StatementReceived
from plankspindle_daemon.membership.peer_link import PeerLink
from plankspindle_daemon.node.effects import ServiceEffect
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.node.uploads import Uploads
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.traces.steps import Queued
from plankspindle_daemon.upstreams.fleet_limiter import incarnation_id_of
from plankspindle_daemon.upstreams.load_report import parse_load_report

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.admission.ticket import Ticket
    from plankspindle_daemon.dispatch.messages import DispatchEvent
    from plankspindle_daemon.node.effects import NodeEffect
    from plankspindle_daemon.reachability.upstream_reach import ProbeConnection
    from plankspindle_daemon.traces.request_trace import RequestTrace
    from plankspindle_daemon.upstreams.load_report import LoadReport

PROBE_TARGET = "/load"
PROBE_TIMEOUT_S = 0.5
MAX_LOAD_REPORT_BYTES = 65_536
_OK = 200


@define(kw_only=True)
class _Waiter:
    event: Any = field(factory=Event)
    decision: Assign | Reject | None = None


@define(kw_only=True)
class DispatchRunner:
    """Wake assigned or rejected requests, probe upstreams, and send slot messages.

    Parameters
    ----------
    node : Node
        Decision logic of this VM.
    peers : PeerLink
        Sends messages to other entry VMs.
    supervisor : Supervisor
        Starts the tasks that probe upstreams.

    Attributes
    ----------
    request_queued : Event
        Set when a request has to wait for an upstream.
    uploads : Uploads
        Uploads in progress; a stalled one gives way to a request that gets no upstream
        at once.
    """

    node: Node
    peers: PeerLink
    supervisor: Supervisor
    request_queued: Any = field(factory=Event)
    uploads: Uploads = field(factory=Uploads)
    _waiters_by_ticket: dict[int, _Waiter] = field(factory=dict)

    async def await_upstream(
        self, service: str, ticket: Ticket, trace: RequestTrace
    ) -> Assign | Reject:
        """Wait until a request is assigned to an upstream or rejected.

        Parameters
        ----------
        service : str
            Service that the request is for.
        ticket : Ticket
            The request.
        trace : RequestTrace
            Trace of the request, in which the decision is recorded.
        """
        waiter = _Waiter()
        self._waiters_by_ticket[ticket.id] = waiter
        try:
            await self.handle(service, RequestArrived(ticket))
            if not isinstance(waiter.decision, Assign):
                await self.uploads.give_way(service)
            if waiter.decision is None:
                await self.request_queued.set()
                self._record_queued(service, ticket, trace)
            while waiter.decision is None:
                await waiter.event.wait()
        except BaseException:
            await self._release(service, waiter.decision)
            raise
        finally:
            del self._waiters_by_ticket[ticket.id]
        if waiter.decision.step is not None:
            trace.record(waiter.decision.step, monotonic())
        return waiter.decision

    @property
    def has_waiting_requests(self) -> bool:
        """Whether any request waits for an upstream."""
        return bool(self._waiters_by_ticket)

    def _record_queued(self, service: str, ticket: Ticket, trace: RequestTrace) -> None:
        dispatcher = self.node.dispatchers_by_service.get(service)
        if dispatcher is not None:
            queue = dispatcher.queue
            ahead = queue.count_ahead(ticket.rank)
            trace.record(Queued(ahead=ahead, limit=queue.limit), monotonic())

    async def _release(self, service: str, decision: Assign | Reject | None) -> None:
        """Release the slot of a request that was cancelled before it could use it."""
        if isinstance(decision, Assign):
            await self.handle(service, decision.cancellation())

    def expected_duration_s(self, service: str, ticket: Ticket) -> float:
        """Return the expected duration of a request, in seconds."""
        dispatcher = self.node.dispatchers_by_service.get(service)
        return 0.0 if dispatcher is None else dispatcher.expected_duration_s(ticket)

    def answered_at(self, service: str, upstream: str) -> float:
        """Return when an upstream last answered this VM, in monotonic seconds.

        Zero if it has not answered yet, or is unknown.
        """
        dispatcher = self.node.dispatchers_by_service.get(service)
        upstreams = None if dispatcher is None else dispatcher.upstreams_by_name
        state = None if upstreams is None else upstreams.get(upstream)
        return 0.0 if state is None else state.answered_at

    def could_place_elsewhere(
        self, service: str, ticket: Ticket, upstream: str
    ) -> bool:
        """Return whether another upstream could take a request now."""
        dispatcher = self.node.dispatchers_by_service.get(service)
        if dispatcher is None:
            return False
        return dispatcher.could_place_elsewhere(ticket, upstream, monotonic())

    async def apply_statement(self, service: str, stated: StatementReceived) -> None:
        """Apply what an upstream states about itself, if that can change anything.

        Empty statements are skipped if the last one was empty too and no limit of the
        upstream is in force.
        """
        dispatcher = self.node.dispatchers_by_service.get(service)
        upstreams = None if dispatcher is None else dispatcher.upstreams_by_name
        state = None if upstreams is None else upstreams.get(stated.upstream)
        if state is None:
            return
        if stated.statement.is_empty:
            incarnation_id = incarnation_id_of(stated.upstream, stated.incarnation)
            state.statements.record_unlimited(incarnation_id, stated.sent_at)
        is_unchanged = stated.statement.is_empty and state.last_statement.is_empty
        if not is_unchanged or state.fleet_limiter() is not None:
            await self.handle(service, stated)

    async def withdraw(self, service: str, ticket: Ticket) -> None:
        """Remove a request that no longer waits for an upstream."""
        await self.handle(service, RequestWithdrawn(ticket.id))

    async def handle(self, service: str, event: DispatchEvent) -> None:
        """Pass an event to a dispatcher and carry out the resulting effects."""
        await self.perform(self.node.handle_dispatch(service, event, monotonic()))

    async def perform(self, effects: Iterable[NodeEffect]) -> None:
        """Carry out effects of dispatchers and send messages; ignore other effects."""
        for effect in effects:
            match effect:
                case ServiceEffect():
                    await self._perform_one(effect)
                case SendToPeer(message=message, to=to):
                    await self.peers.send(message, to)
                case _:
                    pass

    async def _perform_one(self, effect: ServiceEffect) -> None:
        match effect.effect:
            case Assign() | Reject() as decision:
                waiter = self._waiters_by_ticket.get(decision.ticket.id)
                if waiter is not None:
                    waiter.decision = decision
                    await waiter.event.set()
                else:
                    await self._release(effect.service, decision)
            case SendProbe() as probe:
                await self.supervisor.spawn(self._probe, effect.service, probe)
            case RequestSlots(request=request):
                await self.peers.send_to_random_member(request)
            case GrantSlots(grant=grant, to=to):
                await self.peers.send(grant, to)

    async def probe_connection(self, probe: ProbeConnection) -> None:
        """Open a connection to an upstream in a task, and record whether it did."""
        await self.supervisor.spawn(self._contain_probe, probe)

    async def _contain_probe(self, probe: ProbeConnection) -> None:
        await self.supervisor.contain(self._connect, probe)

    async def reaches_others(self, endpoint: Endpoint) -> bool:
        """Return whether another upstream than that at an endpoint is reached now.

        Also true if there is no other one to ask.
        """
        probes = self.node.reach.choose_others(endpoint, monotonic())
        for probe in probes:
            await self._connect(probe)
            if probe.upstream not in self.node.reach.contact.failed_at_by_upstream:
                return True
        return not probes

    async def _connect(self, probe: ProbeConnection) -> None:
        connection = ClientConnection(endpoint=probe.endpoint)
        started = await connection.start(timeout_s=PROBE_TIMEOUT_S)
        await connection.close()
        reach, now = self.node.reach, monotonic()
        if started.is_ok():
            reach.record_connected(probe.upstream, now)
        else:
            reach.record_connect_failed(probe.upstream, started.unwrap_err(), now)

    async def _probe(self, service: str, probe: SendProbe) -> None:
        await self.supervisor.contain(self._fetch_load_report, service, probe)

    async def _fetch_load_report(self, service: str, probe: SendProbe) -> None:
        answer = await fetch(
            probe.endpoint,
            target=PROBE_TARGET,
            timeout_s=PROBE_TIMEOUT_S,
            max_body_bytes=MAX_LOAD_REPORT_BYTES,
        )
        report: LoadReport | None = None
        if answer.is_ok() and answer.unwrap().status == _OK:
            report = parse_load_report(answer.unwrap().body).unwrap_or(None)
        probed = ProbeCompleted(
            upstream=probe.upstream,
            report=report,
            wall=time.time(),
            reached=not isinstance(answer.err(), ConnectFailed),
        )
        await self.handle(service, probed)
