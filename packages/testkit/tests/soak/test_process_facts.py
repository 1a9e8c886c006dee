"""Tests of what the kernel tells of a process, on this one."""

from __future__ import annotations

import os
import signal
from typing import Any

import pytest

from plankspindle_testkit.soak.process_facts import descriptors
from plankspindle_testkit.soak.process_facts import handles
from plankspindle_testkit.soak.process_facts import resident_kb
from plankspindle_testkit.soak.process_facts import waited_s

GONE = 2**22 + 1
"""More than the highest id that Linux gives."""


def test_a_process_tells_of_its_use() -> None:
    pid = os.getpid()
    assert resident_kb(pid) > 1_000
    assert descriptors(pid) > 2
    assert waited_s(pid) >= 0.0


@pytest.mark.parametrize(
    ("handler", "survives"),
    [(signal.SIG_DFL, False), (signal.SIG_IGN, True), (lambda *_: None, True)],
)
def test_a_process_tells_which_signals_end_it(handler: Any, survives: bool) -> None:
    before = signal.signal(signal.SIGUSR2, handler)
    try:
        assert handles(os.getpid(), signal.SIGUSR2) is survives
    finally:
        signal.signal(signal.SIGUSR2, before)


def test_a_process_that_is_gone_uses_nothing() -> None:
    assert resident_kb(GONE) == descriptors(GONE) == waited_s(GONE) == 0
    assert not handles(GONE, signal.SIGINT)
