"""Tests of what is logged of reads that fail."""

from __future__ import annotations

import io

from plankspindle_core.logs.key_value_destination import start_logging
from plankspindle_core.logs.key_value_destination import stop_logging
from plankspindle_daemon.platform.read_failure_log import ReadFailureLog


def test_a_row_of_failures_is_logged_at_its_beginning_and_its_end() -> None:
    # The first destination of a process is given what was logged before it, here by
    # tests that ran earlier; it is taken away first.
    stop_logging(start_logging(stream=io.StringIO()))
    stream = io.StringIO()
    destination = start_logging(stream=stream)
    try:
        watch = ReadFailureLog(subject="list")
        watch.record_success(1.0)
        watch.record_failure("no answer in time", started_at=2.0, now=8.0, upstreams=3)
        watch.record_failure("not tried", started_at=8.2, now=8.2, upstreams=3)
        assert watch.is_failing
        watch.record_success(9.0)
        watch.record_success(10.0)
        assert not watch.is_failing
    finally:
        stop_logging(destination)
    unread, again = stream.getvalue().splitlines()
    assert 'list_unread detail="no answer in time" took_ms=6000 upstreams=3' in unread
    assert "list_read_again unread_ms=7000 failed=2 longest_ms=6000" in again
