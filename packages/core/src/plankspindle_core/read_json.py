"""JSON that comes from outside."""

from __future__ import annotations

import json
from typing import Any


def read_json(text: bytes | str) -> Any:
    """Read JSON.

    Parameters
    ----------
    text : bytes or str
        The text.

    Raises
    ------
    ValueError
        If it is no JSON, or nested deeper than the interpreter's stack allows.

    Notes
    -----
    ``json.loads`` ends such nesting with ``RecursionError``, which no reader expects.
    """
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError("nested too deep") from error
