"""Tests of the caller with a persistent connection, against a listener of its own."""

from __future__ import annotations

import json
from itertools import count
from random import Random
from typing import TYPE_CHECKING

import curio

from plankspindle_core import header_names
from plankspindle_core.http.limits import HttpLimits
from plankspindle_core.http.server import HttpServer
from plankspindle_core.outcome import Outcome
from plankspindle_core.steady_clock import monotonic
from plankspindle_testkit.soak.guarantees import Observations
from plankspindle_testkit.soak.layout import Layout
from plankspindle_testkit.soak.load import Load
from plankspindle_testkit.soak.persistent_caller import PersistentCaller

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from plankspindle_core.http.server_exchange import ServerExchange

    Handler = Callable[["ServerExchange"], Awaitable[None]]

VM = "ba-1-0"
LOAD = Load(connections_per_vm=1, slots=1, slow_share=0.0, max_think_time_s=0.0)
_FIRST_PORTS = count(26_000, 200)
_DONE = (header_names.OUTCOME, Outcome.DONE.value.encode())


async def answer(source: ServerExchange) -> None:
    await source.read_body(max_bytes=0)
    body = json.dumps({"path": "/" + source.target.rpartition("/")[2]}).encode()
    await source.answer(status=200, headers=[_DONE], body=body)


class Listener:
    """HTTP server for one caller that records its connections.

    The objects are stored instead of their ``id``: Python reuses the ``id`` of a closed
    connection for the next one, and the two would count as one.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.connections: set[object] = set()
        self.server: HttpServer | None = None

    async def handle(self, source: ServerExchange) -> None:
        self.connections.add(source._protocol)
        await self.handler(source)

    def call(self, requests: int, *, leaving: bool = False) -> Observations:
        """Run the caller until it has made this many attempts."""
        return curio.run(self._call, requests, leaving)  # type: ignore[no-any-return]

    async def _call(self, requests: int, leaving: bool) -> Observations:
        layout = Layout(vms=1, first_port=next(_FIRST_PORTS))
        observations = Observations()
        caller = PersistentCaller(
            name="k",
            vm=VM,
            layout=layout,
            load=LOAD,
            observations=observations,
            began_at=monotonic(),
            random=Random(1),
        )
        server = HttpServer(
            endpoint=layout.proxy_endpoint("caller", VM),
            limits=HttpLimits(),
            handler=self.handle,
        )
        server.leaving = leaving
        await server.start()
        task = await curio.spawn(caller.run, daemon=True)
        while len(observations.attempts) < requests:
            await curio.sleep(0.01)
        await task.cancel()
        await server.close()
        return observations


def test_connection_is_reused() -> None:
    listener = Listener(answer)
    observations = listener.call(5)
    assert len(listener.connections) == 1
    assert {each.outcome for each in observations.attempts} == {Outcome.DONE}
    assert all(
        each.is_own_answer and not each.is_cut_off for each in observations.attempts
    )
    assert len({each.mark for each in observations.attempts}) == len(
        observations.attempts
    )


def test_caller_reconnects_after_connection_close_header() -> None:
    listener = Listener(answer)
    observations = listener.call(3, leaving=True)
    assert len(listener.connections) >= 3
    assert not any(each.is_cut_off for each in observations.attempts)


def test_close_without_answer_is_recorded() -> None:
    async def abort(source: ServerExchange) -> None:
        source.abort()

    (attempt, *_) = Listener(abort).call(1).attempts
    assert attempt.is_cut_off
    assert attempt.outcome is None


def test_close_within_answer_is_recorded() -> None:
    async def truncate(source: ServerExchange) -> None:
        await source.send_head(status=200, headers=[(b"content-length", b"100")])
        await source.send_data(b"only this")
        source.abort()

    (attempt, *_) = Listener(truncate).call(1).attempts
    assert attempt.is_cut_off
