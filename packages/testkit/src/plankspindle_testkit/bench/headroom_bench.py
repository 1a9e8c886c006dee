"""Failure of a region at 70 percent load: grants against lagging load reports."""

from __future__ import annotations

import heapq
from collections import deque
from itertools import count
from random import Random

from attrs import define
from attrs import field

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.headroom.grant_table import GrantTable
from plankspindle_daemon.headroom.grant_table import HeldGrant
from plankspindle_daemon.headroom.headroom_ledger import HeadroomLedger
from plankspindle_daemon.peer_messages.headroom_messages import HeadroomGrant
from plankspindle_daemon.peer_messages.headroom_messages import HeadroomRequest
from plankspindle_testkit.bench.table import print_table

SLOTS = 72
SERVICE_S = 0.05
LOAD = 0.7
TIMEOUT_S = 1.0
FAILURE_AT_S = 10.0
SECONDS = 40.0
REPORT_LAG_S = 3.0
REQUEST_PERIOD_S = 0.25
GRANT_S = 2.0
REGION_DELAY_S = 0.035
SEEDS = range(5)
QUEUE_LIMIT = 256
NO_LIMIT = 10**9
FAILED_REGION = "a"
REMAINING_REGIONS = ("b", "c")


@define(kw_only=True)
class _Region:
    """Slots, queue and counters of one remaining region."""

    running: int = 0
    queue: deque[_Job] = field(factory=deque)
    ledger: HeadroomLedger = field(factory=HeadroomLedger)
    max_demand: int = 0
    reports: deque[tuple[float, int]] = field(factory=deque)

    def reported(self, now: float) -> int:
        """Return the load as of ``REPORT_LAG_S`` ago."""
        while len(self.reports) > 1 and self.reports[1][0] <= now - REPORT_LAG_S:
            self.reports.popleft()
        return self.reports[0][1] if self.reports else 0


@define(kw_only=True)
class _Job:
    home: str
    region: str
    arrived_at: float
    grant: HeldGrant | None = None


