"""Tests of faults of processes, with processes that stand in for daemons."""

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
def injector(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[FaultInjector]:
    processes = Processes(folder=tmp_path)
    layout, observations = Layout(vms=1), Observations()

    async def skip_start(injector: FaultInjector, name: str) -> None:
        injector.stopping_vms.discard(name)

    monkeypatch.setattr(FaultInjector, "start_vm", skip_start)
    yield FaultInjector(
        layout=layout,
        processes=processes,
        observations=observations,
        operators=Operators(layout=layout, observations=observations, began_at=0.0),
        began_at=monotonic(),
    )
    processes.close()


def inject(injector: FaultInjector, kind: str, code: str) -> Observations:
    """Start a process in place of a daemon, and inject a fault."""
    injector.processes._start(VM, [sys.executable, "-c", code])
    pid = injector.processes.process_by_name[VM].pid
    if code is ENDS:
        time.sleep(0.5)
    elif code is not WAITS:
        wait_until(lambda: handles_signal(pid, signal.SIGTERM), what="its handler")
    fault = SoakFault(at=0.0, for_s=0.1, kind=kind, target=VM)
    curio.run(injector.inject, fault)
    return injector.observations


@pytest.mark.parametrize("kind", ["kill", "herd", "term"])
def test_exit_before_the_fault_is_recorded(injector: FaultInjector, kind: str) -> None:
    assert inject(injector, kind, ENDS).unexpected_exits == [(VM, 70, "")]


@pytest.mark.parametrize("kind", ["kill", "herd"])
def test_exit_of_killed_process_is_expected(injector: FaultInjector, kind: str) -> None:
    observations = inject(injector, kind, WAITS)
    assert not observations.unexpected_exits
    assert len(observations.allowed_cuts_by_vm[VM]) == 1


def test_graceful_stop_allows_no_cuts(injector: FaultInjector) -> None:
    observations = inject(injector, "term", LEAVES.format("signal.SIGTERM", 0))
    assert not observations.unexpected_exits
    assert not observations.allowed_cuts_by_vm


def test_failed_graceful_stop_is_recorded(injector: FaultInjector) -> None:
    observations = inject(injector, "term", LEAVES.format("signal.SIGTERM", 70))
    assert observations.unexpected_exits == [(VM, 70, "")]


def test_sigterm_before_its_handler_is_installed_is_accepted(
    injector: FaultInjector,
) -> None:
    assert not inject(injector, "term", WAITS).unexpected_exits


def test_stutter_allows_no_exemptions(injector: FaultInjector) -> None:
    observations = inject(injector, "stutter", WAITS)
    assert not (
        observations.unexpected_exits
        or observations.allowed_cuts_by_vm
        or observations.disturbances_by_target
    )


def test_disturbance_lasts_beyond_the_fault(
    injector: FaultInjector,
) -> None:
    observations = inject(injector, "stop", WAITS)
    (span,) = observations.disturbances_by_target[VM]
    assert 5.0 < span.end - span.begin < 10.0
