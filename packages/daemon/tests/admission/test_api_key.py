"""Tests of reading API keys from request headers."""

from __future__ import annotations

import pytest

from plankspindle_core.configuration.caller import hash_api_key
from plankspindle_core.header_names import AUTHORIZATION
from plankspindle_daemon.admission.api_key import read_key_digest

KEY = b"ymh2rrytapjsujqurtyi"


@pytest.mark.parametrize(
    "value",
    [b"Token " + KEY, b"tOKEN " + KEY, b"Token    " + KEY + b"  ", b" token " + KEY],
)
def test_scheme_ignores_case_and_spaces(value: bytes) -> None:
    found = read_key_digest([(AUTHORIZATION, value)], scheme="Token")
    assert found.unwrap() == hash_api_key(KEY)


@pytest.mark.parametrize(
    "values",
    [
        [b"Bearer " + KEY],
        [b"Token"],
        [b"Token "],
        [b""],
        [KEY],
        [b"Token" + KEY],
        [b"Token " + b"x" * 8192],
        [b"Token " + KEY, b"Token " + KEY],
        [b"\xff\xfe \x00"],
    ],
)
def test_malformed_credentials_are_refused_without_repeating_the_key(
    values: list[bytes],
) -> None:
    headers = [(AUTHORIZATION, value) for value in values]
    found = read_key_digest(headers, scheme="Token")
    assert found.is_err()
    assert KEY.decode() not in found.unwrap_err().reason


def test_request_without_header_has_no_key() -> None:
    assert read_key_digest([(b"host", b"desk")], scheme="Token").unwrap() is None
