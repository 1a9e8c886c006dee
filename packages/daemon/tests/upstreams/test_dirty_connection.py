"""Bytes that belong to no request reach no caller, and a proof that this can fail."""

from __future__ import annotations

import socket
from itertools import count
from typing import TYPE_CHECKING

import curio

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.http.fetch import exchange_on
from plankspindle_daemon.upstreams.connection_pool import ConnectionPool
from plankspindle_testkit.loopback_network import host_of_run

if TYPE_CHECKING:
    import pytest

_PORTS = count(18_950)
OWN = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown"
STRAY = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray"


async def _serve(listener: socket.socket, may_stray: curio.Event) -> None:
    """Answer each request, and send one answer more once the connection rests."""
    async with curio.TaskGroup() as group:
        for _ in range(2):
            client, _ = await listener.accept()
            await group.spawn(_serve_one, client, may_stray)


async def _serve_one(client: socket.socket, may_stray: curio.Event) -> None:
    async with client:
        while await client.recv(65_536):
            await client.sendall(OWN)
            if not may_stray.is_set():
                await may_stray.wait()
                await client.sendall(STRAY)


async def _ask(pool: ConnectionPool, endpoint: Endpoint) -> bytes:
    connection = (await pool.acquire(endpoint, max_idle_s=60.0)).unwrap()
    answer = await exchange_on(connection, method="GET", target="/", headers=[])
    await pool.release(connection)
    return answer.unwrap().body


async def _second_answer() -> tuple[bytes, int]:
    endpoint = Endpoint(host_of_run(7, 10), next(_PORTS))
    listener = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((endpoint.host, endpoint.port))
    listener.listen()
    may_stray = curio.Event()
    server = await curio.spawn(_serve, listener, may_stray)
    pool = ConnectionPool(max_per_endpoint=4, connect_timeout_s=5.0)
    first = await _ask(pool, endpoint)
    assert first == b"own"
    await may_stray.set()
    (resting,) = pool._idle_by_endpoint[endpoint]
    while not _has_bytes(resting):
        await curio.sleep(0.001)
    second = await _ask(pool, endpoint)
    await pool.close()
    await server.cancel()
    await listener.close()
    return second, pool.found_dirty


def _has_bytes(connection: ClientConnection) -> bool:
    try:
        return bool(connection._socket._socket.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False


def test_a_connection_with_stray_bytes_is_not_used_again() -> None:
    assert curio.run(_second_answer) == (b"own", 1)


def test_reuse_of_a_dirty_connection_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ClientConnection, "is_quiet", lambda self: True)
    assert curio.run(_second_answer) == (b"stray", 0)
