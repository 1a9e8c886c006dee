"""Tests that untrusted JSON gives a value or a ``ValueError``."""

from __future__ import annotations

import pytest

from plankspindle_core.read_json import read_json


def test_valid_json_is_parsed() -> None:
    assert read_json(b'{"a": [1, null]}') == {"a": [1, None]}


@pytest.mark.parametrize("text", [b"", b"{", b"\xff", "[" * 100_000, b'{"a":' * 50_000])
def test_invalid_json_raises_value_error(text: bytes | str) -> None:
    with pytest.raises(ValueError, match=r"."):
        read_json(text)
