"""Tests of the headers that are forwarded with a request."""

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
RECEIVED: HeaderList = [
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
def test_passthrough_headers_carry_the_workspace_but_not_the_key(
    workspace: str | None,
) -> None:
    forwarded = passthrough_headers(RECEIVED, dialect=DIALECT, workspace=workspace)
    expected = [] if workspace is None else [workspace.encode()]
    assert values(forwarded, b"x-tenant") == expected
    assert values(forwarded, header_names.AUTHORIZATION) == []
    assert values(forwarded, b"host") == [b"desk.example"]
    assert KEY not in repr(forwarded).encode()


def test_default_headers_carry_caller_and_workspace_but_not_the_key() -> None:
    received = [*RECEIVED, (header_names.WORKSPACE, b"forged")]
    forwarded = headers_for_upstream(
        received, caller="huka270", workspace="huka270", peer_host="10.0.0.1"
    )
    assert values(forwarded, header_names.WORKSPACE) == [b"huka270"]
    assert values(forwarded, b"plankspindle-caller") == [b"huka270"]
    assert KEY not in repr(forwarded).encode()


def test_peer_headers_carry_the_sealed_identity_but_not_the_key() -> None:
    received = [*RECEIVED, (header_names.IDENTITY, b"forged")]
    forwarded = headers_for_peer(received, grant=None, signed_identity=b"sealed")
    assert values(forwarded, header_names.IDENTITY) == [b"sealed"]
    assert KEY not in repr(forwarded).encode()
