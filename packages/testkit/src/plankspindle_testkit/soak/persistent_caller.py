"""Caller that reuses a persistent connection until it closes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen
from curio import TaskTimeout
from curio import sleep
from result import Err
from result import Ok
from result import Result

from plankspindle_core import header_names
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.http.errors import ConnectionLost
from plankspindle_core.http.errors import HttpError
from plankspindle_core.http.errors import TimedOut
from plankspindle_core.http.fetch import HttpAnswer
from plankspindle_core.http.headers import as_header_list
from plankspindle_core.outcome import Outcome
from plankspindle_core.time_limit import within
from plankspindle_testkit.soak.layout import SERVICE
from plankspindle_testkit.soak.layout import TIMEOUT_MS
from plankspindle_testkit.soak.load import MIN_SLOW_TIMEOUT_MS
from plankspindle_testkit.soak.load import Load
from plankspindle_testkit.soak.recording_caller import AUTHORIZATION
from plankspindle_testkit.soak.recording_caller import RecordingCaller
from plankspindle_testkit.upstream_stand_in.upstream_stand_in import MARK_HEADER
from plankspindle_testkit.upstream_stand_in.upstream_stand_in import WORK_MS_HEADER

if TYPE_CHECKING:
    from plankspindle_core.http.headers import HeaderList

CONNECT_TIMEOUT_S = 1.0
MEAN_RECONNECT_DELAY_S = 0.2
"""Mean time until a closed connection is replaced, in seconds."""
MAX_REFUSED_DELAY_S = 1.0
"""Maximum pause after an answer ``not-run``, in seconds; the minimum is half of it.

Without a pause, refused requests rather than running ones would determine the load.
"""
ANSWER_GRACE_S = 3.0
"""Time after the deadline during which an answer may still come, in seconds."""
MAX_BODY_BYTES = 1_000_000
SHORT_WORK_MS = 5.0
MIN_SLOW_WORK_SHARE = 0.6
MAX_SLOW_WORK_SHARE = 1.1
"""Range of the duration of slow requests, as a share of their timeout."""


@frozen
class RequestNotSent(ConnectionLost):
    """The connection was lost before the request was sent completely."""


@frozen(kw_only=True)
class PlannedRequest:
    """One request on a persistent connection.

    Parameters
    ----------
    mark : str
        Identifies the request at upstreams.
    is_read : bool
        Whether it may run more than once.
    timeout_ms : int
        Timeout of the request, in milliseconds.
    work_ms : float
        Duration of the request at an upstream, in milliseconds.
    """

    mark: str
    is_read: bool
    timeout_ms: int
    work_ms: float


@define(kw_only=True)
class PersistentCaller(RecordingCaller):
    """Caller that sends requests one after the other on one connection to one VM.

    Parameters
    ----------
    vm : str
        The entry VM.
    load : Load
        Durations and pauses of requests.

    Notes
    -----
    It continues while the VM leaves, until an answer says ``Connection: close`` or the
    connection ends, and then reconnects.
    """

    vm: str
    load: Load

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            connection = ClientConnection(
                endpoint=self.layout.proxy_endpoint("caller", self.vm)
            )
            if (await connection.start(timeout_s=CONNECT_TIMEOUT_S)).is_ok():
                await self._send_until_closed(connection)
            await connection.close()
            await sleep(MEAN_RECONNECT_DELAY_S * (0.5 + self.random.random()))

    async def _send_until_closed(self, connection: ClientConnection) -> None:
        while await self._send(connection, self._draw_request()):
            was_refused = self.observations.attempts[-1].outcome is Outcome.NOT_RUN
            if was_refused:
                await sleep(MAX_REFUSED_DELAY_S * self.random.uniform(0.5, 1.0))
            else:
                await sleep(self.load.max_think_time_s * self.random.random() ** 2)

    def _draw_request(self) -> PlannedRequest:
        mark = self.next_mark()
        is_slow = self.random.random() < self.load.slow_share
        timeout_ms, work_ms = TIMEOUT_MS, SHORT_WORK_MS
        if is_slow and not self.observations.is_recovering:
            timeout_ms = self.random.randrange(
                MIN_SLOW_TIMEOUT_MS, self.load.max_slow_timeout_ms
            )
            work_ms = timeout_ms * self.random.uniform(
                MIN_SLOW_WORK_SHARE, MAX_SLOW_WORK_SHARE
            )
        return PlannedRequest(
            mark=mark,
            is_read=self.random.random() < 2 / 3,
            timeout_ms=timeout_ms,
            work_ms=work_ms,
        )

    async def _send(
        self, connection: ClientConnection, request: PlannedRequest
    ) -> bool:
        """Make one exchange; return whether the connection can be reused."""
        self.observations.in_flight_marks.add(request.mark)
        sent_at = self.now()
        wait_s = request.timeout_ms / 1000 + ANSWER_GRACE_S
        answer: Result[HttpAnswer, HttpError]
        try:
            answer = await within(wait_s, _exchange, connection, request)
        except TaskTimeout:
            answer = Err(TimedOut(wait_s))
        self._record_attempt(request, sent_at, answer)
        self.observations.in_flight_marks.discard(request.mark)
        return answer.is_ok() and connection.prepare_reuse()

    def _record_attempt(
        self,
        request: PlannedRequest,
        sent_at: float,
        answer: Result[HttpAnswer, HttpError],
    ) -> None:
        error = answer.err()
        self.record_attempt(
            answer.ok(),
            mark=request.mark,
            vm=self.vm,
            is_read=request.is_read,
            sent_at=sent_at,
            timeout_ms=request.timeout_ms,
            is_cut_off=isinstance(error, ConnectionLost)
            and not isinstance(error, RequestNotSent),
        )


async def _exchange(
    connection: ClientConnection, request: PlannedRequest
) -> Result[HttpAnswer, HttpError]:
    sent = await connection.send_request(
        method="GET" if request.is_read else "POST",
        target=f"/v1/services/{SERVICE}/{request.mark}",
        headers=_headers_of(connection, request),
    )
    if sent.is_ok():
        sent = await connection.end_request()
    if sent.is_err():
        return Err(RequestNotSent(str(sent.unwrap_err())))
    head = await connection.read_head()
    if head.is_err():
        return Err(head.unwrap_err())
    body = await connection.read_body(max_bytes=MAX_BODY_BYTES)
    if body.is_err():
        return Err(body.unwrap_err())
    return Ok(
        HttpAnswer(
            status=head.unwrap().status_code,
            headers=as_header_list(head.unwrap().headers),
            body=body.unwrap(),
        )
    )


def _headers_of(connection: ClientConnection, request: PlannedRequest) -> HeaderList:
    return [
        (b"host", str(connection.endpoint).encode()),
        (b"content-length", b"0"),
        AUTHORIZATION,
        (MARK_HEADER, request.mark.encode()),
        (WORK_MS_HEADER, f"{request.work_ms:.0f}".encode()),
        (header_names.TIMEOUT, str(request.timeout_ms).encode()),
    ]
