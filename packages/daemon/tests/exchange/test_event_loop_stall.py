"""An incident: one process ended by itself, and cut all requests that it had.

Seen: fifteen requests on kept connections of one entry VM lost their upstream and their
caller within 10 ms, some seconds after all entry VMs had started again and were fully
loaded. Hunts had seen the like: exit status 70, cause not kept.
How: a request waits for the head of an answer within two limits, its patience with the
upstream inside its deadline. The loop is busy for some 50 ms. The patience runs out
while the head has come but the request has not yet been given the processor, and the
deadline passes before it is.
Cause: the event loop's library keeps the inner limit's end for the next wait, after the
inner limit was left, and finds no limit there that it belongs to: an error that no code
expects. And an unexpected error of one request ended the process, with all the others.
Proof: this order of events, made on purpose; that it was this on the day is likely, not
proved, since no log of it was kept.
"""

from __future__ import annotations

import socket
import time
from itertools import count
from types import SimpleNamespace
from typing import Any
from typing import cast

import curio
import pytest
from attrs import define
from attrs import field

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.headers import HeaderList
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.admission.caller_directory import Identity
from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.exchange.attempt import Attempt
from plankspindle_daemon.exchange.attempt import OutgoingRequest
from plankspindle_daemon.exchange.dialect import Dialect
from plankspindle_daemon.exchange.exchange import Exchange
from plankspindle_daemon.exchange.messages import ExecutionPolicy
from plankspindle_daemon.exchange.messages import ToUpstream
from plankspindle_daemon.exchange.request_admission import RequestAdmission
from plankspindle_daemon.exchange.request_body import RequestBody
from plankspindle_daemon.exchange.request_runner import RequestRunner
from plankspindle_daemon.idempotency.request_records import NoRecord
from plankspindle_daemon.quarantine.crash_detector import CrashDetector
from plankspindle_daemon.quarantine.quarantine import Quarantine
from plankspindle_daemon.quarantine.request_identity import RequestIdentity
from plankspindle_daemon.retries.retry_budget import RetryBudget
from plankspindle_daemon.traces.request_trace import RequestTrace
from plankspindle_daemon.upstreams.connection_pool import ConnectionPool
from plankspindle_testkit.builders import build_membership
from plankspindle_testkit.builders import build_ticket
from plankspindle_testkit.loopback_network import host_of_run

_PORTS = count(18_980)
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n"
PATIENCE_S = 0.6
"""Shortest patience with an upstream."""
DEADLINE_S = 0.7
UNTIL_HEAD_S = 0.5
BUSY_S = 0.15
"""Time that the loop is busy, twice: past the patience, and past the deadline."""


@define
class FakeSource:
    """The caller's side of a request without a body."""

    method: str = "GET"
    target: str = "/plates/1"
    headers: HeaderList = field(factory=list)
    body_is_read: bool = False
    head_sent: bool = False
    statuses: list[int] = field(factory=list)

    async def answer(self, *, status: int, **rest: object) -> None:
        self.statuses.append(status)


@define
class FakeDispatch:
    """Gives one upstream to every request."""

    endpoint: Endpoint
    usually_s: float = 0.0
    told: list[Any] = field(factory=list)

    async def await_upstream(
        self, service: str, ticket: Any, trace: RequestTrace
    ) -> Assign:
        return Assign(ticket=ticket, upstream="u", endpoint=self.endpoint)

    async def handle(self, service: str, event: Any) -> None:
        self.told.append(event)

    async def withdraw(self, service: str, ticket: Any) -> None:
        return None

    def expected_duration_s(self, service: str, ticket: Any) -> float:
        return self.usually_s


async def send_nothing(news: object) -> None:
    return None


def build_runner(dispatch: FakeDispatch, source: FakeSource) -> RequestRunner:
    deadline = monotonic() + DEADLINE_S
    pool = ConnectionPool(max_per_endpoint=4, connect_timeout_s=5.0)
    story = RequestTrace(
        request_id="r", id_is_from_caller=False, started_at=0.0, started_at_unix=0.0
    )
    return RequestRunner(
        vm="a",
        service="registry",
        outgoing=OutgoingRequest(
            source=cast("Any", source),
            path=source.target,
            upstream_headers=[],
            peer_headers=[],
            body=RequestBody(content=b"", framing=[]),
            deadline=deadline,
            deadline_ms=round((time.time() + DEADLINE_S) * 1000),
            dialect=Dialect(),
            max_buffered_answer_bytes=100,
        ),
        exchange=Exchange(
            policy=ExecutionPolicy(idempotent=True, resendable=True, recorded=False),
            route=ToUpstream(),
            budget=RetryBudget(percent=100),
        ),
        ticket=build_ticket(1, deadline=deadline),
        record=NoRecord(),
        dispatch=cast("Any", dispatch),
        pool=pool,
        trace=story,
        max_recorded_bytes=0,
        identity=RequestIdentity(caller=None, method="GET", target=source.target),
        crash_detector=CrashDetector(
            quarantine=Quarantine.create("a", "ba-1", build_membership("a")),
            pool=pool,
            supervisor=Supervisor(),
            send_messages=send_nothing,
        ),
        admission=RequestAdmission(
            identity=Identity(caller=None, rank=0),
            node=cast("Any", SimpleNamespace(directory=None)),
            quotas=cast("Any", None),
            trace=story,
        ),
    )


async def run_busy() -> FakeSource:
    """Let a head come while the loop is busy from the patience to the deadline."""
    endpoint = Endpoint(host_of_run(7, 11), next(_PORTS))
    busy = curio.Event()

    async def keep_busy() -> None:
        await busy.wait()
        time.sleep(BUSY_S)

    with socket.create_server((endpoint.host, endpoint.port)) as listener:
        source = FakeSource()
        runner = build_runner(FakeDispatch(endpoint), source)
        request = await curio.spawn(runner.run)
        other = await curio.spawn(keep_busy)
        await curio.sleep(UNTIL_HEAD_S)
        upstream, _ = listener.accept()
        with upstream:
            await busy.set()
            upstream.sendall(HEAD)
            time.sleep(BUSY_S)
            await request.join()
            await other.join()
    return source


class UnexpectedError(Exception):
    """What no code expects."""


async def break_off(monkeypatch: pytest.MonkeyPatch, step: str) -> FakeDispatch:
    async def raise_it(self: Attempt, *_: object) -> None:
        raise UnexpectedError

    endpoint = Endpoint(host_of_run(7, 11), next(_PORTS))
    dispatch = FakeDispatch(endpoint, usually_s=DEADLINE_S)
    with socket.create_server((endpoint.host, endpoint.port)):
        monkeypatch.setattr(Attempt, step, raise_it)
        runner = build_runner(dispatch, FakeSource())
        with pytest.raises(UnexpectedError):
            await runner.run()
        assert runner.pool.open_connections == 0
    return dispatch


@pytest.mark.parametrize("step", ["open", "send", "end"])
def test_an_unexpected_error_of_a_request_gives_its_slot_back(
    monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    (ended,) = curio.run(break_off, monkeypatch, step).told
    assert (ended.upstream, ended.outcome) == ("u", AttemptOutcome.CANCELLED)


def test_a_request_whose_limits_pass_while_the_loop_is_busy_ends_at_its_deadline() -> (
    None
):
    source = curio.run(run_busy)
    assert source.statuses == [504]