@define(kw_only=True)
class HeadroomModel:
    """Discrete-event model of three regions, of which one loses its upstreams.

    Parameters
    ----------
    seed : int
        Seed of arrivals and service times.
    uses_grants : bool
        Whether requests of the failed region are moved under grants; otherwise they are
        sent to the region with the lowest load in its lagging report.
    queue_limit : int
        Longest queue of a region; requests that find it full are rejected.
    """

    seed: int
    uses_grants: bool
    queue_limit: int
    in_time_by_home: dict[str, int] = field(factory=dict)
    sent_by_home: dict[str, int] = field(factory=dict)
    _regions: dict[str, _Region] = field(factory=dict)
    _grant_tables: dict[str, GrantTable] = field(factory=dict)
    _events: list[tuple[float, int, str, _Job | None]] = field(factory=list)
    _numbers: count[int] = field(factory=count)

    def run(self) -> None:
        """Run the model until no event is left."""
        random = Random(self.seed)
        self._regions = {name: _Region() for name in REMAINING_REGIONS}
        self._grant_tables = {
            name: GrantTable(incarnation=1) for name in REMAINING_REGIONS
        }
        self._schedule_arrivals(random)
        while self._events:
            now, _, kind, job = heapq.heappop(self._events)
            if kind == "tick":
                self._tick(now)
            elif kind == "arrive" and job is not None:
                self._arrive(job, now, random)
            elif kind == "end" and job is not None:
                self._complete(job, now, random)

    def _push(self, at: float, kind: str, job: _Job | None = None) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, job))

    def _schedule_arrivals(self, random: Random) -> None:
        rate = LOAD * SLOTS / SERVICE_S
        for home in (FAILED_REGION, *REMAINING_REGIONS):
            now = FAILURE_AT_S if home == FAILED_REGION else 0.0
            while (now := now + random.expovariate(rate)) < SECONDS:
                self._push(now, "arrive", _Job(home=home, region=home, arrived_at=now))
        for step in range(int(SECONDS / REQUEST_PERIOD_S)):
            self._push(step * REQUEST_PERIOD_S, "tick")

    def _tick(self, now: float) -> None:
        for name, region in self._regions.items():
            region.reports.append((now, region.running + len(region.queue)))
            if self.uses_grants and now >= FAILURE_AT_S:
                self._request_grant(name, region, now)

    def _request_grant(self, name: str, region: _Region, now: float) -> None:
        table = self._grant_tables[name]
        demand = table.take_demand(service="s", region=name, now=now)
        if demand == 0 or region.queue:
            return
        request = HeadroomRequest(
            sender=FAILED_REGION,
            request_id=next(self._numbers) + 1,
            service="s",
            count=min(demand, 64),
            duration_ms=int(GRANT_S * 1000),
            incarnation=1,
        )
        table.record_request(request, region=name, endpoint=Endpoint("::1", 1), now=now)
        granted = region.ledger.grant(
            request_id=request.request_id,
            requested=request.count,
            capacity=SLOTS,
            in_flight=region.running,
            now=now,
            valid_until=now + GRANT_S,
        )
        if granted:
            grant = HeadroomGrant(
                sender=name,
                request_id=request.request_id,
                service="s",
                count=granted,
                duration_ms=request.duration_ms,
                holder_incarnation=1,
            )
            table.accept_grant(grant, now + 2 * REGION_DELAY_S)

    def _arrive(self, job: _Job, now: float, random: Random) -> None:
        counted = now >= FAILURE_AT_S
        self.sent_by_home[job.home] = self.sent_by_home.get(job.home, 0) + counted
        if job.home == FAILED_REGION and not self._choose_target(job, now):
            return
        region = self._regions[job.region]
        if len(region.queue) >= self.queue_limit:
            return
        region.queue.append(job)
        demand = region.running + len(region.queue)
        region.max_demand = max(region.max_demand, demand)
        self._serve(region, now, random)

    def _choose_target(self, job: _Job, now: float) -> bool:
        if not self.uses_grants:
            loads = {
                name: self._regions[name].reported(now) for name in REMAINING_REGIONS
            }
            job.region = min(REMAINING_REGIONS, key=lambda name: loads[name])
            return True
        for name in REMAINING_REGIONS:
            grant = self._grant_tables[name].acquire(service="s", region=name, now=now)
            if grant is None:
                continue
            if not self._regions[name].ledger.begin(grant.request_id, now):
                self._grant_tables[name].release(grant)
                continue
            job.grant = grant
            job.region = name
            return True
        return False

    def _serve(self, region: _Region, now: float, random: Random) -> None:
        while region.queue and region.running < SLOTS:
            job = region.queue.popleft()
            region.running += 1
            delay = 2 * REGION_DELAY_S if job.home == FAILED_REGION else 0.0
            took = random.expovariate(1 / SERVICE_S)
            self._push(now + took + delay, "end", job)

    def _complete(self, job: _Job, now: float, random: Random) -> None:
        region = self._regions[job.region]
        region.running -= 1
        if job.grant is not None:
            region.ledger.end(job.grant.request_id)
            self._grant_tables[job.region].release(job.grant)
        if now - job.arrived_at <= TIMEOUT_S and job.arrived_at >= FAILURE_AT_S:
            self.in_time_by_home[job.home] = self.in_time_by_home.get(job.home, 0) + 1
        self._serve(region, now, random)

    @property
    def worst_load(self) -> float:
        """Largest demand (running and queued requests) of a region over its slots."""
        return max(each.max_demand for each in self._regions.values()) / SLOTS


def run_headroom_bench() -> None:
    """Print goodput and overload with grants and with lagging reports."""
    rows = []
    schemes = (
        ("grants", True, QUEUE_LIMIT),
        ("lagging reports, same queue", False, QUEUE_LIMIT),
        ("lagging reports, unbounded queue", False, NO_LIMIT),
    )
    for name, uses_grants, queue_limit in schemes:
        models = [
            HeadroomModel(seed=seed, uses_grants=uses_grants, queue_limit=queue_limit)
            for seed in SEEDS
        ]
        for model in models:
            model.run()
        own = sum(_share(model, home) for model in models for home in REMAINING_REGIONS)
        lost = sum(_share(model, FAILED_REGION) for model in models)
        rows.append(
            [
                name,
                f"{own / len(models) / len(REMAINING_REGIONS):.1f}",
                f"{lost / len(models):.1f}",
                f"{max(model.worst_load for model in models):.2f}",
            ]
        )
    print_table(
        "A region of three fails at 70 percent load everywhere; 72 slots per region,"
        f" 50 ms per request, reports lag {REPORT_LAG_S:g} s, 5 seeds",
        (
            "scheme",
            "callers of the other regions in time %",
            "callers of the failed region in time %",
            "largest demand over slots",
        ),
        rows,
    )


def _share(model: HeadroomModel, home: str) -> float:
    sent = model.sent_by_home.get(home, 0)
    return 100 * model.in_time_by_home.get(home, 0) / max(1, sent)
