"""A short soak of real daemons, as every build runs it."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from plankspindle_testkit.soak.load import LoadKind
from plankspindle_testkit.soak.operators import Operators
from plankspindle_testkit.soak.persistent_caller import PersistentCaller
from plankspindle_testkit.soak.soak import Soak
from plankspindle_testkit.soak.soak import SoakPlan
from plankspindle_testkit.soak.soak import SoakResult
from plankspindle_testkit.soak.soak_fault import SoakFault

ENOUGH = 50
FAULTS = (
    SoakFault(at=0.5, for_s=1.0, kind="close-after-run", target="u0-ba-1"),
    SoakFault(at=1.0, for_s=1.0, kind="kill", target="ba-1-0"),
    SoakFault(at=1.5, for_s=1.0, kind="platform-loses-answers"),
    SoakFault(at=2.0, for_s=1.0, kind="resets", target="caller:ke-1-1"),
    SoakFault(at=2.5, for_s=0.5, kind="hup", target="ke-1-1"),
    SoakFault(at=3.0, for_s=1.0, kind="silence", target="upstream:u1-ke-1"),
    SoakFault(at=3.5, for_s=1.0, kind="storm"),
)


def soak(first_port: int, *faults: SoakFault) -> SoakResult:
    plan = SoakPlan(seed=1, vms=2, faults=faults, first_port=first_port, recovery_s=8.0)
    verdict: SoakResult = curio.run(Soak(plan=plan).run)
    return verdict


def test_promises_hold_under_faults_from_outside() -> None:
    verdict = soak(20_000, *FAULTS)
    assert verdict.violation is None
    assert verdict.requests > 100
    assert verdict.faults_by_kind.total() == len(FAULTS)


def test_a_vm_that_is_ended_by_somebody_else_is_seen() -> None:
    plan = SoakPlan(seed=1, vms=2, faults=FAULTS, first_port=21_000)
    running = Soak(plan=plan)

    async def run() -> SoakResult:
        task = await curio.spawn(running.run)
        while not (running.observations.attempts or task.terminated):
            await curio.sleep(0.1)
        if not task.terminated:
            running.processes.process_by_name["ke-1-1"].kill()
        verdict: SoakResult = await task.join()
        return verdict

    broken = curio.run(run).violation
    assert broken is not None
    assert broken.guarantee == "runs on"


def test_connections_that_close_without_an_answer_are_seen() -> None:
    faults = (SoakFault(at=4.0, for_s=0.5, kind="hup", target="ke-1-1"),)
    plan = SoakPlan(seed=1, vms=2, faults=faults, first_port=24_000, load=LoadKind.FULL)
    running = Soak(plan=plan)

    async def run() -> SoakResult:
        task = await curio.spawn(running.run)
        while not (len(running.observations.attempts) > ENOUGH or task.terminated):
            await curio.sleep(0.1)
        running.layout.proxies_by_link["caller:ke-1-1"].reset_open()
        verdict: SoakResult = await task.join()
        return verdict

    broken = curio.run(run).violation
    assert broken is not None
    assert broken.guarantee == "nothing is lost"


def test_a_caller_that_ends_fails_the_soak(monkeypatch: pytest.MonkeyPatch) -> None:
    async def end(caller: PersistentCaller) -> None:
        raise ZeroDivisionError(caller.name)

    monkeypatch.setattr(PersistentCaller, "run", end)
    plan = SoakPlan(seed=1, vms=1, faults=(), first_port=25_000, recovery_s=0.0)
    with pytest.raises(RuntimeError, match="callers ended"):
        curio.run(Soak(plan=plan).run)


def watch_a_drain(first_port: int) -> SoakResult:
    """Drain an upstream while one of two VMs is killed and a link fails elsewhere."""
    faults = (
        SoakFault(at=0.2, for_s=2.0, kind="drain", target="u0-ke-1"),
        SoakFault(at=3.0, for_s=1.0, kind="kill", target="ba-1-0"),
        SoakFault(at=3.5, for_s=1.0, kind="resets", target="upstream:u1-ke-1"),
        SoakFault(at=4.0, for_s=1.0, kind="hup", target="ke-1-1"),
    )
    plan = SoakPlan(seed=1, vms=2, faults=faults, first_port=first_port, recovery_s=4.0)
    verdict: SoakResult = curio.run(Soak(plan=plan).run)
    return verdict


def test_a_drain_is_watched_beside_faults_elsewhere() -> None:
    verdict = watch_a_drain(22_000)
    assert verdict.violation is None
    assert verdict.drains_watched == 1


def test_work_at_a_drained_upstream_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    put_in_force = Operators.apply_intent

    async def pretend(operators: Operators, intent: dict[str, Any]) -> bool:
        return intent["kind"] != "apply" or await put_in_force(operators, intent)

    monkeypatch.setattr(Operators, "apply_intent", pretend)
    broken = watch_a_drain(23_000).violation
    assert broken is not None
    assert broken.guarantee == "drained gets nothing new"
