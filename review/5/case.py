"""Clients with long bodies leave while a backend works: are the backends let go (GONE)?"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet_stand_ins import Fleet
from fleet_stand_ins import Record
from fleet_stand_ins import configuration
from fleet_stand_ins import fail_to_run
from fleet_stand_ins import is_built
from fleet_stand_ins import now
from fleet_stand_ins import route
from fleet_stand_ins import send

FOLDER = Path(__file__).resolve().parent
WORK_S = 2.12
DEADLINE_MS = 10_000
TARGET_MS = 1_500
LEAVE_AFTER_S = TARGET_MS / 2 / 1000
LEAVING_SHARE_PERCENT = 30
REQUESTS = 160
PAUSE_S = 0.0625
LEAVING = range(40, 120)
"""Requests of 5 s, among which clients leave."""
LONG, SHORT = 1_200_000, 900_000
"""Bodies on both sides of 1 MiB; the operator's limits allow 64 MiB."""
LATE_S = 0.5
ALLOWED_SHARE = 0.25


async def send_one(fleet: Fleet, number: int, left_at: dict[str, float], trouble: bool) -> int | None:
    machine = fleet.machines[number % len(fleet.machines)]
    size = LONG if number % 2 else SHORT
    is_chosen = number // 2 % 10 < LEAVING_SHARE_PERCENT // 10
    leaves = trouble and number in LEAVING and is_chosen
    answer = await send(
        fleet,
        machine,
        "PUT",
        f"/scan/{number}",
        b"x" * size,
        deadline_ms=DEADLINE_MS,
        leave_after_s=LEAVE_AFTER_S if leaves else None,
    )
    if leaves and answer.status is None:
        left_at[answer.request_id] = now()
    return None if leaves else answer.status


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Send the requests; return whether the rule held."""
    left_at: dict[str, float] = {}
    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(send_one(fleet, number, left_at, trouble)))
        await asyncio.sleep(PAUSE_S)
    statuses = await asyncio.gather(*tasks)
    await asyncio.sleep(WORK_S + 1)
    stayed = [status for status in statuses if status is not None]
    print(f"{REQUESTS} requests, {len(left_at)} clients left; 200 for {stayed.count(200)}"
          f" of the others")
    total = working = 0
    for size in (SHORT, LONG):
        long_runs = still = 0
        for run in fleet.runs:
            closed_at = left_at.get(run.request_id)
            if closed_at is None or run.size != size:
                continue
            if run.arrived_at + WORK_S > closed_at + LATE_S:
                long_runs += 1
                still += run.ended_at > closed_at + LATE_S
        print(f"bodies of {size} bytes: {still} of {long_runs} runs go on"
              f" {LATE_S} s after their client closed its connection")
        total, working = total + long_runs, working + still
    print(f"all: {working} of {total}; the rule allows a quarter")
    fleet.record.add("judged", still_working=working, of=total)
    if stayed.count(200) < 0.9 * len(stayed):
        fail_to_run("the clients that stayed were not served")
    if trouble and total < 20:
        fail_to_run("too few clients left")
    return working <= ALLOWED_SHARE * total


async def main() -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = Fleet(Record(FOLDER / "record.txt"), machines=3, backends=6)
    try:
        for backend in fleet.backends:
            backend.work_s = WORK_S
        scan = route(
            "r-scan",
            "/scan/",
            "idempotent",
            timeout=f"{DEADLINE_MS}ms",
            target_latency=f"{TARGET_MS}ms",
        )
        await fleet.start(configuration([scan]))
        held = await play(fleet, trouble)
    except (OSError, RuntimeError) as error:
        fail_to_run(error)
    finally:
        await fleet.close()
    print("GONE held" if held else "GONE broken")
    return 0 if held else 1


if __name__ == "__main__":
    if not is_built():
        fail_to_run("run `bash deploy/build.sh` first")
    sys.exit(asyncio.run(main()))
