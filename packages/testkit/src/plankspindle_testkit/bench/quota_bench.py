"""Schemes of fleet-wide quotas under the same loads: rejections and messages."""

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
    """Which VMs hold the shares of the quotas."""

    STATIC = "each VM keeps its own share"
    FLEET = "one holder for all regions"
    REGIONS = "one holder per region"


@define(kw_only=True)
class _Load:
    """Requests of many workspaces at random VMs."""

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
            expected = per_s / 10
            number = int(expected) + (self.random.random() < expected % 1)
            self.sent += number
            for _ in range(number):
                self.fleet.receive_request(self.random.choice(self.names), workspace)


def run_quota_bench() -> None:
    """Print rejections below and above quotas, and message rates, by scheme."""
    rows = [
        _measure(size, scheme, is_hot=is_hot)
        for size in SIZES
        for is_hot in (False, True)
        for scheme in Scheme
    ]
    print_table(
        "Quotas of 76 workspaces at 1.6 of their demand",
        [
            "VMs",
            "load",
            "scheme",
            "rejected, percent",
            "of workspaces below their quota",
            "maximum in 5 s over the bound",
            "messages per request",
            "claims and leases per VM and s",
            "us per VM and s when idle",
        ],
        rows,
    )


def _measure(size: int, scheme: Scheme, *, is_hot: bool) -> list[str]:
    demand = {
        f"w{rank}": LARGEST_PER_S / (rank + 1) ** SKEW for rank in range(WORKSPACES)
    }
    rates = {
        name: max(MIN_RATE_PER_S, round(QUOTA_PER_DEMAND * per_s))
        for name, per_s in demand.items()
    }
    fleet = QuotaFleet(
        random=Random(1),
        workspaces_by_name={
            name: build_workspace(rate_per_s=rate, burst=rate)
            for name, rate in rates.items()
        },
        regions=REGIONS[:1] if scheme is Scheme.FLEET else REGIONS,
    )
    fleet.add_vms(size)
    if scheme is Scheme.STATIC:
        fleet.partition(lambda one, other: False)
    fleet.run(SETTLE_S)
    at_idle_start, idle_us = dict(fleet.sent_by_kind), _idle_us(fleet, size)
    claims = sum(fleet.sent_by_kind.values()) - sum(at_idle_start.values())
    if is_hot:
        demand["w0"] *= HOT_FACTOR
    load = _Load(fleet=fleet, demand_by_workspace=demand, random=Random(2))
    fleet.run(LOAD_S, load)
    refused = {name: len(at) for name, at in fleet.refused_at_by_workspace.items()}
    below = sum(number for name, number in refused.items() if name != "w0")
    token_messages = (
        fleet.sent_by_kind["TokenRequest"] + fleet.sent_by_kind["TokenGrant"]
    )
    fullest = max(
        fleet.max_admitted(name, WINDOW_S)
        / ((rate * WINDOW_S + rate) * OVERAGE + SLACK)
        for name, rate in rates.items()
    )
    return [
        str(size),
        f"one at {HOT_FACTOR:g} of its demand" if is_hot else "normal",
        scheme.value,
        f"{100 * sum(refused.values()) / load.sent:.2f}",
        f"{100 * below / load.sent:.2f}",
        f"{fullest:.2f}",
        f"{token_messages / load.sent:.2f}",
        f"{claims / size / WINDOW_S:.1f}",
        f"{idle_us:.0f}",
    ]


def _idle_us(fleet: QuotaFleet, size: int) -> float:
    """Return the processor time without requests, in us per VM and second."""
    began = time.process_time()
    fleet.run(WINDOW_S)
    return (time.process_time() - began) / size / WINDOW_S * 1e6
