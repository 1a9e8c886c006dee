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
from plankspindle_testkit.soak.fault_injector import FaultInjector
from plankspindle_testkit.soak.guarantees import Observations
from plankspindle_testkit.soak.layout import Layout
from plankspindle_testkit.soak.operators import Operators
from plankspindle_testkit.soak.process_stats import handles_signal
from plankspindle_testkit.soak.soak_fault import SoakFault

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

VM = "ba-1-0"
ENDS = "raise SystemExit(70)"
WAITS = "import time; time.sleep(60)"
LEAVES = "import signal, time; signal.signal({}, lambda *_: exit({})); time.sleep(60)"


@pytest.fixture
def striker(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[FaultInjector]:
    processes = Processes(folder=tmp_path)
    layout, seen = Layout(vms=1), Observations()

    async def leave_it(striker: FaultInjector, name: str) -> None:
        striker.stopping_vms.discard(name)

    monkeypatch.setattr(FaultInjector, "start_vm", leave_it)
    yield FaultInjector(
        layout=layout,
        processes=processes,
        observations=seen,
        operators=Operators(layout=layout, observations=seen, began_at=0.0),
        began_at=monotonic(),
    )
    processes.close()


def strike(striker: FaultInjector, kind: str, code: str) -> Observations:
    """Start a process in place of a daemon, and strike it."""
    striker.processes._start(VM, [sys.executable, "-c", code])
    pid = striker.processes.process_by_name[VM].pid
    if code is ENDS:
        time.sleep(0.5)
    elif code is not WAITS:
        wait_until(lambda: handles_signal(pid, signal.SIGTERM), what="its handler")
    fault = SoakFault(at=0.0, for_s=0.1, kind=kind, target=VM)
    curio.run(striker.inject, fault)
    return striker.observations


@pytest.mark.parametrize("kind", ["kill", "herd", "term"])
def test_a_process_that_ended_before_it_was_struck_is_seen(
    striker: FaultInjector, kind: str
) -> None:
    assert strike(striker, kind, ENDS).unexpected_exits == [(VM, 70, "")]


@pytest.mark.parametrize("kind", ["kill", "herd"])
def test_a_killed_process_has_not_ended_by_itself(
    striker: FaultInjector, kind: str
) -> None:
    seen = strike(striker, kind, WAITS)
    assert not seen.unexpected_exits
    assert len(seen.allowed_cuts_by_vm[VM]) == 1


def test_a_planned_stop_cuts_nothing_and_ends_well(striker: FaultInjector) -> None:
    seen = strike(striker, "term", LEAVES.format("signal.SIGTERM", 0))
    assert not seen.unexpected_exits
    assert not seen.allowed_cuts_by_vm


def test_a_planned_stop_that_fails_is_seen(striker: FaultInjector) -> None:
    seen = strike(striker, "term", LEAVES.format("signal.SIGTERM", 70))
    assert seen.unexpected_exits == [(VM, 70, "")]


def test_a_stop_before_its_signal_is_followed_ends_as_it_does(
    striker: FaultInjector,
) -> None:
    assert not strike(striker, "term", WAITS).unexpected_exits


def test_a_stutter_excuses_nothing(striker: FaultInjector) -> None:
    seen = strike(striker, "stutter", WAITS)
    assert not (
        seen.unexpected_exits or seen.allowed_cuts_by_vm or seen.disturbances_by_target
    )


def test_what_is_struck_is_disturbed_until_some_time_after_it(
    striker: FaultInjector,
) -> None:
    seen = strike(striker, "stop", WAITS)
    (span,) = seen.disturbances_by_target[VM]
    assert 5.0 < span.end - span.begin < 10.0
