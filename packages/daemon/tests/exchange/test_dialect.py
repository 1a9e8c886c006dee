"""Tests of parsing headers in the default dialect and in another one."""

from __future__ import annotations

import pytest

from plankspindle_daemon.exchange.dialect import Dialect

OTHER = Dialect(
    not_run=b"x-not-run",
    not_run_statuses=frozenset(),
    misdirected_status=421,
    echo=b"x-id",
    load=b"x-load",
    affinity_cookie="Thing",
)


@pytest.mark.parametrize(
    ("dialect", "status", "headers", "proves"),
    [
        (Dialect(), 503, [(b"plankspindle-shed", b"1")], True),
        (Dialect(), 503, [], False),
        (Dialect(), 200, [(b"plankspindle-shed", b"1")], False),
        (Dialect(), 421, [], False),
        (OTHER, 429, [(b"x-not-run", b"1")], True),
        (OTHER, 421, [], True),
        (OTHER, 503, [], False),
    ],
)
def test_only_an_explicit_statement_proves_that_a_request_was_not_run(
    dialect: Dialect, status: int, headers: list[tuple[bytes, bytes]], proves: bool
) -> None:
    assert dialect.proves_not_run(status, headers) is proves


@pytest.mark.parametrize(
    ("value", "load"),
    [(b"3,2,9", 5), (b" 3 , 0 ,9", 3), (b"3", None), (b"a,b", None), (b"-1,0", None)],
)
def test_unreadable_load_is_none(value: bytes, load: int | None) -> None:
    assert OTHER.reported_load([(b"x-load", value)]) == load
    assert Dialect().reported_load([(b"x-load", value)]) is None


def test_answer_must_repeat_the_echo_header_of_its_request() -> None:
    request = [(b"x-id", b"1")]
    assert OTHER.answer_matches(request, [(b"x-id", b"1")])
    assert not OTHER.answer_matches(request, [(b"x-id", b"2")])
    assert not OTHER.answer_matches(request, [])
    assert OTHER.answer_matches([], [(b"x-id", b"2")])


def test_affinity_key_is_read_from_its_cookie() -> None:
    headers = [(b"cookie", b"a=1; Thing=17"), (b"cookie", b"Thing=18")]
    assert OTHER.affinity_key(headers) == "17"
    assert OTHER.affinity_key([(b"cookie", b"Things=17")]) is None
    assert Dialect().affinity_key(headers) is None


def test_only_the_misdirected_status_marks_a_misdirected_answer() -> None:
    dialect = Dialect(misdirected_status=421)
    assert dialect.is_misdirected(421)
    assert not dialect.is_misdirected(503)
    assert not Dialect().is_misdirected(421)
