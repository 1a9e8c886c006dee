"""A discrete-event model of one entry VM: arrivals, classes, upstreams, a policy."""

from __future__ import annotations

import heapq
import math
from collections import deque
from itertools import count
from random import Random
from typing import Protocol

from attrs import define
from attrs import field
from attrs import frozen

from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.dispatch import messages as d
from plankspindle_daemon.upstreams.load_report import LoadReport
from plankspindle_testkit.builders import build_dispatcher

TICK_S = 0.05


@frozen(kw_only=True)
class ModelUpstream:
    """A modelled upstream.

    Parameters
    ----------
    name : str
        Name of the upstream.
    slots : int
        Requests that it may run at once.
    slowness : float
        Factor of service times; 1 is average.
    """

    name: str
    slots: int
    slowness: float = 1.0


@frozen(kw_only=True)
class Load:
    """Arrivals of one run.

    Parameters
    ----------
    rate_per_s : float
        Requests per second of all classes.
    share_by_rank : tuple of float
        Share of each class.
    service_s : float
        Mean service time in seconds; lognormal with sigma 0.5.
    timeout_s : float
        Time from the arrival of a request to its deadline, in seconds.
    duration_s : float
        Length of the run.
    seed : int
        Seed of arrivals and service times.
    """

    rate_per_s: float
    share_by_rank: tuple[float, ...]
    service_s: float
    timeout_s: float
    duration_s: float
    seed: int = 1


@frozen(kw_only=True)
class RequestResult:
    """Result of one request.

    Parameters
    ----------
    rank : int
        Rank of its priority class, 0 first.
    latency_s : float, optional
        Time from arrival to answer, in seconds; None if it was rejected.
    in_time : bool
        Whether it was answered before the deadline.
    """

    rank: int
    latency_s: float | None
    in_time: bool


@frozen
class Start:
    """The policy starts a request at an upstream."""

    ticket: Ticket
    upstream: str


@frozen
class Reject:
    """The policy rejects a request."""

    ticket: Ticket


class Policy(Protocol):
    """Decides where and when requests run."""

    cancels_at_deadline: bool

    def arrive(self, ticket: Ticket, now: float) -> list[Start | Reject]:
        """Handle a new request."""

    def complete(
        self, ticket: Ticket, upstream: str, took_s: float, now: float
    ) -> list[Start | Reject]:
        """Handle the completion of a request."""

    def tick(self, now: float) -> list[Start | Reject]:
        """Advance the time."""


class DispatcherPolicy:
    """The daemon's dispatcher.

    Parameters
    ----------
    upstreams : list of ModelUpstream
        Upstreams to dispatch to.
    queue_limit : int
        Longest queue.
    """

    cancels_at_deadline = True

    def __init__(self, *, upstreams: list[ModelUpstream], queue_limit: int) -> None:
        self.dispatcher = build_dispatcher(
            slots_by_upstream={each.name: each.slots for each in upstreams},
            queue_limit=queue_limit,
        )

    def arrive(self, ticket: Ticket, now: float) -> list[Start | Reject]:
        """Handle a new request."""
        return self._handle(d.RequestArrived(ticket), now)

    def complete(
        self, ticket: Ticket, upstream: str, took_s: float, now: float
    ) -> list[Start | Reject]:
        """Handle the completion of a request."""
        in_time = now < ticket.deadline
        ended = d.AttemptCompleted(
            ticket=ticket,
            upstream=upstream,
            outcome=d.AttemptOutcome.ANSWERED
            if in_time
            else d.AttemptOutcome.TIMED_OUT,
            head_s=took_s if in_time else None,
            total_s=took_s if in_time else None,
        )
        return self._handle(ended, now)

    def tick(self, now: float) -> list[Start | Reject]:
        """Advance the time."""
        return self._handle(d.TimePassed(), now)

    def _handle(self, event: d.DispatchEvent, now: float) -> list[Start | Reject]:
        decisions: list[Start | Reject] = []
        for effect in self.dispatcher.handle(event, now):
            match effect:
                case d.Assign(ticket=ticket, upstream=upstream):
                    decisions.append(Start(ticket, upstream))
                case d.Reject(ticket=ticket):
                    decisions.append(Reject(ticket))
                case d.SendProbe(upstream=upstream):
                    report = LoadReport()
                    probed = d.ProbeCompleted(
                        upstream=upstream, report=report, wall=now
                    )
                    decisions += self._handle(probed, now)
                case _:
                    pass
        return decisions


class FifoPolicy:
    """Baseline: one FIFO queue, regardless of classes and deadlines.

    Parameters
    ----------
    upstreams : list of ModelUpstream
        Upstreams to dispatch to; that with the most free slots is chosen.
    queue_limit : int
        Longest queue; requests that find it full are rejected.
    """

    cancels_at_deadline = False

    def __init__(self, *, upstreams: list[ModelUpstream], queue_limit: int) -> None:
        self._free_by_upstream = {each.name: each.slots for each in upstreams}
        self._queue: deque[Ticket] = deque()
        self._queue_limit = queue_limit

    def arrive(self, ticket: Ticket, now: float) -> list[Start | Reject]:
        """Handle a new request."""
        if len(self._queue) >= self._queue_limit:
            return [Reject(ticket)]
        self._queue.append(ticket)
        return self._serve()

    def complete(
        self, ticket: Ticket, upstream: str, took_s: float, now: float
    ) -> list[Start | Reject]:
        """Handle the completion of a request."""
        self._free_by_upstream[upstream] += 1
        return self._serve()

    def tick(self, now: float) -> list[Start | Reject]:
        """Advance the time."""
        return []

    def _serve(self) -> list[Start | Reject]:
        started: list[Start | Reject] = []
        while self._queue:
            name, free = max(self._free_by_upstream.items(), key=lambda each: each[1])
            if free == 0:
                break
            self._free_by_upstream[name] -= 1
            started.append(Start(self._queue.popleft(), name))
        return started


