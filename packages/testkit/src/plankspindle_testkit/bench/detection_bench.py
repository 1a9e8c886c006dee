"""Time until all entry VMs detect a failed one, and message rate, by fleet size."""

from __future__ import annotations

from random import Random
from statistics import median

from plankspindle_testkit.bench.table import print_table
from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.membership_fleet import MembershipFleet

SIZES = (30, 65, 195, 300)
LOSSES = (0.0, 0.05)
SEEDS = (1, 2, 3)
SETTLED_S = 4.0
MAX_DETECTION_S = 60.0
IDLE_S = 10.0
"""Time for which messages are counted without a failure, in seconds."""


def run_detection_bench() -> None:
    """Print the seconds until every VM detects a failed one, and the message rate."""
    rows = []
    for vms in SIZES:
        for loss in LOSSES:
            runs = [_measure(vms, loss, seed) for seed in SEEDS]
            seconds = [each[0] for each in runs]
            rows.append(
                [
                    str(vms),
                    f"{100 * loss:.0f} %",
                    f"{median(seconds):.2f}",
                    f"{max(seconds):.2f}",
                    f"{median(each[1] for each in runs):.1f}",
                ]
            )
    columns = ("entry VMs", "lost", "median s", "longest s", "messages per s and VM")
    print_table(f"Failure detected by all VMs, {len(SEEDS)} seeds", columns, rows)


def _measure(vms: int, loss: float, seed: int) -> tuple[float, float]:
    """Return the seconds until all VMs detect it, and messages per second and VM."""
    fleet = MembershipFleet(fleet=Fleet(vms=vms, upstreams=0), random=Random(seed))
    fleet.run(SETTLED_S)
    fleet.loss_share = loss
    before = sum(each.sent_count for each in fleet.vms)
    fleet.run(IDLE_S)
    sent = sum(each.sent_count for each in fleet.vms) - before
    fleet.stop([seed])
    took_s = fleet.seconds_until(
        lambda: fleet.all_suspect([seed]), limit_s=MAX_DETECTION_S
    )
    return took_s, sent / IDLE_S / vms
