"""Tests that a malformed request head fails that request and nothing else."""

from __future__ import annotations

from typing import Any
from typing import cast

import curio
import pytest
from attrs import define
from attrs import field

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.client_connection import ClientConnection
from plankspindle_core.http.headers import HeaderList
from plankspindle_core.http.headers import find_header
from plankspindle_core.http.headers import without_hop_by_hop
from plankspindle_daemon.listeners.caller_listener import CallerListener


@define
class FakeSource:
    """A request without a body that records the status of its answer."""

    target: str
    method: str = "GET"
    headers: HeaderList = field(factory=list)
    statuses: list[int] = field(factory=list)

    async def read_body(self, *, max_bytes: int) -> bytes:
        return b""

    async def answer(self, *, status: int, **rest: object) -> None:
        self.statuses.append(status)


@define
class FakeNode:
    """A node without a configuration."""

    configuration: None = None
    steering: None = None
    ids: Any = None


def status_of(method: str, target: str) -> int:
    listener = CallerListener.__new__(CallerListener)
    listener.node = cast("Any", FakeNode())
    source = FakeSource(target, method)
    curio.run(listener._serve_builtin, source)
    (status,) = source.statuses
    return status


@pytest.mark.parametrize("target", ["//[", "http://[x/", "//]/?a=[", "//\x85", "?", ""])
def test_malformed_target_is_answered(target: str) -> None:
    assert status_of("GET", target) == 503


@pytest.mark.parametrize("count", ["%C2%B2", "9" * 5_000, "-1", "1.5", "0", "101"])
def test_invalid_count_is_refused(count: str) -> None:
    assert status_of("POST", f"/v1/request-ids?count={count}") == 400


def test_connection_header_cannot_remove_host_or_content_length() -> None:
    headers = [
        (b"host", b"desk.example"),
        (b"content-length", b"3"),
        (b"connection", b"host, content-length, x-own"),
        (b"x-own", b"1"),
    ]
    kept = without_hop_by_hop(headers)
    assert find_header(kept, b"host") == b"desk.example"
    assert find_header(kept, b"content-length") == b"3"
    assert find_header(kept, b"x-own") is None


@pytest.mark.parametrize(
    "headers",
    [[], [(b"host", b"a"), (b"x", b"\x00")], [(b"host", b"a"), (b"host", b"b")]],
)
def test_sending_invalid_headers_returns_an_error(headers: HeaderList) -> None:
    async def send() -> bool:
        connection = ClientConnection(endpoint=Endpoint("127.0.0.1", 9))
        sent = await connection.send_request(method="GET", target="/", headers=headers)
        return sent.is_err() and not connection.bytes_handed_over

    assert curio.run(send)


def test_connecting_without_free_file_descriptors_returns_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def refuse(*_: object) -> None:
        raise OSError(24, "Too many open files")

    async def start() -> bool:
        connection = ClientConnection(endpoint=Endpoint("127.0.0.1", 9))
        return (await connection.start(timeout_s=1.0)).is_err()

    monkeypatch.setattr(curio.socket, "socket", refuse)
    assert curio.run(start)
