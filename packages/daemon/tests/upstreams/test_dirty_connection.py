"""Tests that bytes which belong to no request reach no caller.

An upstream sends a second answer on an idle connection. If the connection is reused,
the next request gets that answer; one test shows this with the check switched off.
"""

from __future__ import annotations

import socket
from itertools import count
from typing import TYPE_CHECKING

import curio

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.http.fetch import exchange_on
from plankspindle_daemon.upstreams.connection_pool import ConnectionPool
from plankspindle_testkit.loopback_network import loopback_host

if TYPE_CHECKING:
    import pytest

_PORTS = count(18_950)
OWN = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown"
STRAY = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray"


async def _serve(listener: socket.socket, send_stray: curio.Event) -> None:
    """Answer each request, and send one stray answer once the connection is idle."""
    async with curio.TaskGroup() as group:
        for _ in range(2):
            client, _ = await listener.accept()
            await group.spawn(_serve_one, client, send_stray)


async def _serve_one(client: socket.socket, send_stray: curio.Event) -> None:
    async with client:
        while await client.recv(65_536):
            await client.sendall(OWN)
            if not send_stray.is_set():
                await send_stray.wait()
                await client.sendall(STRAY)


async def _request(pool: ConnectionPool, endpoint: Endpoint) -> bytes:
    connection = (await pool.acquire(endpoint, max_idle_s=60.0)).unwrap()
    answer = await exchange_on(connection, method="GET", target="/", headers=[])
    await pool.release(connection)
    return answer.unwrap().body


async def _second_answer() -> tuple[bytes, int]:
    endpoint = Endpoint(loopback_host(7, 10), next(_PORTS))
    listener = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((endpoint.host, endpoint.port))
    listener.listen()
    send_stray = curio.Event()
    server = await curio.spawn(_serve, listener, send_stray)
    pool = ConnectionPool(max_per_endpoint=4, connect_timeout_s=5.0)
    first = await _request(pool, endpoint)
    assert first == b"own"
    await send_stray.set()
    (idle,) = pool._idle_by_endpoint[endpoint]
    while not _has_bytes(idle):
        await curio.sleep(0.001)
    second = await _request(pool, endpoint)
    await pool.close()
    await server.cancel()
    await listener.close()
    return second, pool.found_dirty


def _has_bytes(connection: ClientConnection) -> bool:
    try:
        return bool(connection._socket._socket.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False


def test_connection_with_stray_bytes_is_not_reused() -> None:
    assert curio.run(_second_answer) == (b"own", 1)


def test_reuse_of_dirty_connection_would_return_stray_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ClientConnection, "is_idle", lambda self: True)
    assert curio.run(_second_answer) == (b"stray", 0)
