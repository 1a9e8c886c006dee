"""Ways to keep quotas over a fleet, on the same loads: what they refuse and send."""

from __future__ import annotations

import time
from enum import Enum
from random import Random

from attrs import define
from attrs import field

from plankspindle_testkit.bench.table import print_table
from plankspindle_testkit.builders import build_workspace
from plankspindle_testkit.quota_fleet import REGIONS
from plankspindle_testkit.quota_fleet import QuotaFleet

SIZES = (9, 67, 195, 300)
WORKSPACES = 76
LARGEST_PER_S = 100.0
SKEW = 0.85
QUOTA_PER_DEMAND = 1.6
MIN_RATE_PER_S = 5.0
HOT_FACTOR = 4.2
SETTLE_S = 8.0
LOAD_S = 20.0
WINDOW_S = 5.0
OVERAGE = 1.1
SLACK = 20.0


class Scheme(Enum):
    """Where the shares of the VMs go."""

    STATIC = "each VM keeps its own"
    FLEET = "one holder for all regions"
    REGIONS = "a holder in each region"


@define(kw_only=True)
class _Load:
    """Requests of many workspaces, the first of them hot if wanted."""

    fleet: QuotaFleet
    demand_by_workspace: dict[str, float]
    random: Random
    sent: int = 0
    names: list[str] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.names = list(self.fleet.vms_by_name)

    def __call__(self, now: float) -> None:
        del now
        for workspace, per_s in self.demand_by_workspace.items():
            wanted = per_s / 10
            number = int(wanted) + (self.random.random() < wanted % 1)
            self.sent += number
            for _ in range(number):
                self.fleet.receive_request(self.random.choice(self.names), workspace)


def run_quota_bench() -> None:
    """Print what each way refuses below and beyond quotas, and its messages."""
    rows = [
        _measure(size, way, is_hot=is_hot)
        for size in SIZES
        for is_hot in (False, True)
        for way in Scheme
    ]
    print_table(
        "Quotas of 76 workspaces at 1.6 of their use",
        [
            "VMs",
            "load",
            "way",
            "refused, percent",
            "of workspaces below their quota",
            "most in 5 s, of the bound",
            "messages a request",
            "claims and leases a VM and s",
            "us a VM and s at rest",
        ],
        rows,
    )


def _measure(size: int, way: Scheme, *, is_hot: bool) -> list[str]:
    use = {f"w{rank}": LARGEST_PER_S / (rank + 1) ** SKEW for rank in range(WORKSPACES)}
    rates = {
        name: max(MIN_RATE_PER_S, round(QUOTA_PER_DEMAND * per_s))
        for name, per_s in use.items()
    }
    fleet = QuotaFleet(
        random=Random(1),
        workspaces_by_name={
            name: build_workspace(rate_per_s=rate, burst=rate)
            for name, rate in rates.items()
        },
        regions=REGIONS[:1] if way is Scheme.FLEET else REGIONS,
    )
    fleet.add_vms(size)
    if way is Scheme.STATIC:
        fleet.partition(lambda one, other: False)
    fleet.run(SETTLE_S)
    at_rest, rest_us = dict(fleet.sent_by_kind), _idle_us(fleet, size)
    claims = sum(fleet.sent_by_kind.values()) - sum(at_rest.values())
    if is_hot:
        use["w0"] *= HOT_FACTOR
    load = _Load(fleet=fleet, demand_by_workspace=use, random=Random(2))
    fleet.run(LOAD_S, load)
    refused = {name: len(at) for name, at in fleet.refused_at_by_workspace.items()}
    below = sum(number for name, number in refused.items() if name != "w0")
    asks = fleet.sent_by_kind["TokenRequest"] + fleet.sent_by_kind["TokenGrant"]
    fullest = max(
        fleet.max_admitted(name, WINDOW_S)
        / ((rate * WINDOW_S + rate) * OVERAGE + SLACK)
        for name, rate in rates.items()
    )
    return [
        str(size),
        f"one at {HOT_FACTOR:g} of its use" if is_hot else "calm",
        way.value,
        f"{100 * sum(refused.values()) / load.sent:.2f}",
        f"{100 * below / load.sent:.2f}",
        f"{fullest:.2f}",
        f"{asks / load.sent:.2f}",
        f"{claims / size / WINDOW_S:.1f}",
        f"{rest_us:.0f}",
    ]


def _idle_us(fleet: QuotaFleet, size: int) -> float:
    """Let a window pass without requests, and give its processor time."""
    began = time.process_time()
    fleet.run(WINDOW_S)
    return (time.process_time() - began) / size / WINDOW_S * 1e6
