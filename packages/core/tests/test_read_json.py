"""JSON from outside, whatever it is, is a value or a ``ValueError``."""

from __future__ import annotations

import pytest

from plankspindle_core.read_json import read_json


def test_json_is_read() -> None:
    assert read_json(b'{"a": [1, null]}') == {"a": [1, None]}


@pytest.mark.parametrize("text", [b"", b"{", b"\xff", "[" * 100_000, b'{"a":' * 50_000])
def test_what_is_no_json_is_a_value_error(text: bytes | str) -> None:
    with pytest.raises(ValueError, match=r"."):
        read_json(text)
