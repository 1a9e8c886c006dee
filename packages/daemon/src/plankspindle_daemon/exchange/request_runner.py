"""Carries out the effects of one exchange over real connections."""

from __future__ import annotations

import math
import time
from functools import partial
from time import monotonic
from typing import TYPE_CHECKING

import h11
from attrs import define
from curio import TaskTimeout
from curio import timeout_after
from result import Ok
from result import Result

from plankspindle_core import header_names
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.http.headers import HeaderList
from plankspindle_core.http.headers import as_header_list
from plankspindle_core.http.headers import find_header
from plankspindle_core.http.headers import without_hop_by_hop
from plankspindle_core.http.server_exchange import CallerGoneError
from plankspindle_core.http.server_exchange import ServerExchange
from plankspindle_core.outcome import Outcome
from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.dispatch.dispatch_runner import DispatchRunner
from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import Ended
from plankspindle_daemon.dispatch.messages import Verdict
from plankspindle_daemon.exchange.dialect import Dialect
from plankspindle_daemon.exchange.exchange import Exchange
from plankspindle_daemon.exchange.messages import AbortCaller
from plankspindle_daemon.exchange.messages import AnswerCaller
from plankspindle_daemon.exchange.messages import AnswerEnded
from plankspindle_daemon.exchange.messages import Assigned
from plankspindle_daemon.exchange.messages import Broke
from plankspindle_daemon.exchange.messages import CallerGone
from plankspindle_daemon.exchange.messages import ClosePeer
from plankspindle_daemon.exchange.messages import Connected
from plankspindle_daemon.exchange.messages import ConnectFailed
from plankspindle_daemon.exchange.messages import DeadlinePassed
from plankspindle_daemon.exchange.messages import EndUpstream
from plankspindle_daemon.exchange.messages import ExchangeEffect
from plankspindle_daemon.exchange.messages import ExchangeEvent
from plankspindle_daemon.exchange.messages import FindUpstream
from plankspindle_daemon.exchange.messages import HeadArrived
from plankspindle_daemon.exchange.messages import OpenConnection
from plankspindle_daemon.exchange.messages import Refused
from plankspindle_daemon.exchange.messages import RelayAnswer
from plankspindle_daemon.exchange.messages import SendRequest
from plankspindle_daemon.exchange.messages import Stalled
from plankspindle_daemon.exchange.messages import WithdrawTicket
from plankspindle_daemon.exchange.request_body import RequestBody
from plankspindle_daemon.idempotency.recorded_answer import RecordedAnswer
from plankspindle_daemon.idempotency.records import RequestRecord
from plankspindle_daemon.upstreams.connection_pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from plankspindle_core.http.errors import ConnectionLost


DEFAULT_RETRY_AFTER_S = 0.5
PATIENCE = 4.0
"""Usual durations after which a silent upstream is given up for another."""
MIN_PATIENCE_S = 0.6
_UNAVAILABLE = 503


