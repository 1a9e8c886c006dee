"""Tests of the partition of a process from its upstreams."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.http.limits import HttpLimits
from plankspindle_core.http.server import HttpServer
from plankspindle_core.steady_clock import monotonic
from plankspindle_testkit.loopback_network import loopback_host
from plankspindle_testkit.upstream_partition import SILENCE_S
from plankspindle_testkit.upstream_partition import PartitionMode
from plankspindle_testkit.upstream_partition import UpstreamPartition

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from plankspindle_core.http.server_exchange import ServerExchange

_PORTS = count(19_400)
UPSTREAM, OTHER = loopback_host(7, 31), loopback_host(7, 32)


@pytest.fixture
def modes(monkeypatch: pytest.MonkeyPatch) -> list[PartitionMode]:
    """Return a list whose last element is the mode of this process."""
    modes = [PartitionMode.NONE]
    monkeypatch.setattr(ClientConnection, "start", ClientConnection.start)
    UpstreamPartition(
        hosts=frozenset({UPSTREAM}), read_mode=lambda: modes[-1]
    ).install()
    return modes


def run_with_server(
    host: str, use: Callable[[ClientConnection], Awaitable[Any]]
) -> Any:
    """Serve at a host, and use a connection to it that is not started yet."""
    endpoint = Endpoint(host, next(_PORTS))

    async def handle(source: ServerExchange) -> None:
        await source.answer(status=200)

    async def run() -> Any:
        server = HttpServer(endpoint=endpoint, limits=HttpLimits(), handler=handle)
        await server.start()
        connection = ClientConnection(endpoint=endpoint)
        try:
            return await use(connection)
        finally:
            await connection.close()
            await server.close()

    return curio.run(run)


async def status_of(connection: ClientConnection) -> int | str:
    headers = [(b"host", b"any")]
    await connection.send_request(method="GET", target="/", headers=headers)
    ended = await connection.end_request()
    if ended.is_err():
        return str(ended.unwrap_err().detail)
    head = await connection.read_head()
    if head.is_err():
        return str(head.unwrap_err().detail)
    return int(head.unwrap().status_code)


@pytest.mark.parametrize(
    ("mode", "is_refused"),
    [
        (PartitionMode.HANG, False),
        (PartitionMode.RESET, False),
        (PartitionMode.REFUSE_NEW, True),
    ],
)
def test_new_connections_fail(
    modes: list[PartitionMode], mode: PartitionMode, is_refused: bool
) -> None:
    modes.append(mode)

    async def use(connection: ClientConnection) -> None:
        started = await connection.start(timeout_s=0.1)
        assert started.unwrap_err().is_refused is is_refused

    run_with_server(UPSTREAM, use)


@pytest.mark.parametrize(
    ("mode", "outcome"),
    [
        (PartitionMode.HANG, "TimeoutError: partitioned"),
        (PartitionMode.RESET, "ConnectionResetError: partitioned"),
        (PartitionMode.REFUSE_NEW, 200),
    ],
)
def test_open_connection_hangs_is_reset_or_lives_on(
    modes: list[PartitionMode], mode: PartitionMode, outcome: int | str
) -> None:
    async def use(connection: ClientConnection) -> tuple[int | str, float]:
        assert (await connection.start(timeout_s=1.0)).is_ok()
        modes.append(mode)
        began_at = monotonic()
        return await status_of(connection), monotonic() - began_at

    found, took_s = run_with_server(UPSTREAM, use)
    assert found == outcome
    assert (took_s > SILENCE_S) is (mode is PartitionMode.HANG)


def test_other_hosts_are_not_affected(modes: list[PartitionMode]) -> None:
    modes.append(PartitionMode.RESET)

    async def use(connection: ClientConnection) -> int | str:
        assert (await connection.start(timeout_s=1.0)).is_ok()
        return await status_of(connection)

    assert run_with_server(OTHER, use) == 200
