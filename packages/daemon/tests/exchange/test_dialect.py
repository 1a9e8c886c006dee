"""Tests of what headers say in the product's own dialect and in others."""

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
def test_only_an_explicit_statement_proves_that_nothing_ran(
    dialect: Dialect, status: int, headers: list[tuple[bytes, bytes]], proves: bool
) -> None:
    assert dialect.proves_not_run(status, headers) is proves


@pytest.mark.parametrize(
    ("value", "load"),
    [(b"3,2,9", 5), (b" 3 , 0 ,9", 3), (b"3", None), (b"a,b", None), (b"-1,0", None)],
)
def test_a_load_that_cannot_be_read_is_none(value: bytes, load: int | None) -> None:
    assert OTHER.reported_load([(b"x-load", value)]) == load
    assert Dialect().reported_load([(b"x-load", value)]) is None


def test_an_answer_belongs_to_a_request_by_its_id() -> None:
    request = [(b"x-id", b"1")]
    assert OTHER.answer_matches(request, [(b"x-id", b"1")])
    assert not OTHER.answer_matches(request, [(b"x-id", b"2")])
    assert not OTHER.answer_matches(request, [])
    assert OTHER.answer_matches([], [(b"x-id", b"2")])


def test_the_affinity_key_is_found_among_cookies() -> None:
    headers = [(b"cookie", b"a=1; Thing=17"), (b"cookie", b"Thing=18")]
    assert OTHER.affinity_key(headers) == "17"
    assert OTHER.affinity_key([(b"cookie", b"Things=17")]) is None
    assert Dialect().affinity_key(headers) is None


def test_a_misdirected_answer_is_told_from_one_that_sheds() -> None:
    dialect = Dialect(misdirected_status=421)
    assert dialect.is_misdirected(421)
    assert not dialect.is_misdirected(503)
    assert not Dialect().is_misdirected(421)
