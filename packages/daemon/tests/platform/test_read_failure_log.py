"""Tests of the logging of failed reads."""

from __future__ import annotations

import io

from plankspindle_core.logs.key_value_destination import start_logging
from plankspindle_core.logs.key_value_destination import stop_logging
from plankspindle_daemon.platform.read_failure_log import ReadFailureLog


def test_first_failure_and_recovery_are_logged() -> None:
    # eliot buffers events until the first destination is added. Those of other tests
    # are written to this first destination and discarded.
    stop_logging(start_logging(stream=io.StringIO()))
    stream = io.StringIO()
    destination = start_logging(stream=stream)
    try:
        log = ReadFailureLog(subject="list")
        log.record_success(1.0)
        log.record_failure("no answer in time", started_at=2.0, now=8.0, upstreams=3)
        log.record_failure("not tried", started_at=8.2, now=8.2, upstreams=3)
        assert log.is_failing
        log.record_success(9.0)
        log.record_success(10.0)
        assert not log.is_failing
    finally:
        stop_logging(destination)
    failed, recovered = stream.getvalue().splitlines()
    assert 'list_unread detail="no answer in time" took_ms=6000 upstreams=3' in failed
    assert "list_read_again unread_ms=7000 failed=2 longest_ms=6000" in recovered
