"""Rendering and parsing of log lines of key=value pairs."""

from __future__ import annotations

import json
import re
from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Mapping

_PLAIN_VALUE = re.compile(r"[A-Za-z0-9_.:/\[\]@+-]+")
_PAIR = re.compile(r'([A-Za-z0-9_.]+)=("(?:[^"\\]|\\.)*"|[^\s"]+)')
_START = re.compile(r"\btime=\S+ event=")


def render_line(*, event: str, wall: float, fields: Mapping[str, Any]) -> str:
    """Render one event as a line.

    Parameters
    ----------
    event : str
        Name of the event, in snake case.
    wall : float
        Time of the event, seconds since the Unix epoch.
    fields : mapping of str to object
        Fields of the event; those that are None are omitted.

    Returns
    -------
    str
        A single line; values with special characters are written as JSON strings.
    """
    when = datetime.fromtimestamp(wall, tz=UTC)
    pairs = [f"time={when.isoformat(timespec='milliseconds')}", f"event={event}"]
    pairs += [
        f"{_render_key(key)}={_render_value(value)}"
        for key, value in fields.items()
        if value is not None
    ]
    return " ".join(pairs)


def parse_line(line: str) -> dict[str, str] | None:
    """Parse one line.

    Parameters
    ----------
    line : str
        A line of a log; a prefix added by a log collector is skipped.

    Returns
    -------
    dict of str to str, or None
        Its fields, including ``time`` and ``event``; None if it is not an event.
    """
    start = _START.search(line)
    if start is None:
        return None
    pairs = _PAIR.findall(line, start.start())
    return {key: _parse_value(text) for key, text in pairs}


def _render_key(key: str) -> str:
    return key if key.isidentifier() else re.sub(r"[^A-Za-z0-9_.]", "_", key)


def _render_value(value: Any) -> str:
    if isinstance(value, str):
        return value if _PLAIN_VALUE.fullmatch(value) else json.dumps(value)
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, int):
        return str(value)
    return json.dumps(json.dumps(value, default=str))


def _parse_value(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except ValueError:
        return text