@define(kw_only=True)
class RequestRunner:
    """One request on its way.

    Parameters
    ----------
    vm, service : str
        This VM and the service asked for.
    source : ServerExchange
        The caller's side.
    exchange : Exchange
        The decisions.
    ticket : Ticket
        The request as admission sees it.
    deadline_ms : int
        Latest end, milliseconds since the Unix epoch, as told to the upstream.
    path : str
        Path and query below the service.
    upstream_headers, peer_headers : list of (bytes, bytes)
        Headers that go on, without framing and deadline.
    body : RequestBody
        Its body.
    record : RequestRecord
        What must learn how it ended.
    dispatch : DispatchRunner
        Finder of upstreams.
    pool : ConnectionPool
        Connections.
    dialect : Dialect
        Names of headers.
    max_recorded_bytes : int
        Longest answer that is kept for replay.
    max_idle_unrepeatable_s : float
        Longest rest of a connection that may carry a request which must not run twice.
    hold_answer_bytes : int
        Answers of up to this length are held until they are whole, so that a broken one
        can still be replaced.
    """

    vm: str
    service: str
    source: ServerExchange
    exchange: Exchange
    ticket: Ticket
    deadline_ms: int
    path: str
    upstream_headers: HeaderList
    peer_headers: HeaderList
    body: RequestBody
    record: RequestRecord
    dispatch: DispatchRunner
    pool: ConnectionPool
    dialect: Dialect
    max_recorded_bytes: int
    max_idle_unrepeatable_s: float = 0.0
    hold_answer_bytes: int = 0
    _connect_s: float | None = None
    _reported_load: int | None = None
    _held: bytes | None = None
    _connection: ClientConnection | None = None
    _assigned: Assign | None = None
    _head: h11.Response | None = None
    _sent_at: float = 0.0
    _head_s: float = 0.0
    _caller_gone: bool = False

    async def run(self) -> None:
        """Carry the request to its end.

        Notes
        -----
        A request that carries an id or key goes on when its caller is gone, so that a
        repeat finds its answer.
        """
        watcher = None
        if not self.exchange.terms.recorded and self.source.body_is_read:
            watcher = await self.source.watch_caller()
        try:
            await self._run_with_deadline()
        except CallerGoneError:
            await self._perform_all(self.exchange.handle(CallerGone()))
        finally:
            await self._drop_connection()
            if watcher is not None:
                await watcher.cancel()

    async def _run_with_deadline(self) -> None:
        try:
            async with timeout_after(max(0.0, self.ticket.deadline - monotonic())):
                event = await self._perform_all(self.exchange.begin())
                while event is not None:
                    event = await self._perform_all(self.exchange.handle(event))
        except TaskTimeout:
            await self._perform_all(self.exchange.handle(DeadlinePassed()))

    async def _perform_all(self, effects: list[ExchangeEffect]) -> ExchangeEvent | None:
        event = None
        for effect in effects:
            event = await self._perform(effect)
        return event

    async def _perform(self, effect: ExchangeEffect) -> ExchangeEvent | None:
        match effect:
            case FindUpstream(excluded=excluded):
                return await self._find(excluded)
            case OpenConnection():
                return await self._open(effect)
            case SendRequest():
                return await self._send()
            case RelayAnswer():
                return await self._relay()
            case WithdrawTicket():
                await self.dispatch.withdraw(self.service, self.ticket)
            case EndUpstream(verdict=verdict):
                await self._end_upstream(verdict)
            case ClosePeer():
                await self._drop_connection()
            case AnswerCaller():
                await self._answer(effect)
            case AbortCaller():
                self.source.abort()
        return None

    async def _find(self, excluded: frozenset[str]) -> ExchangeEvent:
        self.ticket = self.ticket.excluding(excluded)
        found = await self.dispatch.find(self.service, self.ticket)
        if isinstance(found, Assign):
            self._assigned = found
            return Assigned(upstream=found.upstream, endpoint=found.endpoint)
        return Refused(reason=found.reason.value, retry_after_s=found.retry_after_s)

    async def _open(self, wanted: OpenConnection) -> ExchangeEvent:
        max_idle_s = self.max_idle_unrepeatable_s if wanted.fresh else math.inf
        began = monotonic()
        acquired = await self.pool.acquire(wanted.endpoint, max_idle_s=max_idle_s)
        if acquired.is_err():
            return ConnectFailed()
        self._connection = acquired.unwrap()
        is_new = self._connection.exchanges == 0
        self._connect_s = monotonic() - began if is_new else None
        return Connected()

    async def _send(self) -> ExchangeEvent:
        connection = self._connection
        assert connection is not None
        if monotonic() >= self.ticket.deadline:
            return Broke(bytes_handed_over=False)
        self.record.note_started()
        self._sent_at = monotonic()
        to_peer = self._assigned is None
        sent = await connection.send_request(
            method=self.source.method,
            target=self.source.target if to_peer else self.path,
            headers=self._outgoing_headers(connection, to_peer),
        )
        if sent.is_err() or not await self.body.send(self.source, connection):
            return self._broke(connection)
        head = await self._read_head(connection)
        if head is None:
            return Stalled()
        if head.is_err():
            return self._broke(connection)
        return await self._take_head(head.unwrap(), connection, to_peer=to_peer)

    async def _read_head(
        self, connection: ClientConnection
    ) -> Result[h11.Response, ConnectionLost] | None:
        """Read the head; None once the upstream seems to answer nobody any more."""
        patience_s = self._patience_s()
        while patience_s is not None:
            try:
                return await timeout_after(  # type: ignore[no-any-return]
                    patience_s, connection.read_head
                )
            except TaskTimeout:
                if self._may_leave_upstream():
                    return None
        return await connection.read_head()

    def _patience_s(self) -> float | None:
        """Give the time after which another upstream may be tried; None for never."""
        terms = self.exchange.terms
        if not (terms.idempotent and terms.resendable) or self._assigned is None:
            return None
        usual_s = self.dispatch.usual_s(self.service, self.ticket)
        return max(MIN_PATIENCE_S, PATIENCE * usual_s)

    def _may_leave_upstream(self) -> bool:
        """Tell whether to try another upstream; a planned stop breaks nothing off."""
        return (
            not self.dispatch.node.leave.is_leaving
            and self._upstream_is_silent()
            and self.exchange.could_try_again()
        )

    def _upstream_is_silent(self) -> bool:
        assert self._assigned is not None
        answered_at = self.dispatch.answered_at(self.service, self._assigned.upstream)
        return answered_at < self._sent_at

    async def _take_head(
        self, head: h11.Response, connection: ClientConnection, *, to_peer: bool
    ) -> ExchangeEvent:
        self._head = head
        self._head_s = monotonic() - self._sent_at
        headers = as_header_list(head.headers)
        if to_peer:
            proves = _peer_proves_not_run(headers)
        else:
            self._reported_load = self.dialect.reported_load(headers)
            proves = self.dialect.proves_not_run(head.status_code, headers)
            if not self.dialect.answers(self.source.headers, headers):
                return Broke(bytes_handed_over=True)
        if proves:
            self.record.note_not_run()
            return HeadArrived(proves_not_run=True)
        self._held = None
        if self._may_hold(headers, to_peer=to_peer):
            whole = await connection.read_body(max_bytes=self.hold_answer_bytes)
            if whole.is_err():
                return Broke(bytes_handed_over=True)
            self._held = whole.unwrap()
        return HeadArrived()

    def _may_hold(self, headers: HeaderList, *, to_peer: bool) -> bool:
        """Tell whether the answer is short enough to be held until it is whole."""
        length = find_header(headers, b"content-length")
        if to_peer or length is None or self.source.method == "HEAD":
            return False
        return int(length) <= self.hold_answer_bytes

    def _broke(self, connection: ClientConnection) -> Broke:
        if not connection.bytes_handed_over:
            self.record.note_not_run()
        return Broke(bytes_handed_over=connection.bytes_handed_over)

    def _outgoing_headers(
        self, connection: ClientConnection, to_peer: bool
    ) -> HeaderList:
        headers = self.peer_headers if to_peer else self.upstream_headers
        return [
            *self._own_headers(connection, to_peer=to_peer),
            *headers,
            *self.body.framing,
        ]

    def _own_headers(
        self, connection: ClientConnection, *, to_peer: bool
    ) -> HeaderList:
        dialect = self.dialect
        host = (b"host", str(connection.endpoint).encode())
        if to_peer:
            deadline = str(self.deadline_ms).encode()
            return [host, (header_names.DEADLINE, deadline)]
        own = [] if dialect.keeps_head else [host]
        if dialect.deadline_is_time_left:
            left_ms = max(1, int((self.ticket.deadline - monotonic()) * 1000))
            own.append((dialect.deadline, str(left_ms).encode()))
        else:
            own.append((dialect.deadline, str(self.deadline_ms).encode()))
        if dialect.wanted_upstream is not None and self._assigned is not None:
            own.append((dialect.wanted_upstream, self._assigned.upstream.encode()))
        return own

    async def _relay(self) -> ExchangeEvent:
        assert self._head is not None
        assert self._connection is not None
        headers = self._answer_headers(self._head)
        status = self._head.status_code
        await self._to_caller(
            partial(self.source.send_head, status=status, headers=headers)
        )
        kept: list[bytes] | None = [] if self.exchange.terms.recorded else None
        size = 0
        while True:
            chunk = await self._next_chunk(self._connection)
            if chunk.is_err():
                return Broke(bytes_handed_over=True)
            data = chunk.unwrap()
            if data is None:
                break
            size += len(data)
            kept = kept if size <= self.max_recorded_bytes else None
            if kept is not None:
                kept.append(data)
            await self._to_caller(partial(self.source.send_data, data))
        self.record.finish(self._recorded(headers, kept))
        await self._to_caller(self.source.finish)
        return AnswerEnded()

    async def _next_chunk(
        self, connection: ClientConnection
    ) -> Result[bytes | None, ConnectionLost]:
        if self._held is None:
            return await connection.read_chunk()
        held, self._held = self._held, b""
        return Ok(held or None)

    async def _to_caller(self, send: Callable[[], Awaitable[None]]) -> None:
        if self._caller_gone:
            return
        try:
            await send()
        except CallerGoneError:
            if not self.exchange.terms.recorded:
                raise
            self._caller_gone = True
            self.source.closes = True

    def _answer_headers(self, head: h11.Response) -> HeaderList:
        kept = [
            each
            for each in as_header_list(without_hop_by_hop(head.headers))
            if each[0] != header_names.OUTCOME
        ]
        outcome = find_header(head.headers, header_names.OUTCOME)
        if self._assigned is not None or outcome is None:
            outcome = Outcome.DONE.value.encode()
        kept.append((header_names.OUTCOME, outcome))
        if self._assigned is not None:
            served_by = f"{self.vm}/{self._assigned.upstream}"
            kept.append((header_names.SERVED_BY, served_by.encode()))
        return kept

    def _recorded(
        self, headers: HeaderList, kept: list[bytes] | None
    ) -> RecordedAnswer | None:
        if kept is None or self._head is None:
            return None
        content = [
            each for each in headers if each[0] not in (b"content-length", b"date")
        ]
        return RecordedAnswer(
            status=self._head.status_code, headers=content, body=b"".join(kept)
        )

    async def _end_upstream(self, verdict: Verdict) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            if verdict is Verdict.ANSWERED:
                await self.pool.release(connection)
            else:
                await self.pool.discard(connection)
        assigned, self._assigned = self._assigned, None
        if assigned is None:
            return
        answered = verdict is Verdict.ANSWERED
        ended = Ended(
            ticket=self.ticket,
            upstream=assigned.upstream,
            verdict=verdict,
            head_s=self._head_s if answered else None,
            total_s=monotonic() - self._sent_at if answered else None,
            connect_s=self._connect_s,
            reported_load=self._reported_load,
        )
        self._connect_s = self._reported_load = None
        await self.dispatch.tell(self.service, ended)

    async def _drop_connection(self) -> None:
        if self._connection is not None:
            connection, self._connection = self._connection, None
            await self.pool.discard(connection)

    async def _answer(self, answer: AnswerCaller) -> None:
        if answer.outcome is Outcome.NOT_RUN:
            self.record.release()
        if self.source.head_sent:
            self.source.abort()
            return
        await answer_with_outcome(self.source, answer, self.dialect)


