"""Upstreams of a soak, which record all requests that they get."""

from __future__ import annotations

from math import inf
from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from curio import sleep
from curio import spawn

from plankspindle_core.http.headers import find_header
from plankspindle_core.http.limits import HttpLimits
from plankspindle_core.http.server import HttpServer
from plankspindle_core.steady_clock import monotonic
from plankspindle_platform.dialect import DIALECT
from soak.history import CREDENTIALS
from soak.history import WORKSPACE
from soak.history import Span
from soak.layout import SERVICES
from soak.layout import ZONES
from soak.layout import Layout
from soak.soak_store import SoakStore
from soak.software_version import BASELINE
from soak.software_version import SoftwareVersion
from soak.upstream import RETRY_AFTER
from soak.upstream import Arrival
from soak.upstream import Run
from soak.upstream import Upstream

if TYPE_CHECKING:
    from plankspindle_core.http.headers import HeaderList
    from plankspindle_core.http.server_exchange import ServerExchange

HEARTBEAT_S = 1.5
LINGER_S = 2.0
"""Time for which an upstream that left still serves after the bound, in seconds."""
ID = b"x-plankspindle-request-id"
INSTANCE = b"x-plankspindle-instance-id"
SHORT_S = (0.002, 0.03)
LONG_S = (0.3, 0.9)
LONG_SHARE = 0.1
MEAN_WORK_S = LONG_SHARE * sum(LONG_S) / 2 + (1 - LONG_SHARE) * sum(SHORT_S) / 2
ABORTED_SHARE = 0.01
SERVER_TABLE = "servers"
OMITTED_LIMIT_SHARE = 0.05
"""Share of answers that omit the limit, as answers to failed requests may."""
CRASHING_PATH_PREFIX = "crashing-"
"""Prefix of the last path segment of requests under which upstreams crash."""
CRASH_AFTER_S = (0.02, 0.15)
DOWN_S = (1.0, 4.0)
"""Time after which a crashed upstream is back with another id, in seconds."""
MISSED_HEARTBEATS = 3
"""Missed heartbeats after which an entry is removed."""
LAPSE_POLL_S = 0.1
FAILED = 500


