"""Schemes that keep an upstream within a fleet-wide limit, under the same load."""

from __future__ import annotations

from enum import Enum
from random import Random

from attrs import Factory
from attrs import define

from plankspindle_core.stable_hash import stable_hash
from plankspindle_testkit.bench.table import print_table
from plankspindle_testkit.lab.statement_record import WINDOW_S
from plankspindle_testkit.lab.statement_record import max_allowed_requests
from plankspindle_testkit.quota_fleet import QuotaFleet
from plankspindle_testkit.quota_fleet import max_in_window

SIZES = (9, 67, 195, 300)
INCARNATION_ID = "u#1"
LIMIT_PER_S = 4.6
WANTED_PER_S = 20.0
SENDERS = 8
SETTLE_S = 3.0
UNPARTITIONED_S = 12.0
PARTITIONED_S = 12.0
STEP_S = 0.1


class Scheme(Enum):
    """How the limit of the upstream is divided among the VMs."""

    STATIC = "each VM has its part of the limit"
    SENDERS = "eight VMs with an eighth each, chosen from the reachable VMs"
    LEASES = "tokens from leased shares"


@define(kw_only=True)
class _Bucket:
    """Rate limiter of one VM without burst."""

    per_s: float
    ready_at: float = 0.0

    def take(self, now: float) -> bool:
        if self.per_s <= 0 or now < self.ready_at:
            return False
        self.ready_at = now + 1 / self.per_s
        return True


@define(kw_only=True)
class _Buckets:
    """VMs with a fixed part of the limit each, which exchange no messages."""

    names: list[str]
    scheme: Scheme
    sent_at: list[float] = Factory(list)
    _buckets: dict[str, _Bucket] = Factory(dict)

    def set_partitions(self, parts: list[list[str]]) -> None:
        """Set the partitions of the fleet; VMs reach those of their own partition."""
        for part in parts:
            ranked = sorted(
                part, key=lambda name: stable_hash(f"{name} {INCARNATION_ID}")
            )
            for rank, name in enumerate(ranked):
                per_s = LIMIT_PER_S / len(self.names)
                if self.scheme is Scheme.SENDERS:
                    per_s = LIMIT_PER_S / SENDERS if rank < SENDERS else 0.0
                self._buckets.setdefault(name, _Bucket(per_s=per_s)).per_s = per_s

    def run(self, now: float, seconds: float, random: Random) -> float:
        """Send requests at random VMs for some seconds, and return the final time."""
        for _ in range(round(seconds / STEP_S)):
            now += STEP_S
            for _ in range(round(WANTED_PER_S * STEP_S)):
                if self._buckets[random.choice(self.names)].take(now):
                    self.sent_at.append(now)
        return now


def run_limit_bench() -> None:
    """Print for each scheme how much of the limit it uses and how far it exceeds it."""
    rows = [_measure(size, scheme) for size in SIZES for scheme in Scheme]
    print_table(
        f"An upstream with a demand of {WANTED_PER_S:g} requests/s and a limit of "
        f"{LIMIT_PER_S:g}",
        [
            "VMs",
            "scheme",
            "used of the limit",
            "the same, partitioned in two halves",
            "maximum in 4 s over the bound",
            "messages per VM and s",
        ],
        rows,
    )


def _measure(size: int, scheme: Scheme) -> list[str]:
    if scheme is Scheme.LEASES:
        sent_at, messages, began_at = _run_leases(size)
    else:
        sent_at, messages, began_at = _run_buckets(size, scheme)
    cut_at = began_at + UNPARTITIONED_S
    unpartitioned = sum(began_at <= at < cut_at for at in sent_at)
    partitioned = sum(at >= cut_at for at in sent_at)
    max_share = max_in_window(sent_at, WINDOW_S) / max_allowed_requests(LIMIT_PER_S)
    return [
        str(size),
        scheme.value,
        f"{unpartitioned / UNPARTITIONED_S / LIMIT_PER_S:.2f}",
        f"{partitioned / PARTITIONED_S / LIMIT_PER_S:.2f}",
        f"{max_share:.2f}",
        f"{messages / size / (UNPARTITIONED_S + PARTITIONED_S):.1f}",
    ]


def _run_leases(size: int) -> tuple[list[float], int, float]:
    fleet, random = QuotaFleet(random=Random(1), workspaces_by_name={}), Random(2)
    fleet.add_vms(size)
    fleet.limit_by_incarnation[INCARNATION_ID] = LIMIT_PER_S
    names = list(fleet.vms_by_name)

    def load(now: float) -> None:
        del now
        for _ in range(round(WANTED_PER_S * STEP_S)):
            fleet.send_to_upstream(random.choice(names), INCARNATION_ID)

    fleet.run(SETTLE_S, load)
    fleet.arrived_at_by_incarnation.clear()
    sent, began_at = fleet.sent_by_kind.total(), fleet.now
    fleet.run(UNPARTITIONED_S, load)
    half = {name for index, name in enumerate(names) if index % 2}
    fleet.partition(lambda one, other: (one in half) == (other in half))
    fleet.run(PARTITIONED_S, load)
    arrived = fleet.arrived_at_by_incarnation.get(INCARNATION_ID, [])
    return arrived, fleet.sent_by_kind.total() - sent, began_at


def _run_buckets(size: int, scheme: Scheme) -> tuple[list[float], int, float]:
    names = [f"vm-{number}" for number in range(size)]
    buckets, random = _Buckets(names=names, scheme=scheme), Random(2)
    buckets.set_partitions([names])
    began_at = buckets.run(0.0, SETTLE_S, random)
    buckets.sent_at.clear()
    cut_at = buckets.run(began_at, UNPARTITIONED_S, random)
    buckets.set_partitions([names[::2], names[1::2]])
    buckets.run(cut_at, PARTITIONED_S, random)
    return buckets.sent_at, 0, began_at