def _peer_proves_not_run(headers: HeaderList) -> bool:
    outcome = find_header(headers, header_names.OUTCOME)
    return outcome == Outcome.NOT_RUN.value.encode()


async def answer_with_outcome(
    source: ServerExchange, answer: AnswerCaller, dialect: Dialect
) -> None:
    """Tell a caller what is known of its request.

    Parameters
    ----------
    source : ServerExchange
        The caller's side.
    answer : AnswerCaller
        What is known.
    dialect : Dialect
        Form of the time to come back.
    """
    headers = [
        (header_names.OUTCOME, answer.outcome.value.encode()),
        (header_names.REASON, answer.reason.encode()),
        (b"content-type", b"text/plain"),
    ]
    if answer.status == _UNAVAILABLE:
        retry_after_s = answer.retry_after_s or DEFAULT_RETRY_AFTER_S
        whole = not dialect.fractional_retry_after
        seconds = f"{math.ceil(retry_after_s) if whole else retry_after_s:.3g}".encode()
        headers.append((header_names.RETRY_AFTER, seconds))
        exact = str(math.ceil(retry_after_s * 1000)).encode()
        headers.append((b"plankspindle-retry-after-ms", exact))
    body = f"{answer.outcome.value}: {answer.reason}\n".encode()
    await source.answer(status=answer.status, headers=headers, body=body)


def wall_ms() -> int:
    """Milliseconds since the Unix epoch."""
    return int(time.time() * 1000)
