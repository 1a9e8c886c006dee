"""Tests of process statistics, on the process of the tests."""

from __future__ import annotations

import os
import signal
from typing import Any

import pytest

from plankspindle_testkit.soak.process_stats import cpu_wait_s
from plankspindle_testkit.soak.process_stats import descriptor_count
from plankspindle_testkit.soak.process_stats import handles_signal
from plankspindle_testkit.soak.process_stats import resident_kb

GONE = 2**22 + 1
"""Above the highest process id of Linux."""


def test_stats_of_running_process() -> None:
    pid = os.getpid()
    assert resident_kb(pid) > 1_000
    assert descriptor_count(pid) > 2
    assert cpu_wait_s(pid) >= 0.0


@pytest.mark.parametrize(
    ("handler", "survives"),
    [(signal.SIG_DFL, False), (signal.SIG_IGN, True), (lambda *_: None, True)],
)
def test_ignored_and_caught_signals_are_handled(handler: Any, survives: bool) -> None:
    before = signal.signal(signal.SIGUSR2, handler)
    try:
        assert handles_signal(os.getpid(), signal.SIGUSR2) is survives
    finally:
        signal.signal(signal.SIGUSR2, before)


def test_stats_of_missing_process_are_zero() -> None:
    assert resident_kb(GONE) == descriptor_count(GONE) == cpu_wait_s(GONE) == 0
    assert not handles_signal(GONE, signal.SIGINT)
