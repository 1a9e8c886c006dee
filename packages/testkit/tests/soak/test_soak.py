"""A short soak of real daemons, as every build runs it."""

from __future__ import annotations

import curio

from plankspindle_testkit.soak.soak import Soak
from plankspindle_testkit.soak.soak import SoakPlan
from plankspindle_testkit.soak.soak import SoakVerdict
from plankspindle_testkit.soak.soak_fault import SoakFault

FAULTS = (
    SoakFault(at=0.5, for_s=1.0, kind="close-after-run", target="u0-ba-1"),
    SoakFault(at=1.0, for_s=1.0, kind="kill", target="ba-1-0"),
    SoakFault(at=1.5, for_s=1.0, kind="platform-loses-answers"),
    SoakFault(at=2.0, for_s=1.0, kind="resets", target="caller:ke-1-1"),
    SoakFault(at=2.5, for_s=0.5, kind="hup", target="ke-1-1"),
    SoakFault(at=3.0, for_s=1.0, kind="silence", target="upstream:u1-ke-1"),
    SoakFault(at=3.5, for_s=1.0, kind="storm"),
)


def soak(first_port: int, *faults: SoakFault) -> SoakVerdict:
    plan = SoakPlan(seed=1, vms=2, faults=faults, first_port=first_port, recovery_s=8.0)
    verdict: SoakVerdict = curio.run(Soak(plan=plan).run)
    return verdict


def test_promises_hold_under_faults_from_outside() -> None:
    verdict = soak(30_000, *FAULTS)
    assert verdict.broken is None
    assert verdict.requests > 100
    assert verdict.struck_by_kind.total() == len(FAULTS)


def test_a_vm_that_is_ended_by_somebody_else_is_seen() -> None:
    plan = SoakPlan(seed=1, vms=2, faults=FAULTS, first_port=31_000)
    running = Soak(plan=plan)

    async def run() -> SoakVerdict:
        task = await curio.spawn(running.run)
        while not running.seen.told:
            await curio.sleep(0.1)
        running.processes.by_name["ke-1-1"].kill()
        verdict: SoakVerdict = await task.join()
        return verdict

    broken = curio.run(run).broken
    assert broken is not None
    assert broken.promise == "runs on"
