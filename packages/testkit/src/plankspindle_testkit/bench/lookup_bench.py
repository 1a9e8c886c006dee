"""Benchmark of the block table and of lookups in a fleet of two years from now."""

from __future__ import annotations

import time
from ipaddress import ip_address
from random import Random

from plankspindle_core.configuration.configuration import FailureDomain
from plankspindle_core.configuration.configuration import Site
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.steering.block_table import BlockTable
from plankspindle_daemon.steering.steering import EntryVm
from plankspindle_daemon.steering.steering import Steering
from plankspindle_testkit.bench.table import print_table
from plankspindle_testkit.bench.table import quantile
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_upstream

BLOCK_COUNTS = (105_000, 210_000, 420_000)
SITES = 1_300
DOMAINS = 22
REGIONS = 9
VMS = 4_500
LOOKUPS = 20_000
HOST_BITS = 12


def build_blocks(count: int) -> dict[str, str]:
    """Build distinct /20 blocks; neighbouring blocks have different sites."""
    first = 16 << 24
    return {
        f"{ip_address(first + (number << HOST_BITS))}/20": f"site-{number % SITES}"
        for number in range(count)
    }


def run_lookup_bench() -> None:
    """Print memory of the block table, and times of table accesses and lookups."""
    rows = [_measure(count) for count in BLOCK_COUNTS]
    print_table(
        f"Lookup: {SITES} sites, {VMS} entry VMs in {DOMAINS} failure domains",
        (
            "client blocks",
            "build s",
            "bytes per block",
            "table p50 us",
            "table p99 us",
            "lookup p50 us",
            "lookup p99 us",
        ),
        rows,
    )


def _measure(count: int) -> list[str]:
    blocks = build_blocks(count)
    began = time.perf_counter()
    table = BlockTable(site_by_prefix=blocks)
    build_s = time.perf_counter() - began
    random = Random(1)
    addresses = [
        str(ip_address((16 << 24) + random.randrange(count << HOST_BITS)))
        for _ in range(LOOKUPS)
    ]
    table_us = [_time_us(table.site_of, address) for address in addresses]
    steering = _build_steering(blocks)
    steer_us = [
        _time_us(lambda a: steering.look_up(service="registry", address=a), address)
        for address in addresses
    ]
    return [
        f"{count}",
        f"{build_s:.2f}",
        f"{table.nbytes / count:.1f}",
        f"{quantile(table_us, 0.5):.1f}",
        f"{quantile(table_us, 0.99):.1f}",
        f"{quantile(steer_us, 0.5):.1f}",
        f"{quantile(steer_us, 0.99):.1f}",
    ]


def _time_us(function: object, address: str) -> float:
    assert callable(function)
    began = time.perf_counter()
    function(address)
    return (time.perf_counter() - began) * 1e6


def _build_steering(blocks: dict[str, str]) -> Steering:
    configuration = build_configuration(
        failure_domains_by_name={
            f"d{number}": FailureDomain(region=f"r{number % REGIONS}")
            for number in range(DOMAINS)
        },
        upstreams_by_name={
            f"u{number}": build_upstream(failure_domain=f"d{number}")
            for number in range(DOMAINS)
        },
        sites_by_name={
            f"site-{number}": Site(failure_domain=f"d{number % DOMAINS}")
            for number in range(SITES)
        },
        site_by_prefix=blocks,
    )
    steering = Steering(configuration=configuration, home_domain="d0")
    steering.update_vms(
        EntryVm(
            name=f"vm-{number}",
            failure_domain=f"d{number % DOMAINS}",
            endpoint=Endpoint("10.0.0.1", 7000),
        )
        for number in range(VMS)
    )
    return steering
