"""Graceful shutdown of an entry VM."""

from __future__ import annotations

from plankspindle_daemon.leaving.leave import Finishing
from plankspindle_daemon.leaving.leave import Leave
from plankspindle_daemon.leaving.leave import Left
from plankspindle_daemon.leaving.leave import Lingering


def test_requests_are_accepted_until_linger_ends() -> None:
    leave = Leave(leave_s=60.0, linger_s=10.0)
    assert leave.accepts
    leave.begin(0.0)
    assert isinstance(leave.advance(running=0, now=9.9), Lingering)
    assert leave.is_leaving
    assert leave.accepts
    assert isinstance(leave.advance(running=1, now=10.0), Finishing)
    assert not leave.accepts


def test_shutdown_waits_for_running_requests() -> None:
    leave = Leave(leave_s=60.0, linger_s=10.0)
    leave.begin(0.0)
    assert isinstance(leave.advance(running=2, now=59.0), Finishing)
    assert leave.advance(running=0, now=59.5) == Left(aborted_requests=0)


def test_shutdown_ends_at_deadline_and_counts_aborted_requests() -> None:
    leave = Leave(leave_s=60.0, linger_s=10.0)
    leave.begin(0.0)
    leave.begin(50.0)
    assert leave.advance(running=2, now=60.0) == Left(aborted_requests=2)
