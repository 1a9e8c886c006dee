"""Processor time and memory as linear functions of sizes, for docs/CAPACITY.md."""

from __future__ import annotations

import json
import tracemalloc
from random import Random
from statistics import linear_regression
from typing import TYPE_CHECKING

from attrs import evolve

from plankspindle_core.configuration.codec import configuration_to_mapping
from plankspindle_core.configuration.codec import decode_configuration
from plankspindle_core.configuration.codec import encode_configuration
from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.configuration.configuration import Site
from plankspindle_core.configuration.service import SlotSharing
from plankspindle_daemon.dispatch import messages as dispatch
from plankspindle_daemon.membership import messages as membership
from plankspindle_daemon.peer_messages.heartbeat import Heartbeat
from plankspindle_daemon.platform.live_list import parse_live_list
from plankspindle_daemon.steering.block_table import BlockTable
from plankspindle_daemon.wire.codec import decode
from plankspindle_daemon.wire.codec import encode
from plankspindle_daemon.wire.frame import FrameSealer
from plankspindle_testkit.bench.lookup_bench import build_blocks
from plankspindle_testkit.bench.median_time import REPEATS
from plankspindle_testkit.bench.median_time import median_ms
from plankspindle_testkit.bench.sharing_slopes import broadcast_ms
from plankspindle_testkit.bench.sharing_slopes import receive_ms
from plankspindle_testkit.bench.slope import Slope
from plankspindle_testkit.bench.table import print_table
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_service
from plankspindle_testkit.builders import build_ticket
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.trial.trial_vm import TrialVm
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from plankspindle_daemon.admission.ticket import Ticket
    from plankspindle_daemon.node.node import Node

WALL = 1_000.0


def run_slopes_bench() -> None:
    """Print for each cost its values, the linear fit and the worst error of the fit."""
    rows = []
    for slope in SLOPES:
        values = [slope.measure(size) for size in slope.sizes]
        fit = linear_regression(slope.sizes, values)
        errors = [
            abs(value - fit.intercept - fit.slope * size)
            for size, value in zip(slope.sizes, values, strict=True)
        ]
        rows.append(
            [
                slope.name,
                " / ".join(str(size) for size in slope.sizes),
                " / ".join(f"{value:.3g}" for value in values),
                f"{fit.intercept:.3g} + {fit.slope:.3g} n {slope.unit}",
                f"{100 * max(errors) / max(values):.0f} %",
            ]
        )
    columns = ("cost", "sizes n", "values", "fit", "worst error")
    print_table(f"Slopes, median of {REPEATS} repeats each", columns, rows)


def _place(number: int) -> VmAddresses:
    return VmAddresses(
        name=f"vm-{number:04}",
        failure_domain="ba-1",
        host=f"10.0.{number // 250}.{number % 250 + 1}",
        base_port=7000,
    )


def _build_reported_node(upstreams: int) -> Node:
    """Build a node with upstreams in three domains that any entry VM may use."""
    node = TrialVm.start(_place(0), seeds=[], random=Random(1), now=0.0).node
    domains = ("ba-1", "ba-2", "ke-1")
    configuration = build_configuration(
        services_by_name={"registry": build_service(slot_sharing=SlotSharing.REPORTED)},
        upstreams_by_name={
            f"u{number}": build_upstream(slots=9, failure_domain=domains[number % 3])
            for number in range(upstreams)
        },
    )
    node.adopt(configuration, version=build_version(1), now=0.0)
    return node


def _place_request_ms(upstreams: int) -> float:
    """Place one request by its affinity key and handle its completion."""
    node = _build_reported_node(upstreams)
    numbers = iter(range(10**6))

    def serve() -> None:
        for _ in range(50):
            number = next(numbers)
            _serve_one(node, build_ticket(number, affinity=f"k{number % 100}"))

    serve()
    serve()
    return median_ms(serve) / 50


def _ranking_kib(upstreams: int) -> float:
    """Cache the ranking of the upstreams for one affinity key."""
    node = _build_reported_node(upstreams)
    keys = 50
    tracemalloc.start()
    for number in range(keys):
        _serve_one(node, build_ticket(number, affinity=f"k{number}"))
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return allocated / 1024 / keys


