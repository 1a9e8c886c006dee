"""Tests of log lines."""

from __future__ import annotations

import io

from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.logs.key_value_destination import render_line
from plankspindle_core.logs.key_value_destination import start_logging
from plankspindle_core.logs.key_value_destination import stop_logging


def test_an_event_is_one_line_whatever_its_values_hold() -> None:
    line = render_line(
        {
            "timestamp": 0.0,
            "message_type": "adopted",
            "detail": 'two\nlines and a "quote"',
            "version": 7,
            "odd key": "x",
        }
    )
    assert line == (
        "time=1970-01-01T00:00:00.000+00:00 event=adopted"
        ' detail="two\\nlines and a \\"quote\\"" version=7 odd_key=x'
    )


def test_events_reach_the_stream_until_logging_is_stopped() -> None:
    stream = io.StringIO()
    destination = start_logging(stream=stream)
    log_event("started", vm="a")
    stop_logging(destination)
    log_event("stopped", vm="a")
    lines = stream.getvalue().splitlines()
    assert len(lines) == 1
    assert lines[0].endswith("event=started vm=a")
