"""Tests of what makes two tries the same request."""

from __future__ import annotations

from typing import Any

import pytest

from plankspindle_daemon.quarantine.request_identity import RequestIdentity

HEADERS = [(b"host", b"desk.example"), (b"x-id", b"1"), (b"content-length", b"2")]


def build(**fields: Any) -> RequestIdentity:
    given = {"caller": "dealer", "method": "POST", "target": "/a?b=1", "body": b"ok"}
    return RequestIdentity(**{"headers": HEADERS, **given, **fields})


def test_tries_with_other_ids_are_the_same_request() -> None:
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
def test_other_requests_differ(field: dict[str, Any]) -> None:
    assert build(**field).value != build().value


def test_a_request_that_another_entry_vm_passed_on_is_the_same() -> None:
    first = build(names_service=True)
    passed_on = build(names_service=True, headers=[(b"host", b"10.0.0.1:8100")])
    assert passed_on.value == first.value


def test_of_a_body_that_is_passed_on_as_it_arrives_the_length_counts() -> None:
    short = [(b"host", b"desk.example"), (b"content-length", b"3")]
    assert build(body=None).value == build(body=None).value
    assert build(body=None, headers=short).value != build(body=None).value
