"""Tests that a connection to a server that disappears without a reset is ended."""

from __future__ import annotations

import socket
from itertools import count
from typing import TYPE_CHECKING

import curio
import pytest

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.http.limits import HttpLimits
from plankspindle_core.http.server import HttpServer
from plankspindle_testkit.loopback_network import loopback_host

if TYPE_CHECKING:
    from plankspindle_core.http.server_exchange import ServerExchange

_PORTS = count(18_900)
MOST_S = 3.0
"""Longest time to detect it without a reset and without a request, in seconds."""


@pytest.fixture
def options() -> dict[int, int]:
    """Return the TCP options of an established connection."""
    endpoint = Endpoint(loopback_host(7, 9), next(_PORTS))

    async def handle(source: ServerExchange) -> None:
        await source.answer(status=200)

    async def run() -> dict[int, int]:
        server = HttpServer(endpoint=endpoint, limits=HttpLimits(), handler=handle)
        await server.start()
        connection = ClientConnection(endpoint=endpoint)
        assert (await connection.start(timeout_s=5.0)).is_ok()
        plain = connection._socket
        found = {
            option: plain.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_NODELAY,
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_KEEPCNT,
                socket.TCP_USER_TIMEOUT,
            )
        }
        keeps_alive = plain.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        found[-1] = int(keeps_alive != 0)
        await connection.close()
        await server.close()
        return found

    return curio.run(run)  # type: ignore[no-any-return]


def test_idle_connection_is_probed_by_tcp_keepalive(options: dict[int, int]) -> None:
    assert options[-1] == 1
    probes = options[socket.TCP_KEEPCNT] * options[socket.TCP_KEEPINTVL]
    assert 0 < options[socket.TCP_KEEPIDLE] + probes <= MOST_S


def test_unacknowledged_bytes_end_the_connection(
    options: dict[int, int],
) -> None:
    assert 0 < options[socket.TCP_USER_TIMEOUT] <= 1_000 * MOST_S


def test_nagles_algorithm_is_disabled(options: dict[int, int]) -> None:
    assert options[socket.TCP_NODELAY] != 0
