"""Ends of processes that a fault meets, with processes that are no daemons."""

from __future__ import annotations

import signal
import sys
import time
from typing import TYPE_CHECKING

import curio
import pytest

from plankspindle_core.steady_clock import monotonic
from plankspindle_testkit.processes import Processes
from plankspindle_testkit.processes import wait_until
from plankspindle_testkit.soak.layout import Layout
from plankspindle_testkit.soak.operators import Operators
from plankspindle_testkit.soak.process_facts import handles
from plankspindle_testkit.soak.promises import Observations
from plankspindle_testkit.soak.soak_fault import SoakFault
from plankspindle_testkit.soak.striker import Striker

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

VM = "ba-1-0"
ENDS = "raise SystemExit(70)"
WAITS = "import time; time.sleep(60)"
LEAVES = "import signal, time; signal.signal({}, lambda *_: exit({})); time.sleep(60)"


@pytest.fixture
def striker(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Striker]:
    processes = Processes(folder=tmp_path)
    layout, seen = Layout(vms=1), Observations()

    async def leave_it(striker: Striker, name: str) -> None:
        striker.stopped.discard(name)

    monkeypatch.setattr(Striker, "start_vm", leave_it)
    yield Striker(
        layout=layout,
        processes=processes,
        seen=seen,
        operators=Operators(layout=layout, seen=seen, began_at=0.0),
        began_at=monotonic(),
    )
    processes.close()


def strike(striker: Striker, kind: str, code: str) -> Observations:
    """Start a process in place of a daemon, and strike it."""
    striker.processes._start(VM, [sys.executable, "-c", code])
    pid = striker.processes.by_name[VM].pid
    if code is ENDS:
        time.sleep(0.5)
    elif code is not WAITS:
        wait_until(lambda: handles(pid, signal.SIGTERM), what="its handler")
    fault = SoakFault(at=0.0, for_s=0.1, kind=kind, target=VM)
    curio.run(striker.strike, fault)
    return striker.seen


@pytest.mark.parametrize("kind", ["kill", "herd", "term"])
def test_a_process_that_ended_before_it_was_struck_is_seen(
    striker: Striker, kind: str
) -> None:
    assert strike(striker, kind, ENDS).ends == [(VM, 70, "")]


@pytest.mark.parametrize("kind", ["kill", "herd"])
def test_a_killed_process_has_not_ended_by_itself(striker: Striker, kind: str) -> None:
    seen = strike(striker, kind, WAITS)
    assert not seen.ends
    assert len(seen.cuts_by_vm[VM]) == 1


def test_a_planned_stop_cuts_nothing_and_ends_well(striker: Striker) -> None:
    seen = strike(striker, "term", LEAVES.format("signal.SIGTERM", 0))
    assert not seen.ends
    assert not seen.cuts_by_vm


def test_a_planned_stop_that_fails_is_seen(striker: Striker) -> None:
    seen = strike(striker, "term", LEAVES.format("signal.SIGTERM", 70))
    assert seen.ends == [(VM, 70, "")]


def test_a_stop_before_its_signal_is_followed_ends_as_it_does(striker: Striker) -> None:
    assert not strike(striker, "term", WAITS).ends


def test_a_stutter_excuses_nothing(striker: Striker) -> None:
    seen = strike(striker, "stutter", WAITS)
    assert not (seen.ends or seen.cuts_by_vm or seen.spans_by_struck)


def test_what_is_struck_is_disturbed_until_some_time_after_it(striker: Striker) -> None:
    seen = strike(striker, "stop", WAITS)
    (span,) = seen.spans_by_struck[VM]
    assert 5.0 < span.end - span.begin < 10.0
