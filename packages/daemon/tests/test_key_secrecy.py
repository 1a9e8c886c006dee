"""Tests that API keys reach neither upstreams, nor files, nor operator answers."""

from __future__ import annotations

import json
import socketserver
import threading
from typing import TYPE_CHECKING

import pytest

from plankspindle_core import header_names
from plankspindle_core.configuration.caller import hash_api_key
from plankspindle_core.endpoint import Endpoint
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_route
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.builders import build_workspace
from plankspindle_testkit.loopback_network import loopback_host
from plankspindle_testkit.processes import Processes
from plankspindle_testkit.processes import apply_configuration
from plankspindle_testkit.processes import call
from plankspindle_testkit.processes import read_state
from plankspindle_testkit.processes import wait_for_operator_listener
from plankspindle_testkit.processes import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

PLATFORM = Endpoint(loopback_host(10, 1), 17000)
PLACE = VmAddresses(
    name="ba-1-a", failure_domain="ba-1", host=loopback_host(10, 11), base_port=17100
)
UPSTREAM = build_upstream(endpoint=Endpoint(loopback_host(10, 21), 17200), slots=4)
KEY, REVOKED, LIMITED = "ymh2rrytapjsujqurtyi", "k-revoked-93x", "k-limited-44y"
WORKSPACE = "huka270"


class RecordingUpstream(socketserver.ThreadingTCPServer):
    """Answers every request, and records the received bytes."""

    allow_reuse_address = True
    daemon_threads = True

    def __init__(self) -> None:
        super().__init__((UPSTREAM.endpoint.host, UPSTREAM.endpoint.port), _Recorder)
        self.received: list[bytes] = []


class _Recorder(socketserver.BaseRequestHandler):
    server: RecordingUpstream

    def handle(self) -> None:
        head = b""
        while b"\r\n\r\n" not in head:
            part = self.request.recv(65_536)
            if not part:
                return
            head += part
        self.server.received.append(head)
        is_report = head.startswith(b"GET /load ")
        report = {"slots": 4, "in_flight": 0}
        body = json.dumps(report).encode() if is_report else b"ok"
        self.request.sendall(
            b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: "
            + str(len(body)).encode()
            + b"\r\n\r\n"
            + body
        )


@pytest.fixture
def upstream() -> Iterator[RecordingUpstream]:
    server = RecordingUpstream()
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield server
    finally:
        server.shutdown()
        server.server_close()


@pytest.fixture
def processes(tmp_path: Path, upstream: RecordingUpstream) -> Iterator[Processes]:
    started = Processes(folder=tmp_path)
    try:
        started.start_platform(PLATFORM, [PLACE])
        started.start_daemon(PLACE, platform=PLATFORM)
        wait_for_operator_listener(PLACE)
        routes = {
            "r": build_route(host=PLACE.caller.host, path_prefix="/r/"),
            "open": build_route(host=PLACE.caller.host, path_prefix="/o/", public=True),
        }
        workspaces = {
            WORKSPACE: build_workspace(KEY),
            "tiny": build_workspace(LIMITED, rate_per_s=0.001),
        }
        configuration = build_configuration(
            upstreams_by_name={"u": UPSTREAM},
            routes_by_name=routes,
            workspaces_by_name=workspaces,
        )
        apply_configuration(PLACE, configuration)
        wait_until(lambda: ask("/r/1", KEY) == 200, what="a served request")
        yield started
    finally:
        started.close()


def ask(target: str, key: str | None, *more: tuple[bytes, bytes]) -> int:
    headers = [*more]
    if key is not None:
        headers.append((header_names.AUTHORIZATION, f"Bearer {key}".encode()))
    return call(PLACE.caller, target=target, headers=headers).status


def test_api_keys_do_not_leave_process(
    processes: Processes, upstream: RecordingUpstream
) -> None:
    forged = (header_names.WORKSPACE, b"forged")
    service = "/v1/services/registry/plates/1"
    assert ask("/r/1", KEY, forged) == 200
    assert ask("/o/1", KEY, forged) == 200
    assert ask("/o/1", REVOKED, forged) == 200
    assert ask(service, KEY, forged) == 200
    assert ask("/r/1", REVOKED) == 401
    assert ask("/r/1", None) == 401
    assert ask("/r/1", LIMITED) in (429, 503)
    sent = [each for each in upstream.received if not each.startswith(b"GET /load ")]
    named = [each for each in sent if b"plankspindle-workspace: huka270" in each]
    assert named
    assert b"forged" not in b"".join(sent)
    assert b"authorization" not in b"".join(sent).lower()
    log_path = processes.folder.rglob("*")
    written = b"".join(path.read_bytes() for path in log_path if path.is_file())
    shown = json.dumps(read_state(PLACE)).encode()
    shown += call(PLACE.operator, target="/metrics").body
    shown += call(PLACE.operator, target="/v1/configuration").body
    for key in (KEY, REVOKED, LIMITED):
        for place in (written, shown, b"".join(sent)):
            assert key.encode() not in place
    for digest in map(hash_api_key, (KEY.encode(), LIMITED.encode())):
        assert digest.encode() not in json.dumps(read_state(PLACE)).encode()
