"""Simulated upstreams with slots, a queue, cached keys and faults."""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from random import Random

from attrs import Factory
from attrs import define
from attrs import field
from attrs import frozen

from plankspindle_daemon.upstreams.upstream_statement import NO_STATEMENT
from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement
from plankspindle_testkit.lab.pattern import ModelOperation
from plankspindle_testkit.lab.pattern import ModelService
from plankspindle_testkit.lab.requests import Crash

DURATION_SPREAD_SHARE = 0.15
"""Standard deviation of the processing time, as a share of it."""


@frozen(kw_only=True)
class Work:
    """A request at an upstream.

    Parameters
    ----------
    number : int
        Number of the attempt in this run.
    operation : str
        Name of the operation.
    key : str
        Key of the resource that it concerns.
    crash : Crash, optional
        Crash that it causes.
    """

    number: int
    operation: str
    key: str
    crash: Crash | None = None


@frozen(kw_only=True)
class StartedWork:
    """A request that has started to run.

    Parameters
    ----------
    work : Work
        The request.
    duration_s : float
        Processing time in seconds.
    """

    work: Work
    duration_s: float


@define(kw_only=True)
class ModelledUpstream:
    """A simulated upstream.

    Parameters
    ----------
    name, domain : str
        Name and failure domain.
    service_name : str
        Name of its service.
    service : ModelService
        Model of the service.
    operations_by_name : dict of str to ModelOperation
        Models of the operations.
    random : Random
        Source of processing times and of shedding.

    Attributes
    ----------
    duration_factor : float
        Factor on the processing time.
    shed_share : float
        Share of the requests that it sheds regardless of its load, from 0 to 1.
    is_dead : bool
        Whether it is unresponsive.
    refuses_connections : bool
        Whether connections to it are refused, since its process has stopped.
    cold_until : float
        End of its cold phase, simulated time in seconds.
    incarnation : int
        Number of the current incarnation.
    limit_per_s : float or None
        Rate limit that its answers state, in requests a second.
    is_leaving : bool
        Whether its answers state that it is leaving; it continues to serve.
    retry_after_s : float or None
        Retry-After delay in seconds; if given, it sheds all requests with it.
    is_listed : bool
        Whether the platform's list has its entry.
    omitted_statement_share : float
        Share of its answers that omit the statement, from 0 to 1.
    """

    name: str
    domain: str
    service_name: str
    service: ModelService
    operations_by_name: dict[str, ModelOperation]
    random: Random
    duration_factor: float = 1.0
    shed_share: float = 0.0
    is_dead: bool = False
    refuses_connections: bool = False
    cold_until: float = 0.0
    incarnation: int = 1
    limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None
    is_listed: bool = True
    omitted_statement_share: float = 0.0
    _running: dict[int, Work] = Factory(dict)
    _waiting: deque[Work] = Factory(deque)
    _cached_keys: OrderedDict[tuple[str, str], None] = field(factory=OrderedDict)
    _statement_by_number: dict[int, UpstreamStatement] = Factory(dict)

    @property
    def load(self) -> int:
        """Number of requests that run and wait."""
        return len(self._running) + len(self._waiting)

    @property
    def running(self) -> int:
        """Number of requests that run."""
        return len(self._running)

    def is_cached(self, operation: str, key: str) -> bool:
        """Return whether a key is cached."""
        return (operation, key) in self._cached_keys

    def expected_duration_s(self, operation: str, key: str, now: float) -> float:
        """Return the mean processing time of a request started now, in seconds."""
        model = self.operations_by_name[operation]
        work_share = model.hit_part if self.is_cached(operation, key) else 1.0
        cold = self.service.cold_factor if now < self.cold_until else 1.0
        return model.work_ms / 1000 * work_share * cold * self.duration_factor

    def sheds(self) -> bool:
        """Return whether a request arriving now is refused without being run."""
        is_full = self.load >= self.service.slots + self.service.queue
        if self.retry_after_s is not None:
            return True
        return is_full or self.random.random() < self.shed_share

    def offer(self, work: Work, now: float) -> StartedWork | None:
        """Run or queue a request; return None if it is queued."""
        if self.running >= self.service.slots:
            self._waiting.append(work)
            return None
        return self._start(work, now)

    def complete(self, number: int, now: float) -> StartedWork | None:
        """Remove a running or waiting request, and start the next one if any."""
        if self._running.pop(number, None) is None:
            remaining = [each for each in self._waiting if each.number != number]
            self._waiting = deque(remaining)
        if not self._waiting or self.running >= self.service.slots:
            return None
        return self._start(self._waiting.popleft(), now)

    def statement_in(self, number: int) -> UpstreamStatement:
        """Return the statement in the answer to a request that completes.

        It is the one of the time when the request started: later changes do not show
        in answers to requests that already run.
        """
        return self._statement_by_number.pop(number, NO_STATEMENT)

    def statement(self) -> UpstreamStatement:
        """Return the current statement of the upstream."""
        if (
            self.omitted_statement_share
            and self.random.random() < self.omitted_statement_share
        ):
            return NO_STATEMENT
        return UpstreamStatement(
            limit_per_s=self.limit_per_s,
            is_leaving=self.is_leaving,
            retry_after_s=self.retry_after_s,
        )

    def has_attempt(self, number: int) -> bool:
        """Return whether an attempt runs or waits here."""
        return number in self._running or any(
            each.number == number for each in self._waiting
        )

    def crash(self) -> list[int]:
        """Crash, and return the attempts that ran or waited here."""
        aborted = [*self._running, *(each.number for each in self._waiting)]
        self._running.clear()
        self._waiting.clear()
        self.is_dead = self.refuses_connections = True
        return aborted

    def restart(self, now: float) -> None:
        """Restart with an empty cache, in the cold phase."""
        self._running.clear()
        self._waiting.clear()
        self._cached_keys.clear()
        self.is_dead = self.refuses_connections = False
        self.limit_per_s = self.retry_after_s = None
        self.is_leaving = False
        self.cold_until = now + self.service.cold_s
        self.incarnation += 1

    def _start(self, work: Work, now: float) -> StartedWork:
        mean_s = self.expected_duration_s(work.operation, work.key, now)
        self._cache((work.operation, work.key))
        self._running[work.number] = work
        self._statement_by_number[work.number] = self.statement()
        factor = max(0.2, self.random.gauss(1.0, DURATION_SPREAD_SHARE))
        return StartedWork(work=work, duration_s=mean_s * factor)

    def _cache(self, cache_key: tuple[str, str]) -> None:
        self._cached_keys[cache_key] = None
        self._cached_keys.move_to_end(cache_key)
        while len(self._cached_keys) > self.service.remembered_keys:
            self._cached_keys.popitem(last=False)
