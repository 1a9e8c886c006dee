"""Creates the runners of requests."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.exchange.dialect import Dialect
from plankspindle_daemon.exchange.exchange import Exchange
from plankspindle_daemon.exchange.messages import ExecutionPolicy
from plankspindle_daemon.exchange.messages import Route
from plankspindle_daemon.exchange.messages import ToUpstream
from plankspindle_daemon.exchange.outgoing_request import OutgoingRequest
from plankspindle_daemon.exchange.relaying import Relaying
from plankspindle_daemon.exchange.request_admission import RequestAdmission
from plankspindle_daemon.exchange.request_runner import RequestRunner
from plankspindle_daemon.exchange.send_checks import LeaveCheck
from plankspindle_daemon.exchange.send_checks import QuarantineCheck
from plankspindle_daemon.idempotency.request_records import NoRecord
from plankspindle_daemon.idempotency.request_records import RequestRecord
from plankspindle_daemon.listeners.outgoing_headers import OutgoingHeaders
from plankspindle_daemon.listeners.request_resolver import RequestResolver
from plankspindle_daemon.node.dispatch_runner import DispatchRunner
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.node.quota_runner import QuotaRunner
from plankspindle_daemon.quarantine.crash_detector import CrashDetector
from plankspindle_daemon.quarantine.request_identity import RequestIdentity
from plankspindle_daemon.upstreams.connection_pool import ConnectionPool

if TYPE_CHECKING:
    from plankspindle_core.http.server_exchange import ServerExchange
    from plankspindle_daemon.exchange.request_body import RequestBody
    from plankspindle_daemon.listeners.request_deadline import RequestDeadline
    from plankspindle_daemon.listeners.request_resolver import ResolvedRequest
    from plankspindle_daemon.settings.daemon_settings import RequestSettings
    from plankspindle_daemon.traces.request_trace import RequestTrace


@frozen(kw_only=True)
class RoutingDecision:
    """Where a request is sent, and where its outcome is recorded.

    Parameters
    ----------
    route : Route
        Destination of the first attempt.
    record : RequestRecord
        Idempotency record, updated with the outcome.
    grant : int, optional
        Headroom grant under which it moves to another region.
    may_have_run_elsewhere : bool
        Whether another process may have run a copy of it.
    """

    route: Route = ToUpstream()
    record: RequestRecord = field(factory=NoRecord)
    grant: int | None = None
    may_have_run_elsewhere: bool = False


@define(kw_only=True)
class RunnerFactory:
    """Create the runners of requests.

    Parameters
    ----------
    vm : str
        Name of this VM.
    node, dispatch, quotas : Node, DispatchRunner, QuotaRunner
        State of this VM, and what assigns upstreams and tokens.
    pool : ConnectionPool
        Connections to upstreams and other entry VMs.
    resolver : RequestResolver
        Holds the signer of identities and tickets.
    dialect : Dialect
        Header names.
    crash_detector : CrashDetector
        Records crashes of upstreams during requests.
    """

    vm: str
    node: Node
    dispatch: DispatchRunner
    quotas: QuotaRunner
    pool: ConnectionPool
    resolver: RequestResolver
    dialect: Dialect
    crash_detector: CrashDetector
    _ticket_numbers: count[int] = field(factory=count)

    def make(
        self,
        source: ServerExchange,
        resolved: ResolvedRequest,
        body: RequestBody,
        deadline: RequestDeadline,
        routing: RoutingDecision,
        trace: RequestTrace,
        settings: RequestSettings,
    ) -> RequestRunner:
        """Create the runner of one request.

        Parameters
        ----------
        source : ServerExchange
            HTTP exchange with the caller.
        resolved : ResolvedRequest
            The request, and the rules that it is served by.
        body : RequestBody
            Its body.
        deadline : RequestDeadline
            Its deadline.
        routing : RoutingDecision
            Where it is sent and recorded.
        trace : RequestTrace
            Its trace.
        settings : RequestSettings
            Settings in force.
        """
        identity = RequestIdentity(
            caller=resolved.identity.caller,
            method=source.method,
            target=source.target,
            headers=source.headers,
            names_service=resolved.request.names_service,
            body=body.content,
        )
        service = resolved.request.service
        return RequestRunner(
            vm=self.vm,
            service=service,
            outgoing=self._outgoing(
                source, resolved, body, deadline, routing, settings
            ),
            exchange=Exchange(
                policy=ExecutionPolicy(
                    idempotent=resolved.is_idempotent,
                    resendable=not body.is_streamed,
                    recorded=resolved.is_recorded,
                    may_have_run_elsewhere=routing.may_have_run_elsewhere,
                    max_attempts=resolved.attempts_allowed,
                ),
                route=routing.route,
                budget=self.node.services.budgets_by_service[service],
                counts_as_fresh=resolved.relay is None,
            ),
            ticket=self._ticket(resolved, body, deadline),
            record=routing.record,
            dispatch=self.dispatch,
            pool=self.pool,
            trace=trace,
            max_recorded_bytes=settings.max_recorded_answer_bytes,
            identity=identity,
            crash_detector=self.crash_detector,
            admission=RequestAdmission(
                identity=resolved.identity,
                node=self.node,
                quotas=self.quotas,
                trace=trace,
            ),
            quarantine=QuarantineCheck(
                quarantine=self.crash_detector.quarantine,
                identity=identity,
                trace=trace,
            ),
            relaying=Relaying(
                node=self.node,
                signer=self.resolver.signer,
                trace=trace,
                key_digest=resolved.identity.key_digest,
                is_idempotent=resolved.is_idempotent,
                was_relayed_here=resolved.relay is not None,
            ),
            leave_check=LeaveCheck(service=service, dispatch=self.dispatch),
        )

    def _outgoing(
        self,
        source: ServerExchange,
        resolved: ResolvedRequest,
        body: RequestBody,
        deadline: RequestDeadline,
        routing: RoutingDecision,
        settings: RequestSettings,
    ) -> OutgoingRequest:
        headers = OutgoingHeaders(
            source=source,
            identity=resolved.identity,
            dialect=self.dialect,
            signer=self.resolver.signer,
            is_relayed=resolved.relay is not None,
        )
        return OutgoingRequest(
            source=source,
            path=resolved.request.path,
            upstream_headers=headers.for_upstream(),
            peer_headers=headers.for_peer(routing.route, grant=routing.grant),
            relay_headers=headers.for_relay(),
            body=body,
            deadline=deadline.monotonic_s,
            deadline_ms=deadline.wall_ms,
            dialect=self.dialect,
            names_service=resolved.request.names_service,
            max_idle_non_idempotent_s=settings.max_idle_unrepeatable_ms / 1000,
            max_buffered_answer_bytes=settings.hold_answer_bytes,
            max_upload_stall_s=settings.max_upload_stall_ms / 1000,
        )

    def _ticket(
        self, resolved: ResolvedRequest, body: RequestBody, deadline: RequestDeadline
    ) -> Ticket:
        return Ticket(
            id=next(self._ticket_numbers),
            rank=resolved.identity.rank,
            operation=resolved.operation_name,
            deadline=deadline.monotonic_s,
            expected_s=resolved.operation.expected_ms / 1000,
            affinity=resolved.affinity,
            bulky=resolved.bulky,
            is_upload=body.is_streamed,
            allowed_regions=resolved.allowed_regions,
            queue_deadline=resolved.queue_deadline,
        )
