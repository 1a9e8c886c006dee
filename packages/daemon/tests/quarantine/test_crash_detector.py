"""Tests of telling a crashed upstream from one that dropped a connection."""

from __future__ import annotations

from functools import partial
from itertools import count
from typing import Any

import curio
import pytest

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.supervisor import Supervisor
from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.quarantine.crash_detector import CrashDetector
from plankspindle_daemon.quarantine.quarantine import Quarantine
from plankspindle_daemon.quarantine.request_identity import RequestIdentity
from plankspindle_daemon.upstreams.connection_pool import ConnectionPool
from plankspindle_testkit.builders import build_membership
from plankspindle_testkit.builders import build_ticket
from plankspindle_testkit.loopback_network import loopback_host

_PORTS = count(18_800)
SETTLED_S = 0.1


async def lose_requests(
    *, listening: bool, idle: bool, reaches_others: bool = True
) -> Quarantine:
    """Lose the connections of two requests at an upstream, listening or not."""
    endpoint = Endpoint(loopback_host(7, 31), next(_PORTS))
    pool = ConnectionPool(max_per_endpoint=4, connect_timeout_s=1.0)
    quarantine = Quarantine.create("a", "ba-1", build_membership("a"))

    async def send(messages: Any) -> None:
        return None

    async def hold(client: Any, _: Any) -> None:
        await client.recv(100)

    async def reach_others(_: Endpoint) -> bool:
        return reaches_others

    detector = CrashDetector(
        quarantine=quarantine,
        pool=pool,
        supervisor=Supervisor(),
        send_messages=send,
        reaches_others=reach_others,
    )
    server = None
    if listening or idle:
        server = await curio.spawn(
            curio.tcp_server, endpoint.host, endpoint.port, hold, daemon=True
        )
        await curio.sleep(SETTLED_S)
    if idle:
        connection = (await pool.acquire(endpoint, max_idle_s=0.0)).unwrap()
        pool._idle_by_endpoint[endpoint] = [connection]
    assigned = Assign(
        ticket=build_ticket(1), upstream="u", endpoint=endpoint, incarnation=5
    )
    for target in ("/a", "/b"):
        request = RequestIdentity(caller=None, method="GET", target=target)
        await detector.handle_connection_loss(request, assigned)
    await curio.sleep(SETTLED_S)
    await pool.close()
    if server is not None:
        await server.cancel()
    return quarantine


def test_requests_are_reported_when_upstream_refuses_connections() -> None:
    quarantine = curio.run(partial(lose_requests, listening=False, idle=False))
    assert quarantine.crashes_reported == 2
    records = quarantine.crash_records.records_by_identity.values()
    assert [list(each.crashed_at_by_incarnation) for each in records] == [
        ["u#5"],
        ["u#5"],
    ]


@pytest.mark.parametrize("idle", [False, True])
def test_no_crash_is_reported_while_upstream_accepts_connections(idle: bool) -> None:
    assert (
        curio.run(partial(lose_requests, listening=True, idle=idle)).crashes_reported
        == 0
    )


def test_no_crash_is_reported_by_vm_that_reaches_no_upstream() -> None:
    """Connections are reset and new ones refused, at all upstreams.

    Guards against taking a partition of this VM for crashes: the requests that were in
    flight at several upstreams would be quarantined at all entry VMs.
    """
    lose = partial(lose_requests, listening=False, idle=False, reaches_others=False)
    assert curio.run(lose).crashes_reported == 0
