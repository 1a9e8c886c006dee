"""One attempt of a request at an upstream or another entry VM."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import h11
from curio import TaskTimeout
from result import Ok
from result import Result

from plankspindle_core import header_names
from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.http.headers import HeaderList
from plankspindle_core.http.headers import as_header_list
from plankspindle_core.http.headers import find_header
from plankspindle_core.http.server_exchange import ServerExchange
from plankspindle_core.outcome import Outcome
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.time_limit import within
from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import Ended
from plankspindle_daemon.dispatch.messages import Verdict
from plankspindle_daemon.exchange.dialect import Dialect
from plankspindle_daemon.exchange.messages import Broke
from plankspindle_daemon.exchange.messages import Connected
from plankspindle_daemon.exchange.messages import ConnectFailed
from plankspindle_daemon.exchange.messages import ExchangeEvent
from plankspindle_daemon.exchange.messages import HeadArrived
from plankspindle_daemon.exchange.messages import OpenConnection
from plankspindle_daemon.exchange.messages import Stalled
from plankspindle_daemon.exchange.patience import Patience
from plankspindle_daemon.exchange.request_body import RequestBody
from plankspindle_daemon.idempotency.records import RequestRecord
from plankspindle_daemon.stories.steps import AttemptEnded
from plankspindle_daemon.stories.steps import Ran
from plankspindle_daemon.stories.steps import Sent
from plankspindle_daemon.stories.story import Story
from plankspindle_daemon.upstreams.connection_pool import ConnectionPool
from plankspindle_daemon.upstreams.upstream_statement import SAYS_NOTHING
from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement

if TYPE_CHECKING:
    from plankspindle_core.http.errors import ConnectionLost

_NEVER_SENT = "nothing was sent"


@frozen(kw_only=True)
class Outgoing:
    """What goes on of a caller's request.

    Parameters
    ----------
    source : ServerExchange
        The caller's side.
    path : str
        Path and query below the service.
    upstream_headers, peer_headers : list of (bytes, bytes)
        Headers that go on, without framing and deadline.
    body : RequestBody
        Its body.
    deadline : float
        Latest end, monotonic seconds.
    deadline_ms : int
        The same, milliseconds since the Unix epoch.
    dialect : Dialect
        Names of headers.
    max_idle_unrepeatable_s : float
        Longest rest of a connection that may carry a request which must not run twice.
    hold_answer_bytes : int
        Answers of up to this length are held until they are whole, so that a broken one
        can still be replaced.
    """

    source: ServerExchange
    path: str
    upstream_headers: HeaderList
    peer_headers: HeaderList
    body: RequestBody
    deadline: float
    deadline_ms: int
    dialect: Dialect
    max_idle_unrepeatable_s: float = 0.0
    hold_answer_bytes: int = 0


@define(kw_only=True)
class Attempt:
    """One attempt.

    Parameters
    ----------
    number : int
        Its number, from 1 on.
    outgoing : Outgoing
        What is sent.
    ticket : Ticket
        The request as admission sees it.
    assigned : Assign, optional
        The upstream that it got; None if it goes to another entry VM.
    patience : Patience
        How long a silent upstream is waited for.
    pool : ConnectionPool
        Connections.
    record : RequestRecord
        What must learn whether the request may have run.
    story : Story
        What happened to the request.

    Attributes
    ----------
    head : h11.Response or None
        Head of the answer.
    statement : UpstreamStatement
        What the upstream said of itself in its answer.
    sent_at : float
        When the request was sent, monotonic seconds.
    was_lost : bool
        Whether the other side closed or reset the connection while the request was in
        flight there.
    """

    number: int
    outgoing: Outgoing
    ticket: Ticket
    assigned: Assign | None
    patience: Patience
    pool: ConnectionPool
    record: RequestRecord
    story: Story
    head: h11.Response | None = None
    statement: UpstreamStatement = SAYS_NOTHING
    sent_at: float = 0.0
    was_lost: bool = False
    _connection: ClientConnection | None = None
    _held: bytes | None = None
    _connect_s: float | None = None
    _reported_load: int | None = None
    _head_s: float = 0.0
    _came: str = _NEVER_SENT
    _ran: Ran = Ran.NO

    @property
    def may_have_run(self) -> bool:
        """Whether the other side may have run the request."""
        return self._ran is not Ran.NO

    async def open(self, wanted: OpenConnection) -> ExchangeEvent:
        """Get a connection."""
        max_idle_s = math.inf
        if wanted.fresh:
            max_idle_s = self.outgoing.max_idle_unrepeatable_s
        began = self.sent_at = monotonic()
        acquired = await self.pool.acquire(wanted.endpoint, max_idle_s=max_idle_s)
        if acquired.is_err():
            self._came = f"no connection: {acquired.unwrap_err()}"
            return ConnectFailed()
        self._connection = acquired.unwrap()
        is_new = self._connection.exchanges == 0
        self._connect_s = monotonic() - began if is_new else None
        return Connected()

    async def send(self) -> ExchangeEvent:
        """Send the request and wait for the head of the answer."""
        connection = self._connection
        assert connection is not None
        now = monotonic()
        if now >= self.outgoing.deadline:
            self._came = "the deadline had passed before it was sent"
            return Broke(bytes_handed_over=False)
        self.record.note_started()
        self.sent_at = now
        self._note_sent(connection, now)
        source = self.outgoing.source
        to_peer = self.assigned is None
        sent = await connection.send_request(
            method=source.method,
            target=source.target if to_peer else self.outgoing.path,
            headers=self._headers(connection),
        )
        self._came, self._ran = "no answer", Ran.MAYBE
        if sent.is_err():
            return self._broke(connection, str(sent.unwrap_err()))
        if not await self.outgoing.body.send(source, connection):
            return self._broke(connection, "the body could not be sent whole")
        head = await self._read_head(connection)
        if head is None:
            silent_ms = round((monotonic() - self.sent_at) * 1000)
            self._came = f"silent to all requests for {silent_ms} ms"
            return Stalled()
        if head.is_err():
            return self._broke(connection, str(head.unwrap_err()))
        return await self._take_head(head.unwrap(), connection)

    def _note_sent(self, connection: ClientConnection, now: float) -> None:
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
        self.story.note(step, now)

    async def _read_head(
        self, connection: ClientConnection
    ) -> Result[h11.Response, ConnectionLost] | None:
        """Read the head; None once the upstream seems to answer nobody any more."""
        assigned = self.assigned
        patience_s = None if assigned is None else self.patience.wait_s(self.ticket)
        while patience_s is not None and assigned is not None:
            try:
                return await within(  # type: ignore[no-any-return]
                    patience_s, connection.read_head
                )
            except TaskTimeout:
                if self._may_leave(assigned.upstream):
                    return None
        return await connection.read_head()

    def _may_leave(self, upstream: str) -> bool:
        return self.patience.may_leave(self.ticket, upstream, self.sent_at)

    async def _take_head(
        self, head: h11.Response, connection: ClientConnection
    ) -> ExchangeEvent:
        self.head = head
        self._head_s = monotonic() - self.sent_at
        self._came = f"status {head.status_code}"
        headers = as_header_list(head.headers)
        if self.assigned is None:
            proves = _peer_proves_not_run(headers)
        else:
            dialect = self.outgoing.dialect
            self._reported_load = dialect.reported_load(headers)
            proves = dialect.proves_not_run(head.status_code, headers)
            if not dialect.answers(self.outgoing.source.headers, headers):
                self._came = "the answer to another request"
                return Broke(bytes_handed_over=True)
            if not dialect.is_misdirected(head.status_code):
                self.statement = dialect.read_statement(head.status_code, headers)
        if proves:
            self._ran = Ran.NO
            self._came = f"status {head.status_code}, stating that it was not run"
            self.record.note_not_run()
            is_misdirected = (
                self.assigned is not None
                and self.outgoing.dialect.is_misdirected(head.status_code)
            )
            return HeadArrived(proves_not_run=True, is_misdirected=is_misdirected)
        self._ran = Ran.YES
        self._held = None
        if self._may_hold(headers):
            limit = self.outgoing.hold_answer_bytes
            whole = await connection.read_body(max_bytes=limit)
            if whole.is_err():
                self._came = f"an answer that was cut off: {whole.unwrap_err()}"
                self.was_lost = True
                return Broke(bytes_handed_over=True)
            self._held = whole.unwrap()
        return HeadArrived()

    def _may_hold(self, headers: HeaderList) -> bool:
        """Tell whether the answer is short enough to be held until it is whole."""
        length = find_header(headers, b"content-length")
        is_head = self.outgoing.source.method == "HEAD"
        if self.assigned is None or length is None or is_head:
            return False
        return int(length) <= self.outgoing.hold_answer_bytes

    def _broke(self, connection: ClientConnection, detail: str) -> Broke:
        self._came = f"connection lost: {detail}"
        self.was_lost = connection.bytes_handed_over
        if not connection.bytes_handed_over:
            self._ran = Ran.NO
            self.record.note_not_run()
        return Broke(bytes_handed_over=connection.bytes_handed_over)

    async def next_chunk(self) -> Result[bytes | None, ConnectionLost]:
        """Read more of the answer; None at its end."""
        if self._held is None:
            assert self._connection is not None
            chunk = await self._connection.read_chunk()
            if chunk.is_err():
                self._came = f"an answer that was cut off: {chunk.unwrap_err()}"
                self.was_lost = True
            return chunk
        held, self._held = self._held, b""
        return Ok(held or None)

    def _headers(self, connection: ClientConnection) -> HeaderList:
        outgoing = self.outgoing
        to_peer = self.assigned is None
        return [
            *self._own_headers(connection),
            *(outgoing.peer_headers if to_peer else outgoing.upstream_headers),
            *outgoing.body.framing,
        ]

    def _own_headers(self, connection: ClientConnection) -> HeaderList:
        dialect = self.outgoing.dialect
        host = (b"host", str(connection.endpoint).encode())
        deadline = str(self.outgoing.deadline_ms).encode()
        if self.assigned is None:
            return [host, (header_names.DEADLINE, deadline)]
        own = [] if dialect.keeps_head else [host]
        if dialect.deadline_is_time_left:
            deadline = str(self._left_ms()).encode()
        own.append((dialect.deadline, deadline))
        if dialect.wanted_upstream is not None:
            own.append((dialect.wanted_upstream, self.assigned.upstream.encode()))
        return own

    def _left_ms(self) -> int:
        return max(1, int((self.outgoing.deadline - monotonic()) * 1000))

    async def end(self, verdict: Verdict) -> Ended | None:
        """End the attempt, and give what the dispatcher must learn.

        Parameters
        ----------
        verdict : Verdict
            How it ended; anything but ``ANSWERED`` closes the connection.
        """
        now = monotonic()
        self._note_end(verdict, now)
        await self._give_connection_back(keep=verdict is Verdict.ANSWERED)
        if self.assigned is None:
            return None
        answered = verdict is Verdict.ANSWERED
        return Ended(
            ticket=self.ticket,
            upstream=self.assigned.upstream,
            verdict=verdict,
            head_s=self._head_s if answered else None,
            total_s=now - self.sent_at if answered else None,
            connect_s=self._connect_s,
            reported_load=self._reported_load,
            waited_s=now - self.sent_at if self.head is None else None,
            incarnation=self.assigned.incarnation,
            came=self._came,
        )

    def _note_end(self, verdict: Verdict, now: float) -> None:
        upstream = "other entry VM"
        if self.assigned is not None:
            upstream = self.story.upstream = self.assigned.upstream
        step = AttemptEnded(
            attempt=self.number,
            upstream=upstream,
            verdict=verdict.value,
            came=self._came,
            ran=self._ran,
            took_ms=round((now - self.sent_at) * 1000),
        )
        self.story.note(step, now)

    async def close(self) -> None:
        """Close the connection if the attempt was never ended."""
        await self._give_connection_back(keep=False)

    async def _give_connection_back(self, *, keep: bool) -> None:
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if keep:
            await self.pool.release(connection)
        else:
            await self.pool.discard(connection)


def _peer_proves_not_run(headers: HeaderList) -> bool:
    outcome = find_header(headers, header_names.OUTCOME)
    return outcome == Outcome.NOT_RUN.value.encode()
