"""Tests of the headers that go on with a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from plankspindle_core import header_names
from plankspindle_daemon.exchange.caller_request import headers_for_peer
from plankspindle_daemon.exchange.caller_request import headers_for_upstream
from plankspindle_daemon.exchange.caller_request import passthrough_headers
from plankspindle_daemon.exchange.dialect import Dialect

if TYPE_CHECKING:
    from plankspindle_core.http.headers import HeaderList

DIALECT = Dialect(
    key_scheme="Token", workspace=b"x-tenant", passes_headers_through=True
)
KEY = b"ymh2rrytapjsujqurtyi"
SENT: HeaderList = [
    (b"host", b"desk.example"),
    (header_names.AUTHORIZATION, b"Token " + KEY),
    (b"x-tenant", b"forged"),
    (b"x-tenant", b"forged-too"),
    (b"connection", b"X-Tenant, close"),
    (b"accept", b"*/*"),
]


def values(headers: HeaderList, name: bytes) -> list[bytes]:
    return [value for key, value in headers if key == name]


@pytest.mark.parametrize("workspace", [None, "huka270"])
def test_an_upstream_is_told_the_workspace_and_never_the_key(
    workspace: str | None,
) -> None:
    kept = passthrough_headers(SENT, dialect=DIALECT, workspace=workspace)
    told = [] if workspace is None else [workspace.encode()]
    assert values(kept, b"x-tenant") == told
    assert values(kept, header_names.AUTHORIZATION) == []
    assert values(kept, b"host") == [b"desk.example"]
    assert KEY not in repr(kept).encode()


def test_the_products_own_head_tells_caller_and_workspace() -> None:
    sent = [*SENT, (header_names.WORKSPACE, b"forged")]
    kept = headers_for_upstream(
        sent, caller="huka270", workspace="huka270", peer_host="10.0.0.1"
    )
    assert values(kept, header_names.WORKSPACE) == [b"huka270"]
    assert values(kept, b"plankspindle-caller") == [b"huka270"]
    assert KEY not in repr(kept).encode()


def test_another_vm_is_told_who_the_caller_is_without_the_key() -> None:
    sent = [*SENT, (header_names.IDENTITY, b"forged")]
    kept = headers_for_peer(sent, grant=None, sealed_identity=b"sealed")
    assert values(kept, header_names.IDENTITY) == [b"sealed"]
    assert KEY not in repr(kept).encode()
