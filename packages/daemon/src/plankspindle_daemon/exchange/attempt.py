"""One attempt of a request at an upstream or another entry VM."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import h11
from curio import TaskTimeout
from result import Ok
from result import Result

from plankspindle_core.classes import define
from plankspindle_core.http import errors as http_errors
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.http.headers import HeaderList
from plankspindle_core.http.headers import as_header_list
from plankspindle_core.http.headers import find_header
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.time_limit import within
from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import AttemptCompleted
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.exchange.attempt_headers import AttemptHeaders
from plankspindle_daemon.exchange.attempt_headers import peer_proves_not_run
from plankspindle_daemon.exchange.attempt_timeout import AttemptTimeout
from plankspindle_daemon.exchange.messages import Connected
from plankspindle_daemon.exchange.messages import ConnectFailed
from plankspindle_daemon.exchange.messages import ConnectionBroken
from plankspindle_daemon.exchange.messages import ExchangeEvent
from plankspindle_daemon.exchange.messages import HeadReceived
from plankspindle_daemon.exchange.messages import OpenConnection
from plankspindle_daemon.exchange.messages import Refused
from plankspindle_daemon.exchange.messages import UpstreamUnresponsive
from plankspindle_daemon.exchange.outgoing_request import OutgoingRequest
from plankspindle_daemon.exchange.relaying import AnsweringUpstream
from plankspindle_daemon.exchange.relaying import Relaying
from plankspindle_daemon.exchange.relaying import is_declined
from plankspindle_daemon.idempotency.request_records import RequestRecord
from plankspindle_daemon.traces.request_trace import RequestTrace
from plankspindle_daemon.traces.steps import AttemptEnded
from plankspindle_daemon.traces.steps import Executed
from plankspindle_daemon.traces.steps import Sent
from plankspindle_daemon.upstreams.connection_pool import ConnectionPool
from plankspindle_daemon.upstreams.upstream_statement import NO_STATEMENT
from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement

if TYPE_CHECKING:
    from plankspindle_core.http.errors import ConnectionLost

_NOTHING_SENT = "nothing was sent"


@define(kw_only=True)
class Attempt:
    """Send a request once, and read the answer.

    Parameters
    ----------
    number : int
        Number of the attempt, from 1 on.
    outgoing : OutgoingRequest
        The request to send.
    ticket : Ticket
        The request as admission sees it.
    assigned : Assign, optional
        The assigned upstream; None if the request goes to another entry VM.
    timeout : AttemptTimeout
        Decides when to abandon an unresponsive upstream.
    pool : ConnectionPool
        Pool of connections to upstreams and other entry VMs.
    record : RequestRecord
        Idempotency record, updated with whether the request may have run.
    trace : RequestTrace
        Trace of the request.
    relay : Relaying, optional
        Relays of the request, if this attempt is one.
    attempts_left : int
        Attempts that may still be made, this one included.

    Attributes
    ----------
    head : h11.Response or None
        Head of the answer.
    statement : UpstreamStatement
        Statement of the upstream about itself in its answer.
    answered_by : AnsweringUpstream or None
        The upstream that answered, from here or to a VM that served for this one.
    sent_at : float
        When the request was sent, monotonic seconds; the head of one whose body is
        passed on as it arrives.
    connection_was_lost : bool
        Whether the other side closed or reset the connection while the request was in
        flight there.
    connect_failure : ConnectFailed or None
        Why no connection was established.
    """

    number: int
    outgoing: OutgoingRequest
    ticket: Ticket
    assigned: Assign | None
    timeout: AttemptTimeout
    pool: ConnectionPool
    record: RequestRecord
    trace: RequestTrace
    relay: Relaying | None = None
    attempts_left: int = 1
    head: h11.Response | None = None
    statement: UpstreamStatement = NO_STATEMENT
    answered_by: AnsweringUpstream | None = None
    sent_at: float = 0.0
    connection_was_lost: bool = False
    connect_failure: http_errors.ConnectFailed | None = None
    _connection: ClientConnection | None = None
    _buffered_body: bytes | None = None
    _connect_s: float | None = None
    _reported_load: int | None = None
    _head_s: float = 0.0
    _answerable_at: float = 0.0
    """When the other side had what it needs to answer, monotonic seconds."""
    _observed: str = _NOTHING_SENT
    _executed: Executed = Executed.NO

    @property
    def opened_connection(self) -> bool:
        """Whether a new connection was established for this attempt."""
        return self._connect_s is not None

    @property
    def may_have_run(self) -> bool:
        """Whether the other side may have run the request."""
        return self._executed is not Executed.NO

    @property
    def is_answer_buffered(self) -> bool:
        """Whether the whole body of the answer was received."""
        return self._buffered_body is not None

    async def open(self, effect: OpenConnection) -> ExchangeEvent:
        """Acquire a connection from the pool, or open one."""
        max_idle_s = math.inf
        if effect.fresh:
            max_idle_s = self.outgoing.max_idle_non_idempotent_s
        started_at = self.sent_at = monotonic()
        acquired = await self.pool.acquire(effect.endpoint, max_idle_s=max_idle_s)
        if acquired.is_err():
            self._observed = f"no connection: {acquired.unwrap_err()}"
            self.connect_failure = acquired.unwrap_err()
            return ConnectFailed()
        self._connection = acquired.unwrap()
        is_new = self._connection.exchanges == 0
        self._connect_s = monotonic() - started_at if is_new else None
        return Connected()

    async def send(self) -> ExchangeEvent:
        """Send the request and wait for the head of the answer."""
        connection = self._connection
        assert connection is not None
        now = monotonic()
        if now >= self.outgoing.deadline:
            self._observed = "the deadline had passed before it was sent"
            return ConnectionBroken(bytes_handed_over=False)
        self.record.record_started()
        self.sent_at = self._answerable_at = now
        self._record_sent(connection, now)
        source = self.outgoing.source
        to_peer = self.assigned is None
        sent = await connection.send_request(
            method=source.method,
            target=source.target if to_peer else self.outgoing.path,
            headers=self._headers(connection),
        )
        self._observed, self._executed = "no answer", Executed.MAYBE
        if sent.is_err():
            return self._handle_break(connection, str(sent.unwrap_err()))
        if not await self.outgoing.body.send(source, connection):
            return self._handle_break(
                connection, "the body could not be sent completely"
            )
        if self.outgoing.body.is_streamed:
            self._answerable_at = monotonic()
        head = await self._read_head(connection)
        if head is None:
            waited_ms = round((monotonic() - self.sent_at) * 1000)
            self._observed = f"no answer to any request for {waited_ms} ms"
            return UpstreamUnresponsive()
        if head.is_err():
            return self._handle_break(connection, str(head.unwrap_err()))
        return await self._handle_head(head.unwrap(), connection)

    def _record_sent(self, connection: ClientConnection, now: float) -> None:
        is_new = connection.exchanges == 0
        connect_s = self._connect_s
        step = Sent(
            attempt=self.number,
            to=str(connection.endpoint),
            connection="new" if is_new else "reused",
            rested_ms=None if is_new else round(1000 * (now - connection.released_at)),
            connect_ms=None if connect_s is None else round(1000 * connect_s),
            deadline_ms=self._left_ms(),
        )
        self.trace.record(step, now)

    async def _read_head(
        self, connection: ClientConnection
    ) -> Result[h11.Response, ConnectionLost] | None:
        """Read the head of the answer; None if the upstream is to be abandoned."""
        assigned = self.assigned
        timeout_s = None if assigned is None else self.timeout.timeout_s(self.ticket)
        while timeout_s is not None and assigned is not None:
            try:
                return await within(  # type: ignore[no-any-return]
                    timeout_s, connection.read_head
                )
            except TaskTimeout:
                if self.timeout.may_abandon(
                    self.ticket, assigned.upstream, self.sent_at
                ):
                    return None
        return await connection.read_head()

    async def _handle_head(
        self, head: h11.Response, connection: ClientConnection
    ) -> ExchangeEvent:
        self.head = head
        self._head_s = monotonic() - self._answerable_at
        self._observed = f"status {head.status_code}"
        headers = as_header_list(head.headers)
        if self.relay is not None:
            refused = self.relay.read_refusal(head.status_code, headers)
            if refused is not None:
                return self._handle_refusal(refused)
            proves_not_run = False
            self.answered_by = self.relay.read_upstream(headers)
            dialect = self.outgoing.dialect
            self.statement = dialect.read_statement(head.status_code, headers)
        elif self.assigned is None:
            proves_not_run = peer_proves_not_run(headers)
        else:
            dialect = self.outgoing.dialect
            self._reported_load = dialect.reported_load(headers)
            proves_not_run = dialect.proves_not_run(head.status_code, headers)
            if not dialect.answer_matches(self.outgoing.source.headers, headers):
                self._observed = "the answer belongs to another request"
                return ConnectionBroken(bytes_handed_over=True)
            if not dialect.is_misdirected(head.status_code):
                self.statement = dialect.read_statement(head.status_code, headers)
            self.answered_by = AnsweringUpstream(
                name=self.assigned.upstream, incarnation=self.assigned.incarnation
            )
        if proves_not_run:
            self._executed = Executed.NO
            self._observed = f"status {head.status_code}, stating that it was not run"
            self.record.record_not_run()
            is_misdirected = (
                self.assigned is not None
                and self.outgoing.dialect.is_misdirected(head.status_code)
            )
            return HeadReceived(proves_not_run=True, is_misdirected=is_misdirected)
        self._executed = Executed.YES
        self._buffered_body = None
        if self._can_buffer(headers):
            limit = self.outgoing.max_buffered_answer_bytes
            body = await connection.read_body(max_bytes=limit)
            if body.is_err():
                self._observed = f"answer truncated: {body.unwrap_err()}"
                self.connection_was_lost = True
                return ConnectionBroken(bytes_handed_over=True)
            self._buffered_body = body.unwrap()
        return HeadReceived()

    def _handle_refusal(self, refused: Refused) -> HeadReceived:
        """Handle that the VM which the request was relayed to has not run it."""
        self._executed = Executed.NO
        self._observed = f"relay refused: {refused.reason}"
        self.record.record_not_run()
        if is_declined(refused):
            return HeadReceived(proves_not_run=True)
        return HeadReceived(proves_not_run=True, refused=refused)

    def _can_buffer(self, headers: HeaderList) -> bool:
        """Return whether the answer is short enough to be buffered until complete."""
        length = find_header(headers, b"content-length")
        is_head = self.outgoing.source.method == "HEAD"
        if self.assigned is None or length is None or is_head:
            return False
        return int(length) <= self.outgoing.max_buffered_answer_bytes

    def _handle_break(
        self, connection: ClientConnection, detail: str
    ) -> ConnectionBroken:
        self._observed = f"connection lost: {detail}"
        self.connection_was_lost = connection.bytes_handed_over
        if not connection.bytes_handed_over:
            self._executed = Executed.NO
            self.record.record_not_run()
        return ConnectionBroken(bytes_handed_over=connection.bytes_handed_over)

    async def next_chunk(self) -> Result[bytes | None, ConnectionLost]:
        """Read the next chunk of the answer's body; None at its end."""
        if self._buffered_body is None:
            assert self._connection is not None
            chunk = await self._connection.read_chunk()
            if chunk.is_err():
                self._observed = f"answer truncated: {chunk.unwrap_err()}"
                self.connection_was_lost = True
            return chunk
        buffered, self._buffered_body = self._buffered_body, b""
        return Ok(buffered or None)

    def _headers(self, connection: ClientConnection) -> HeaderList:
        headers = AttemptHeaders(
            outgoing=self.outgoing,
            endpoint=connection.endpoint,
            left_ms=self._left_ms(),
        )
        if self.assigned is not None:
            return headers.for_upstream(self.assigned.upstream)
        if self.relay is None:
            return headers.for_peer()
        target = self.outgoing.source.target
        return headers.for_relay(
            self.relay.headers(target=target, attempts=self.attempts_left)
        )

    def _left_ms(self) -> int:
        return max(1, int((self.outgoing.deadline - monotonic()) * 1000))

    async def end(
        self, outcome: AttemptOutcome, *, is_doubtful: bool = False
    ) -> AttemptCompleted | None:
        """Complete the attempt, and return its completion for the dispatcher.

        Parameters
        ----------
        outcome : AttemptOutcome
            Outcome of the attempt; any other than ``ANSWERED`` closes the connection.
        is_doubtful : bool
            Whether this VM may reach no upstream.

        Returns
        -------
        AttemptCompleted or None
            None if the request was sent to another entry VM.
        """
        now = monotonic()
        awaits_caller = self.outgoing.body.awaits_caller
        if awaits_caller and outcome is AttemptOutcome.TIMED_OUT:
            outcome = AttemptOutcome.CANCELLED
            self._observed = "the caller has not sent the whole body"
        self._record_completion(outcome, now)
        await self._return_connection(keep=outcome is AttemptOutcome.ANSWERED)
        if self.assigned is None:
            return None
        answered = outcome is AttemptOutcome.ANSWERED
        return AttemptCompleted(
            ticket=self.ticket,
            upstream=self.assigned.upstream,
            outcome=outcome,
            head_s=self._head_s if answered else None,
            total_s=now - self._answerable_at if answered else None,
            connect_s=self._connect_s,
            reported_load=self._reported_load,
            waited_s=None
            if awaits_caller or self.head is not None
            else now - self._answerable_at,
            incarnation=self.assigned.incarnation,
            status=None if self.head is None else self.head.status_code,
            is_doubtful=is_doubtful,
            cause=self._observed,
        )

    def _record_completion(self, outcome: AttemptOutcome, now: float) -> None:
        upstream = "other entry VM"
        if self.assigned is not None:
            upstream = self.trace.upstream = self.assigned.upstream
        step = AttemptEnded(
            attempt=self.number,
            upstream=upstream,
            verdict=outcome.value,
            came=self._observed,
            ran=self._executed,
            took_ms=round((now - self.sent_at) * 1000),
        )
        self.trace.record(step, now)

    async def close(self) -> None:
        """Close the connection if the attempt was never completed."""
        await self._return_connection(keep=False)

    async def _return_connection(self, *, keep: bool) -> None:
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if keep:
            await self.pool.release(connection)
        else:
            await self.pool.discard(connection)
