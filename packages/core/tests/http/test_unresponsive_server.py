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


def unanswered_probes(options: dict[int, int]) -> tuple[int, float]:
    """Return how many probes go unanswered before an idle connection ends, and when.

    Linux looks once an interval, from the first probe on. Where a user timeout is set,
    that alone decides once a probe is out; otherwise the number of probes does.
    """
    user_timeout_s = options[socket.TCP_USER_TIMEOUT] / 1_000
    probes, silent_s = 1, float(options[socket.TCP_KEEPIDLE])
    while True:
        silent_s += options[socket.TCP_KEEPINTVL]
        if user_timeout_s:
            is_ended = silent_s >= user_timeout_s
        else:
            is_ended = probes >= options[socket.TCP_KEEPCNT]
        if is_ended:
            return probes, silent_s
        probes += 1


def test_idle_connection_is_probed_by_tcp_keepalive(options: dict[int, int]) -> None:
    assert options[-1] == 1
    _, ended_after_s = unanswered_probes(options)
    assert 0 < ended_after_s <= MOST_S


def test_one_lost_probe_does_not_end_a_connection(options: dict[int, int]) -> None:
    """A request waits for its answer while the link loses single packets.

    Guards against a user timeout that is shorter than the probes take: it also decides
    when they give up, whatever their count, so that each lost probe cut a request off.
    """
    probes, _ = unanswered_probes(options)
    assert probes >= 2
    assert probes == options[socket.TCP_KEEPCNT]


def test_unacknowledged_bytes_end_the_connection(
    options: dict[int, int],
) -> None:
    assert 0 < options[socket.TCP_USER_TIMEOUT] <= 1_000 * MOST_S


def test_nagles_algorithm_is_disabled(options: dict[int, int]) -> None:
    assert options[socket.TCP_NODELAY] != 0