def _reorder_ms(upstreams: int) -> float:
    """Add an upstream and remove another, with the rankings of 400 keys cached."""
    node = _build_reported_node(upstreams)
    placement = node.dispatchers_by_service["registry"].placement
    assert placement is not None
    orders = placement.rankings
    for number in range(400):
        orders.get(f"k{number}")
    domain_by_name = dict(orders.domain_by_name)
    numbers = iter(range(10**6))

    def change() -> None:
        number = next(numbers)
        del domain_by_name[f"u{number}"]
        domain_by_name[f"new{number}"] = "ba-1"
        orders.set_upstreams(domain_by_name)

    return median_ms(change)


def _build_node(members: int, upstreams: int = 60) -> Node:
    """Build a node that has received heartbeats of all members of its domain."""
    places = [_place(number) for number in range(members)]
    node = TrialVm.start(places[0], seeds=[], random=Random(1), now=0.0).node
    configuration = build_configuration(
        upstreams_by_name={
            f"u{number}": build_upstream(slots=9) for number in range(upstreams)
        }
    )
    node.adopt(configuration, version=build_version(1), now=0.0)
    for place in places[1:]:
        other = TrialVm.start(place, seeds=[], random=Random(place.name), now=0.0)
        heartbeat = other.node.heartbeat(now=0.1)
        node.handle_membership(
            membership.HeartbeatReceived(heartbeat), now=0.1, wall=WALL
        )
    return node


def _tick_ms(members: int) -> float:
    node = _build_node(members)
    node.tick(now=3.0, wall=WALL)
    steps = iter(range(10_000))

    def tick() -> None:
        for _ in range(20):
            node.tick(now=3.0 + 0.05 * next(steps), wall=WALL)

    return median_ms(tick) / 20


def _heartbeat_ms(members: int) -> float:
    """Verify, decode and handle one heartbeat."""
    node = _build_node(members)
    sealer = FrameSealer(keys=[b"k" * 16])
    sender = TrialVm.start(_place(1), seeds=[], random=Random("vm-0001"), now=0.0)
    first = sender.node.heartbeat(now=0.2)
    frames = [
        sealer.seal(encode(evolve(first, sequence=number + 2))) for number in range(200)
    ]
    remaining = iter(frames * REPEATS)

    def receive() -> None:
        for _ in range(100):
            heartbeat = sealer.open(next(remaining)).and_then(decode).unwrap()
            assert isinstance(heartbeat, Heartbeat)
            event = membership.HeartbeatReceived(heartbeat)
            node.handle_membership(event, now=0.3, wall=WALL)

    return median_ms(receive) / 100


def _serve_one(node: Node, ticket: Ticket) -> None:
    arrived = node.handle_dispatch("registry", dispatch.RequestArrived(ticket), 3.0)
    upstream = arrived[0].effect.upstream  # type: ignore[union-attr]
    ended = dispatch.AttemptCompleted(
        ticket=ticket,
        upstream=upstream,
        outcome=dispatch.AttemptOutcome.ANSWERED,
        head_s=0.01,
        total_s=0.01,
    )
    node.handle_dispatch("registry", ended, 3.0)


def _dispatch_ms(upstreams: int) -> float:
    """Dispatch one request and handle its completion."""
    node = _build_node(1, upstreams)
    node.tick(now=3.0, wall=WALL)
    numbers = iter(range(10**6))

    def serve() -> None:
        for _ in range(50):
            _serve_one(node, build_ticket(next(numbers)))

    return median_ms(serve) / 50


def _configuration(blocks: int) -> Configuration:
    site_by_prefix = build_blocks(blocks)
    sites = {name: Site(failure_domain="ba-1") for name in set(site_by_prefix.values())}
    return build_configuration(site_by_prefix=site_by_prefix, sites_by_name=sites)


def _adopt_ms(blocks: int) -> float:
    """Decode a version, build its block table and put it in force."""
    content = encode_configuration(_configuration(blocks))
    versions = iter(range(1, 100))
    node = _build_node(1)

    def adopt() -> None:
        decoded = decode_configuration(content).unwrap()
        node.adopt(decoded, version=build_version(1 + next(versions)), now=5.0)

    return median_ms(adopt)


def _content_kib(blocks: int) -> float:
    return len(json.dumps(configuration_to_mapping(_configuration(blocks)))) / 1024


