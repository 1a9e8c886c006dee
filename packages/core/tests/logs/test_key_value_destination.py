"""Tests of log lines."""

from __future__ import annotations

import io

import eliot
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from plankspindle_core.logs.key_value_destination import BURST_LINES
from plankspindle_core.logs.key_value_destination import KeyValueDestination
from plankspindle_core.logs.key_value_destination import StreamSink
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.logs.key_value_destination import start_logging
from plankspindle_core.logs.key_value_destination import stop_logging
from plankspindle_core.logs.line_rendering import parse_line
from plankspindle_core.logs.line_rendering import render_line


def test_event_is_one_line_whatever_its_values_contain() -> None:
    fields = {"detail": 'two\nlines and a "quote"', "version": 7, "odd key": "x"}
    line = render_line(event="adopted", wall=0.0, fields=fields)
    assert line == (
        "time=1970-01-01T00:00:00.000+00:00 event=adopted"
        ' detail="two\\nlines and a \\"quote\\"" version=7 odd_key=x'
    )


def test_events_are_written_until_logging_is_stopped() -> None:
    # eliot buffers events until the first destination is added. Those of other tests
    # are written to this first destination and discarded.
    stop_logging(start_logging(stream=io.StringIO()))
    stream = io.StringIO()
    destination = start_logging(stream=stream)
    log_event("started", vm="a")
    stop_logging(destination)
    log_event("stopped", vm="a")
    lines = stream.getvalue().splitlines()
    assert len(lines) == 1
    assert lines[0].endswith("event=started vm=a")


@settings(derandomize=True)
@given(
    fields=st.dictionaries(
        st.from_regex(r"[a-z][a-z_]{0,8}", fullmatch=True), st.text(min_size=1)
    )
)
def test_parsed_line_equals_the_rendered_fields(fields: dict[str, str]) -> None:
    fields = {key: each for key, each in fields.items() if key not in {"time", "event"}}
    line = "12.5 node | " + render_line(event="e", wall=1.5, fields=fields)
    parsed = parse_line(line)
    assert parsed is not None
    assert parsed.pop("time") == "1970-01-01T00:00:01.500+00:00"
    assert parsed.pop("event") == "e"
    assert parsed == fields


def test_lines_of_other_programs_are_not_events() -> None:
    assert parse_line("Traceback (most recent call last):") is None
    assert parse_line("time=5 something else") is None


def test_flood_of_one_event_is_limited_and_counted_without_suppressing_others() -> None:
    stream = io.StringIO()
    sink = StreamSink(stream=stream)
    destination = KeyValueDestination(sink=sink, vm="a", clock=lambda: 7.0)
    eliot.add_destinations(destination)
    for _ in range(3 * int(BURST_LINES)):
        log_event("flood")
    log_event("important")
    destination.flush(0.0)
    destination.flush(0.5)
    stop_logging(destination)
    lines = stream.getvalue().splitlines()
    dropped = destination.dropped_by_event["flood"]
    assert dropped == 2 * BURST_LINES
    assert sum(" event=flood" in line for line in lines) == BURST_LINES
    assert sum(" event=important" in line for line in lines) == 1
    reports = [line for line in lines if "event=log_lines_dropped" in line]
    assert len(reports) == 1
    assert f"lines={dropped} by_event=flood:{dropped}" in reports[0]
    assert all(" vm=a" in line for line in lines)


def test_event_can_be_logged_with_an_earlier_time() -> None:
    stream = io.StringIO()
    destination = start_logging(stream=stream)
    log_event("earlier", at=1.25)
    stop_logging(destination)
    assert stream.getvalue() == "time=1970-01-01T00:00:01.250+00:00 event=earlier\n"
