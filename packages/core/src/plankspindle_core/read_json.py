"""Parsing of untrusted JSON."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_DEPTH = 64
"""Deepest nesting that is accepted; the deepest documents in use have 6 levels.

The parser allows nearly as many levels as the interpreter's stack has frames left. A
document that it just accepts fails wherever it is shown or written further down.
"""


def read_json(text: bytes | str) -> Any:
    """Parse JSON.

    Parameters
    ----------
    text : bytes or str
        The text.

    Raises
    ------
    ValueError
        If it is not valid JSON, or nested deeper than ``MAX_DEPTH``.

    Notes
    -----
    ``json.loads`` raises ``RecursionError`` for such nesting, which callers that handle
    ``ValueError`` would not catch.
    """
    try:
        value = json.loads(text)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    if _count_openings(text) > MAX_DEPTH and _is_too_deep(value):
        raise ValueError("nested too deeply")
    return value


def _count_openings(text: bytes | str) -> int:
    """Return an upper bound of the depth, much faster than the depth itself."""
    if isinstance(text, str):
        return text.count("[") + text.count("{")
    return text.count(b"[") + text.count(b"{")


def _is_too_deep(value: Any) -> bool:
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [part for each in level for part in _parts(each)]
        if not level:
            return False
    return True


def _parts(value: Any) -> Iterable[Any]:
    match value:
        case dict():
            return value.values()
        case list():
            return value
    return ()
