"""Tests of the faults of a link proxy, over loopback."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING
from typing import Any

import curio

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.fetch import fetch
from plankspindle_core.http.limits import HttpLimits
from plankspindle_core.http.server import HttpServer
from plankspindle_testkit.loopback_network import loopback_host
from plankspindle_testkit.soak.link_proxy import LinkProxy
from plankspindle_testkit.soak.link_proxy import LinkState

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from plankspindle_core.http.server_exchange import ServerExchange

_PORTS = count(18_970, 2)


class Server:
    def __init__(self) -> None:
        self.request_count = 0

    async def handle(self, source: ServerExchange) -> None:
        await source.read_body(max_bytes=1_000)
        self.request_count += 1
        await source.answer(status=200, body=b"whole")


def run(use: Callable[[LinkProxy, Server], Awaitable[Any]]) -> Any:
    async def run_with_proxy() -> Any:
        port = next(_PORTS)
        target = Endpoint(loopback_host(7, 11), port)
        counted = Server()
        server = HttpServer(
            endpoint=target, limits=HttpLimits(), handler=counted.handle
        )
        proxy = LinkProxy(
            endpoint=Endpoint(loopback_host(7, 11), port + 1), target=target
        )
        await server.start()
        await proxy.start()
        try:
            return await use(proxy, counted)
        finally:
            await proxy.close()
            await server.close()

    return curio.run(run_with_proxy)


async def is_answered(proxy: LinkProxy, timeout_s: float = 5.0) -> bool:
    answer = await fetch(proxy.endpoint, timeout_s=timeout_s)
    return answer.is_ok() and answer.unwrap().body == b"whole"


def test_answer_passes_unchanged() -> None:
    assert run(lambda proxy, _: is_answered(proxy))


def test_held_request_does_not_reach_target() -> None:
    async def use(proxy: LinkProxy, server: Server) -> tuple[bool, int]:
        proxy.state = LinkState.HOLDS_REQUESTS
        return await is_answered(proxy, 0.3), server.request_count

    assert run(use) == (False, 0)


def test_held_answer_does_not_reach_client() -> None:
    async def use(proxy: LinkProxy, server: Server) -> tuple[bool, int]:
        proxy.state = LinkState.HOLDS_ANSWERS
        return await is_answered(proxy, 0.5), server.request_count

    assert run(use) == (False, 1)


def test_reset_link_closes_connection() -> None:
    async def use(proxy: LinkProxy, _: Server) -> bool:
        proxy.state = LinkState.RESETS
        answer = await fetch(proxy.endpoint, timeout_s=5.0)
        return "Lost" in type(answer.unwrap_err()).__name__

    assert run(use)


def test_blackhole_affects_only_open_connections() -> None:
    async def use(proxy: LinkProxy, server: Server) -> tuple[bool, int]:
        proxy.state = LinkState.HOLDS_REQUESTS
        stuck = await curio.spawn(is_answered, proxy, 1.0)
        while not proxy._pairs:
            await curio.sleep(0.01)
        proxy.blackhole_open()
        proxy.state = LinkState.PASSES
        passes = await is_answered(proxy)
        return passes and not await stuck.join(), server.request_count

    assert run(use) == (True, 1)