@define(kw_only=True)
class Upstreams:
    """All upstreams, the same number for each service in each zone.

    Parameters
    ----------
    layout : Layout
        Their addresses.
    store : SoakStore
        Store of their entries.
    random : Random
        Source of random choices.
    drain_s : float
        Time for which a leaving upstream must still serve, in seconds.
    per_service_and_zone : int
        Upstreams of each service in each zone.
    """

    layout: Layout
    store: SoakStore
    random: Random
    drain_s: float
    per_service_and_zone: int
    current: list[Upstream] = Factory(list)
    runs_by_id: dict[str, list[Run]] = Factory(dict)
    arrivals: list[Arrival] = Factory(list)
    crashed_at_by_path: dict[str, list[float]] = Factory(dict)
    crashed: list[Upstream] = Factory(list)
    restricted: list[Upstream] = Factory(list)
    _built: list[Upstream] = Factory(list)
    _servers: list[HttpServer] = Factory(list)
    _omission_random: Random = Factory(lambda: Random("limits left out"))
    _flaw_random: Random = Factory(lambda: Random("flaws of software"))

    async def start(self) -> None:
        """Start and list all upstreams."""
        locations = [(service, zone) for service in SERVICES for zone in ZONES]
        locations *= self.per_service_and_zone
        for number, (service, zone) in enumerate(locations):
            self.current.append(self._build(number, service, zone))
            self._servers.append(await self._listen(number))
            await self._write_entry(self.current[number])

    def _build(
        self,
        number: int,
        service: str,
        zone: str,
        *,
        incarnation: int = 0,
        software: SoftwareVersion = BASELINE,
        in_force_at: float = -inf,
    ) -> Upstream:
        upstream = Upstream(
            name=f"i-{number}-{incarnation}",
            service=service,
            zone=zone,
            endpoint=self.layout.upstream(number),
            software=software,
            in_force_at=in_force_at,
        )
        self._built.append(upstream)
        return upstream

    def of_software(self, service: str, name: str) -> list[int]:
        """Return the numbers of the upstreams of a service that run a version."""
        return [
            number
            for number, each in enumerate(self.current)
            if (each.service, each.software.name) == (service, name)
        ]

    async def add(self, service: str, zone: str, software: SoftwareVersion) -> None:
        """Start and list one more upstream, whose software is not yet in force."""
        number = len(self.current)
        upstream = self._build(
            number, service, zone, software=software, in_force_at=inf
        )
        self.current.append(upstream)
        self._servers.append(await self._listen(number))
        await self._write_entry(upstream)

    async def stop(self, number: int) -> None:
        """Stop an upstream at once, without draining, and remove its entry."""
        upstream = self.current[number]
        upstream.is_last = True
        await self._servers[number].close()
        upstream.is_listed = False
        gone_at = await self._write_entry(upstream)
        upstream.left_at = min(upstream.left_at, gone_at)

    async def leave_for_good(self, number: int) -> None:
        """Let an upstream leave, with nothing in its place."""
        self.current[number].is_last = True
        while self.current[number].is_lapsed:
            await sleep(LAPSE_POLL_S)
        await self.leave(number, is_announced=True)

    @property
    def gone(self) -> list[Upstream]:
        """All upstreams whose entries are removed for good."""
        return [each for each in self._built if not each.is_listed]

    async def _write_entry(self, upstream: Upstream) -> float:
        return await self.store.write(SERVER_TABLE, upstream.name, upstream.row)

    async def _listen(self, number: int) -> HttpServer:
        async def handle(exchange: ServerExchange) -> None:
            await self._handle(self.current[number], exchange)

        server = HttpServer(
            endpoint=self.layout.upstream(number),
            limits=HttpLimits(idle_timeout_s=60.0),
            handler=handle,
        )
        await server.start()
        return server

    async def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            await server.close()

    async def send_heartbeats(self) -> None:
        """Write the entries periodically."""
        while True:
            for number in range(len(self.current)):
                await sleep(HEARTBEAT_S / len(self.current))
                upstream = self.current[number]
                is_silent = upstream.is_lapsed or upstream.has_crashed
                if upstream.is_listed and not is_silent:
                    await self._write_entry(upstream)

    async def leave(self, number: int, *, is_announced: bool) -> None:
        """Let an upstream leave, and start its next incarnation at its address."""
        upstream = self.current[number]
        if not upstream.is_staying:
            return
        if is_announced:
            upstream.is_draining = True
            upstream.left_at = await self._write_entry(upstream)
            await sleep(self.drain_s + LINGER_S)
        upstream.is_listed = False
        gone_at = await self._write_entry(upstream)
        upstream.left_at = min(upstream.left_at, gone_at)
        await self.replace(number)

    async def leave_by_header(self, number: int) -> None:
        """Let an upstream announce only in its answers that it leaves, then leave."""
        upstream = self.current[number]
        if not upstream.is_staying or upstream.announces_leaving:
            return
        upstream.announces_leaving = True
        self.begin_withholding(upstream)
        await sleep(self.drain_s + LINGER_S)
        if self.current[number] is upstream and upstream.is_staying:
            await self.leave(number, is_announced=False)

    def begin_withholding(self, upstream: Upstream) -> Span:
        """Record that an upstream withholds requests by a statement from now on."""
        span = Span(begin=monotonic())
        upstream.withheld_spans.append(span)
        self.restricted.append(upstream)
        return span

    def remove_entry(self, number: int, *, is_gone: bool) -> None:
        """Remove an entry during an outage, of a running or a vanished upstream."""
        upstream = self.current[number]
        upstream.is_listed, upstream.is_lapsed = not is_gone, not is_gone
        if is_gone:
            upstream.left_at, upstream.has_vanished = monotonic(), True
        if (SERVER_TABLE, upstream.name) in self.store.rows_by_key:
            self.store.remove(SERVER_TABLE, upstream.name)

    async def relist(self, upstream: Upstream) -> None:
        """List an upstream again whose entry has lapsed, unless it has crashed."""
        upstream.is_lapsed = False
        if not upstream.has_crashed:
            await self._write_entry(upstream)

    async def replace(self, number: int) -> None:
        """Let a removed upstream serve for a while, then start its next incarnation."""
        await sleep(self.drain_s + LINGER_S)
        await self._servers[number].close(drain_s=1.0)
        await self._start_incarnation(number)

    async def _start_incarnation(self, number: int) -> None:
        """Start the next incarnation of an upstream at its address, if one follows."""
        upstream = self.current[number]
        if upstream.is_last:
            return
        incarnation = int(upstream.name.rpartition("-")[2]) + 1
        self.current[number] = self._build(
            number,
            upstream.service,
            upstream.zone,
            incarnation=incarnation,
            software=upstream.software,
            in_force_at=upstream.in_force_at,
        )
        self._servers[number] = await self._listen(number)
        if self.current[number].is_last:
            await self._servers[number].close()
            return
        await self._write_entry(self.current[number])

    async def _crash(self, upstream: Upstream, path: str) -> None:
        """Crash an upstream with all requests that run there."""
        number = next(
            (n for n, each in enumerate(self.current) if each is upstream), None
        )
        if number is None or upstream.has_crashed:
            return
        crashed_at = self.crashed_at_by_path.setdefault(path, [])
        crashed_at.append(monotonic())
        upstream.crashed_at = monotonic()
        self.crashed.append(upstream)
        await self._servers[number].close()
        await spawn(self._expire_entry, upstream, daemon=True)
        # Upstreams that leave or have vanished are replaced in any case.
        if upstream.is_listed and not upstream.is_draining:
            await sleep(self.random.uniform(*DOWN_S))
            await self._start_incarnation(number)

    async def _expire_entry(self, upstream: Upstream) -> None:
        """Remove the entry of a crashed upstream after some missed heartbeats."""
        await sleep(MISSED_HEARTBEATS * HEARTBEAT_S)
        if upstream.is_listed and not upstream.is_lapsed:
            upstream.is_listed = False
            await self._write_entry(upstream)

    async def _handle(self, upstream: Upstream, exchange: ServerExchange) -> None:
        arrived_at = monotonic()
        await exchange.read_body(max_bytes=100_000)
        request = find_header(exchange.headers, ID) or b""
        own_headers: HeaderList = [(ID, request), (INSTANCE, upstream.name.encode())]
        target = find_header(exchange.headers, DIALECT.target_upstream or b"")
        if target is not None and target.decode() != upstream.name:
            await exchange.answer(status=421, headers=own_headers)
            return
        if not request:
            await exchange.answer(
                status=200, headers=[*own_headers, *upstream.statements()]
            )
            return
        arrival = Arrival(
            at=upstream,
            request=request.decode(),
            arrived_at=arrived_at,
            names_limit=self._omission_random.random() >= OMITTED_LIMIT_SHARE,
        )
        self.arrivals.append(arrival)
        if upstream.retry_after_s is not None:
            await self._reject(upstream, arrival, exchange, own_headers)
            return
        departed = [
            each
            for each in self.current
            if each.left_at < arrived_at - self.drain_s
            and each.service == upstream.service
            and not each.is_last
        ]
        run = Run(
            at=upstream,
            arrived_at=arrived_at,
            others_left=len(departed),
            others_vanished=sum(each.has_vanished for each in departed),
            is_aborted=self.random.random() < ABORTED_SHARE,
            hides_key=_hides_key(exchange.headers),
        )
        self.runs_by_id.setdefault(request.decode(), []).append(run)
        upstream.in_flight += 1
        try:
            await self._run(upstream, run, arrival, exchange, own_headers)
        finally:
            upstream.in_flight -= 1
            run.ended_at = monotonic()

    async def _run(
        self,
        upstream: Upstream,
        run: Run,
        arrival: Arrival,
        exchange: ServerExchange,
        own_headers: HeaderList,
    ) -> None:
        """Run a request, and answer it."""
        if CRASHING_PATH_PREFIX in exchange.target:
            await sleep(self.random.uniform(*CRASH_AFTER_S))
            # In another task, as this one is cancelled with its upstream.
            await spawn(self._crash, upstream, exchange.target, daemon=True)
            await sleep(inf)
        is_long = self.random.random() < LONG_SHARE
        work_s = self.random.uniform(*(LONG_S if is_long else SHORT_S))
        software = upstream.software
        run.is_flawed = software.draw_flaw(
            self._flaw_random,
            path=exchange.target,
            in_flight=upstream.in_flight,
            now=run.arrived_at,
        )
        if run.is_flawed:
            work_s = software.slow_factor * max(work_s, MEAN_WORK_S)
        await sleep(work_s)
        if run.is_aborted:
            exchange.abort()
            return
        signature = (b"x-plankspindle-response-signature", upstream.name.encode())
        statement_headers = upstream.statements(names_limit=arrival.names_limit)
        arrival.record_answer(monotonic())
        arrival.retry_after_s = None
        headers = [*own_headers, signature, *statement_headers]
        status = FAILED if run.is_flawed and software.fails else 200
        await exchange.answer(status=status, headers=headers, body=b"done")

    async def _reject(
        self,
        upstream: Upstream,
        arrival: Arrival,
        exchange: ServerExchange,
        own_headers: HeaderList,
    ) -> None:
        """Answer 503 with retry-after, and that the request was not run."""
        statement_headers = upstream.statements(names_limit=arrival.names_limit)
        arrival.record_answer(monotonic())
        rejection_headers = [
            (DIALECT.not_run, b"1"),
            (RETRY_AFTER, str(upstream.retry_after_s).encode()),
        ]
        headers = [*own_headers, *rejection_headers, *statement_headers]
        await exchange.answer(status=503, headers=headers)


def _hides_key(headers: HeaderList) -> bool:
    workspaces = [value for name, value in headers if name == DIALECT.workspace]
    return workspaces == [WORKSPACE.encode()] and not find_header(
        headers, CREDENTIALS[0]
    )