class LoadObliviousPolicy:
    """Baseline: round robin or random choice, with a queue at each upstream.

    Parameters
    ----------
    upstreams : list of ModelUpstream
        Upstreams to dispatch to.
    random : Random, optional
        Source of random choices; round robin if not given.
    """

    cancels_at_deadline = False

    def __init__(
        self, *, upstreams: list[ModelUpstream], random: Random | None = None
    ) -> None:
        self._names = [each.name for each in upstreams]
        self._free_by_upstream = {each.name: each.slots for each in upstreams}
        self._queue_by_upstream: dict[str, deque[Ticket]] = {
            name: deque() for name in self._names
        }
        self._random = random
        self._turn = count()

    def arrive(self, ticket: Ticket, now: float) -> list[Start | Reject]:
        """Handle a new request."""
        if self._random is not None:
            name = self._random.choice(self._names)
        else:
            name = self._names[next(self._turn) % len(self._names)]
        self._queue_by_upstream[name].append(ticket)
        return self._serve(name)

    def complete(
        self, ticket: Ticket, upstream: str, took_s: float, now: float
    ) -> list[Start | Reject]:
        """Handle the completion of a request."""
        self._free_by_upstream[upstream] += 1
        return self._serve(upstream)

    def tick(self, now: float) -> list[Start | Reject]:
        """Advance the time."""
        return []

    def _serve(self, name: str) -> list[Start | Reject]:
        queue = self._queue_by_upstream[name]
        if not queue or self._free_by_upstream[name] == 0:
            return []
        self._free_by_upstream[name] -= 1
        return [Start(queue.popleft(), name)]


@define(kw_only=True)
class PolicyModel:
    """Simulation of a policy under a load.

    Parameters
    ----------
    upstreams : list of ModelUpstream
        The upstreams.
    policy : Policy
        Policy that dispatches the requests.
    load : Load
        Arrivals and service times.
    """

    upstreams: list[ModelUpstream]
    policy: Policy
    load: Load
    results: list[RequestResult] = field(factory=list)
    _events: list[tuple[float, int, Ticket | None, str]] = field(factory=list)
    _numbers: count[int] = field(factory=count)
    _arrived_at: dict[int, float] = field(factory=dict)
    _started_at: dict[int, float] = field(factory=dict)

    def run(self) -> list[RequestResult]:
        """Run until no event is left, and return the result of every request."""
        random = Random(self.load.seed)
        self._schedule_arrivals(random)
        slowness = {each.name: each.slowness for each in self.upstreams}
        while self._events:
            now, _, ticket, upstream = heapq.heappop(self._events)
            if ticket is None:
                decisions = self.policy.tick(now)
            elif upstream:
                decisions = self._complete(ticket, upstream, now)
            else:
                self._arrived_at[ticket.id] = now
                decisions = self.policy.arrive(ticket, now)
            for decision in decisions:
                self._apply_decisions(decision, now, random, slowness)
        return self.results

    def _push(self, at: float, ticket: Ticket | None, upstream: str) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), ticket, upstream))

    def _schedule_arrivals(self, random: Random) -> None:
        ranks = range(len(self.load.share_by_rank))
        now = 0.0
        for number in count():
            now += random.expovariate(self.load.rate_per_s)
            if now > self.load.duration_s:
                break
            rank = random.choices(ranks, self.load.share_by_rank)[0]
            ticket = Ticket(
                id=number,
                rank=rank,
                operation="GET /",
                deadline=now + self.load.timeout_s,
                expected_s=self.load.service_s,
            )
            self._push(now, ticket, "")
        for step in range(int(self.load.duration_s / TICK_S)):
            self._push(step * TICK_S, None, "")

    def _apply_decisions(
        self,
        decision: Start | Reject,
        now: float,
        random: Random,
        slowness: dict[str, float],
    ) -> None:
        match decision:
            case Start(ticket=ticket, upstream=upstream):
                sigma = 0.5
                mean = self.load.service_s * slowness[upstream]
                took = random.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
                self._started_at[ticket.id] = now
                ends_at = now + took
                if self.policy.cancels_at_deadline:
                    ends_at = min(ends_at, ticket.deadline)
                self._push(ends_at, ticket, upstream)
            case Reject(ticket=ticket):
                outcome = RequestResult(rank=ticket.rank, latency_s=None, in_time=False)
                self.results.append(outcome)

    def _complete(
        self, ticket: Ticket, upstream: str, now: float
    ) -> list[Start | Reject]:
        latency = now - self._arrived_at[ticket.id]
        outcome = RequestResult(
            rank=ticket.rank, latency_s=latency, in_time=now < ticket.deadline
        )
        self.results.append(outcome)
        took = now - self._started_at[ticket.id]
        return self.policy.complete(ticket, upstream, took, now)
