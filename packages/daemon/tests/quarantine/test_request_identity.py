"""Tests of the identity shared by all attempts of a request."""

from __future__ import annotations

from typing import Any

import pytest

from plankspindle_daemon.quarantine.request_identity import RequestIdentity

HEADERS = [(b"host", b"desk.example"), (b"x-id", b"1"), (b"content-length", b"2")]


def build(**fields: Any) -> RequestIdentity:
    defaults = {"caller": "dealer", "method": "POST", "target": "/a?b=1", "body": b"ok"}
    return RequestIdentity(**{"headers": HEADERS, **defaults, **fields})


def test_attempts_with_different_ids_have_the_same_identity() -> None:
    other = [(b"host", b"Desk.Example"), (b"x-id", b"2"), (b"x-deadline", b"7")]
    assert build(headers=other).value == build().value
    assert len(build().text) == 16


@pytest.mark.parametrize(
    "field",
    [
        {"caller": "desk"},
        {"caller": None},
        {"method": "PUT"},
        {"target": "/a?b=2"},
        {"target": "/a"},
        {"body": b"no"},
        {"headers": [(b"host", b"other.example")]},
    ],
)
def test_different_requests_have_different_identities(field: dict[str, Any]) -> None:
    assert build(**field).value != build().value


def test_forwarded_request_has_the_same_identity() -> None:
    first = build(names_service=True)
    forwarded = build(names_service=True, headers=[(b"host", b"10.0.0.1:8100")])
    assert forwarded.value == first.value


def test_identity_of_streamed_body_depends_on_its_length() -> None:
    short = [(b"host", b"desk.example"), (b"content-length", b"3")]
    assert build(body=None).value == build(body=None).value
    assert build(body=None, headers=short).value != build(body=None).value
