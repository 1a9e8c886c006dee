"""Parsing of untrusted JSON."""

from __future__ import annotations

import json
from typing import Any


def read_json(text: bytes | str) -> Any:
    """Parse JSON.

    Parameters
    ----------
    text : bytes or str
        The text.

    Raises
    ------
    ValueError
        If it is not valid JSON, or nested deeper than the interpreter's stack allows.

    Notes
    -----
    ``json.loads`` raises ``RecursionError`` for such nesting, which callers that handle
    ``ValueError`` would not catch.
    """
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
