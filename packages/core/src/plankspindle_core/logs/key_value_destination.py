"""An eliot destination that writes one line of key=value pairs an event."""

from __future__ import annotations

import json
import logging
import re
import sys
from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING
from typing import Any

import eliot

if TYPE_CHECKING:
    from typing import TextIO

_PLAIN_VALUE = re.compile(r"[A-Za-z0-9_.:/\[\]@+-]+")
_LOOP_LOGGER = "curio"
_LEADING_KEYS = ("timestamp", "message_type")
_OMITTED_KEYS = frozenset({"task_uuid", "task_level", *_LEADING_KEYS})


class KeyValueDestination:
    """Render eliot messages as ``time=... event=... key=value`` lines.

    Parameters
    ----------
    stream : TextIO
        Where the lines go.
    """

    def __init__(self, *, stream: TextIO) -> None:
        self._stream = stream

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message."""
        self._stream.write(render_line(message) + "\n")
        self._stream.flush()


def render_line(message: dict[str, Any]) -> str:
    """Render one eliot message.

    Parameters
    ----------
    message : dict
        Message as eliot hands it to destinations.

    Returns
    -------
    str
        A single line; values with other than plain characters are JSON strings.
    """
    when = datetime.fromtimestamp(message.get("timestamp", 0.0), tz=UTC)
    event = message.get("message_type") or message.get("action_type", "message")
    pairs = [f"time={when.isoformat(timespec='milliseconds')}", f"event={event}"]
    pairs += [
        f"{_render_key(key)}={_render_value(value)}"
        for key, value in message.items()
        if key not in _OMITTED_KEYS
    ]
    return " ".join(pairs)


def _render_key(key: str) -> str:
    return re.sub(r"[^A-Za-z0-9_.]", "_", key)


def _render_value(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    return text if _PLAIN_VALUE.fullmatch(text) else json.dumps(text)


def start_logging(*, stream: TextIO | None = None) -> KeyValueDestination:
    """Send every event to a stream as key=value lines.

    Parameters
    ----------
    stream : TextIO, optional
        Standard error if not given.

    Returns
    -------
    KeyValueDestination
        The destination, to be given to :func:`stop_logging`.
    """
    # It warns of each operation that ends a little after its timeout, in lines of its
    # own form that push the cause of a failure out of sight.
    logging.getLogger(_LOOP_LOGGER).setLevel(logging.ERROR)
    destination = KeyValueDestination(stream=stream or sys.stderr)
    eliot.add_destinations(destination)
    return destination


def stop_logging(destination: KeyValueDestination) -> None:
    """Stop sending events to a destination."""
    eliot.remove_destination(destination)


def log_event(event: str, **fields: Any) -> None:
    """Log one event.

    Parameters
    ----------
    event : str
        Name of the event, in snake case.
    **fields : object
        Its key=value pairs.
    """
    eliot.log_message(message_type=event, **fields)
