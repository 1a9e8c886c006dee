"""Closed-loop load generator.

Run it as ``python -m plankspindle_testkit.bench.load_generator``.
"""

from __future__ import annotations

import json
import time
from collections import Counter

import click
import curio
from attrs import define
from attrs import field

from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.client_connection import ClientConnection

CONNECT_TIMEOUT_S = 5.0


@define(kw_only=True)
class LoadGenerator:
    """Send requests on kept-alive connections, one at a time on each.

    Parameters
    ----------
    endpoint : Endpoint
        Server that requests are sent to.
    method, target : str
        Request line.
    connections : int
        Concurrent connections.
    requests : int
        Requests to send, over all connections.

    Attributes
    ----------
    seconds : list of float
        Duration of each request, in seconds.
    statuses : Counter of int
        Number of answers by status; zero for a lost connection.
    """

    endpoint: Endpoint
    method: str
    target: str
    connections: int
    requests: int
    seconds: list[float] = field(factory=list)
    statuses: Counter[int] = field(factory=Counter)
    _left: int = field(init=False)

    async def run(self) -> float:
        """Send all requests and return the total duration in seconds."""
        self._left = self.requests
        began = time.perf_counter()
        async with curio.TaskGroup() as group:
            for _ in range(self.connections):
                await group.spawn(self._use_connection)
        return time.perf_counter() - began

    async def _use_connection(self) -> None:
        connection = ClientConnection(endpoint=self.endpoint)
        started = await connection.start(timeout_s=CONNECT_TIMEOUT_S)
        if started.is_err():
            raise ConnectionError(str(started.unwrap_err()))
        while self._left > 0:
            self._left -= 1
            began = time.perf_counter()
            self.statuses[await self._exchange(connection)] += 1
            self.seconds.append(time.perf_counter() - began)
            if not connection.prepare_reuse():
                await connection.close()
                connection = ClientConnection(endpoint=self.endpoint)
                await connection.start(timeout_s=CONNECT_TIMEOUT_S)
        await connection.close()

    async def _exchange(self, connection: ClientConnection) -> int:
        headers = [
            (b"host", str(self.endpoint).encode()),
            (b"content-length", b"0"),
        ]
        await connection.send_request(
            method=self.method, target=self.target, headers=headers
        )
        await connection.end_request()
        head = await connection.read_head()
        if head.is_err():
            return 0
        while (chunk := await connection.read_chunk()).is_ok():
            if chunk.unwrap() is None:
                return int(head.unwrap().status_code)
        return 0


@click.command()
@click.option("--method", default="GET")
@click.option("--connections", default=8)
@click.option("--requests", default=4000)
@click.argument("endpoint")
@click.argument("target")
def main(
    method: str, connections: int, requests: int, endpoint: str, target: str
) -> None:
    """Send load to ENDPOINT and print durations as JSON."""
    generator = LoadGenerator(
        endpoint=Endpoint.parse(endpoint),
        method=method,
        target=target,
        connections=connections,
        requests=requests,
    )
    took = curio.run(generator.run)
    found = {
        "took_s": took,
        "seconds": generator.seconds,
        "statuses": dict(generator.statuses),
    }
    click.echo(json.dumps(found))


if __name__ == "__main__":
    main()