def _table_kib(blocks: int) -> float:
    return BlockTable(site_by_prefix=build_blocks(blocks)).nbytes / 1024


def _configuration_mib(blocks: int) -> float:
    """Memory of a decoded version with its block table."""
    content = encode_configuration(_configuration(blocks))
    tracemalloc.start()
    decoded = decode_configuration(content).unwrap()
    table = BlockTable(site_by_prefix=decoded.site_by_prefix)
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert table.blocks == blocks
    return allocated / 1024**2


def _list_ms(vms: int) -> float:
    """Parse the platform's list of entry VMs and apply it."""
    node = _build_node(1)
    document = {
        "vms": [
            {
                "name": f"vm-{number:04}",
                "kind": "entry",
                "failure_domain": f"d-{number % 22}",
                "caller": f"10.0.0.{number % 250 + 1}:7000",
                "peer": f"10.0.0.{number % 250 + 1}:7002",
            }
            for number in range(vms)
        ]
    }
    content = json.dumps(document)

    def read() -> None:
        listed = parse_live_list(json.loads(content)).unwrap()
        node.handle_membership(
            membership.LiveListRead(tuple(listed)), now=9.0, wall=WALL
        )

    return median_ms(read)


def _digests_ms(senders: int) -> float:
    """Sum up the load of a service from the digests, as for a plan."""
    node = _build_node(1)
    node.tick(now=3.0, wall=WALL)
    digest = node.digest_exchange.own_digest(
        node.dispatchers_by_service, node.version, 3.0
    )
    for number in range(senders):
        node.digest_exchange.digests.record(evolve(digest, sender=f"vm-{number}"), 3.0)
    return median_ms(
        lambda: node.digest_exchange.digests.load_of(
            service="registry", domains={"ba-1"}, now=3.0
        )
    )


SLOPES = [
    Slope(
        name="tick, by members of the domain (60 upstreams)",
        unit="ms",
        sizes=(10, 50, 100, 205),
        measure=_tick_ms,
    ),
    Slope(
        name="heartbeat received, by members of the domain",
        unit="ms",
        sizes=(10, 50, 100, 205),
        measure=_heartbeat_ms,
    ),
    Slope(
        name="request dispatched, by upstreams of the domain",
        unit="ms",
        sizes=(4, 15, 30, 60),
        measure=_dispatch_ms,
    ),
    Slope(
        name="request placed by its key, by upstreams of the service",
        unit="ms",
        sizes=(24, 100, 200, 400),
        measure=_place_request_ms,
    ),
    Slope(
        name="ranking of the upstreams for a key, by upstreams",
        unit="KiB",
        sizes=(24, 100, 200, 400),
        measure=_ranking_kib,
    ),
    Slope(
        name="upstream added and one removed, 400 rankings cached, by upstreams",
        unit="ms",
        sizes=(24, 100, 200, 400),
        measure=_reorder_ms,
    ),
    Slope(
        name="list of 232 read and broadcast, by members of the domain",
        unit="ms",
        sizes=(8, 16, 32),
        measure=broadcast_ms,
    ),
    Slope(
        name="update of a reader received, by members of the domain",
        unit="ms",
        sizes=(8, 16, 32),
        measure=receive_ms,
    ),
    Slope(
        name="version adopted, by client blocks",
        unit="ms",
        sizes=(1_000, 5_000, 10_000, 20_000),
        measure=_adopt_ms,
    ),
    Slope(
        name="content of a version, by client blocks",
        unit="KiB",
        sizes=(1_000, 5_000, 20_000),
        measure=_content_kib,
    ),
    Slope(
        name="block table, by client blocks",
        unit="KiB",
        sizes=(1_000, 5_000, 20_000),
        measure=_table_kib,
    ),
    Slope(
        name="memory of a version, by client blocks",
        unit="MiB",
        sizes=(1_000, 5_000, 20_000),
        measure=_configuration_mib,
    ),
    Slope(
        name="list of VMs read and applied, by VMs",
        unit="ms",
        sizes=(100, 500, 1_000, 2_000),
        measure=_list_ms,
    ),
    Slope(
        name="load summed up for a plan, by senders",
        unit="ms",
        sizes=(100, 1_000, 4_500),
        measure=_digests_ms,
    ),
]
