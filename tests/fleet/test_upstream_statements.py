"""Tests of reading statements of the platform's servers from response headers."""

from __future__ import annotations

import pytest

from plankspindle_daemon.upstreams.upstream_statement import NO_STATEMENT
from plankspindle_platform.upstream_statements import read_statement

LIMIT = b"server-limit"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"


@pytest.mark.parametrize("status", [200, 400, 429, 500, 503])
def test_limit_is_read_from_response_of_any_status(status: int) -> None:
    statement = read_statement(status, [(b"date", b"now"), (LIMIT, b" 4.6 ")])
    assert statement.limit_per_s == 4.6
    assert statement.unreadable == ()


def test_response_without_statement_headers_has_no_statement() -> None:
    assert read_statement(200, [(b"date", b"now")]) == NO_STATEMENT


@pytest.mark.parametrize("value", [b"0", b"0.5", b"12", b"7.", b"1000000"])
def test_non_negative_limit_is_valid(value: bytes) -> None:
    assert read_statement(200, [(LIMIT, value)]).limit_per_s == float(value)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b" ",
        b"-1",
        b"nan",
        b"inf",
        b"1e3",
        b"4,6",
        b"5; q=1",
        b"0x10",
        b"9" * 400,
        b"1000001",
        b"\xd9\xa5",
    ],
)
def test_invalid_limit_is_ignored_and_reported(value: bytes) -> None:
    statement = read_statement(200, [(LIMIT, value)])
    assert statement.limit_per_s is None
    (problem,) = statement.unreadable
    assert len(problem) < 120


def test_repeated_limit_is_ignored_and_reported() -> None:
    statement = read_statement(200, [(LIMIT, b"4"), (LIMIT, b"4")])
    assert statement.limit_per_s is None
    assert "2 times" in statement.unreadable[0]


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_leaving_is_read_from_response_of_any_status(status: int) -> None:
    assert read_statement(status, [(LEAVING, b"1")]).is_leaving
    assert not read_statement(status, [(LEAVING, b"0")]).is_leaving


def test_retry_after_is_read_from_503_only() -> None:
    assert read_statement(503, [(RETRY_AFTER, b"2.5")]).retry_after_s == 2.5
    for status in (200, 301, 429, 500):
        assert read_statement(status, [(RETRY_AFTER, b"2.5")]) == NO_STATEMENT


@pytest.mark.parametrize("value", [b"", b"-1", b"nan", b"Wed, 21 Oct", b"601"])
def test_invalid_retry_after_is_ignored_and_reported(value: bytes) -> None:
    statement = read_statement(503, [(RETRY_AFTER, value)])
    assert statement.retry_after_s is None
    assert len(statement.unreadable) == 1


@pytest.mark.parametrize("values", [[b""], [b"yes"], [b"2"], [b"1", b"0"]])
def test_invalid_leaving_is_ignored_and_reported(values: list[bytes]) -> None:
    statement = read_statement(200, [(LEAVING, value) for value in values])
    assert not statement.is_leaving
    assert len(statement.unreadable) == 1


def test_invalid_statement_does_not_affect_valid_ones() -> None:
    headers = [(LIMIT, b"-4"), (LEAVING, b"1"), (RETRY_AFTER, b"3")]
    statement = read_statement(503, headers)
    assert (statement.is_leaving, statement.retry_after_s) == (True, 3.0)
    assert len(statement.unreadable) == 1
