"""Tests of what the kernel tells of a process, on this one."""

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
"""More than the highest id that Linux gives."""


def test_a_process_tells_of_its_use() -> None:
    pid = os.getpid()
    assert resident_kb(pid) > 1_000
    assert descriptor_count(pid) > 2
    assert cpu_wait_s(pid) >= 0.0


@pytest.mark.parametrize(
    ("handler", "survives"),
    [(signal.SIG_DFL, False), (signal.SIG_IGN, True), (lambda *_: None, True)],
)
def test_a_process_tells_which_signals_end_it(handler: Any, survives: bool) -> None:
    before = signal.signal(signal.SIGUSR2, handler)
    try:
        assert handles_signal(os.getpid(), signal.SIGUSR2) is survives
    finally:
        signal.signal(signal.SIGUSR2, before)


def test_a_process_that_is_gone_uses_nothing() -> None:
    assert resident_kb(GONE) == descriptor_count(GONE) == cpu_wait_s(GONE) == 0
    assert not handles_signal(GONE, signal.SIGINT)
