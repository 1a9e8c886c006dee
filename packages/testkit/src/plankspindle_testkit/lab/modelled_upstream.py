"""Upstreams of the lab: slots, a queue, remembered keys, and what goes wrong."""

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
"""Standard deviation of the time of work, as a part of it."""


@frozen(kw_only=True)
class Work:
    """A request at an upstream.

    Parameters
    ----------
    number : int
        Number of the attempt in this run.
    operation : str
        Its kind.
    key : str
        The thing that it concerns.
    crash : Crash, optional
        What it does to the upstream.
    """

    number: int
    operation: str
    key: str
    crash: Crash | None = None


@frozen(kw_only=True)
class StartedWork:
    """A request runs now.

    Parameters
    ----------
    work : MatrixOperation
        The request.
    duration_s : float
        How long it will run.
    """

    work: Work
    duration_s: float


@define(kw_only=True)
class ModelledUpstream:
    """One upstream.

    Parameters
    ----------
    name, domain : str
        Its name and where it stands.
    service_name : str
        What it serves.
    service : ModelService
        The figures of that.
    operations_by_name : dict of str to ModelOperation
        Kinds of requests.
    random : Random
        Source of times of work and of shedding.

    Attributes
    ----------
    duration_factor : float
        Factor on the time of work.
    shed_share : float
        Part of the requests that it sheds whatever room it has.
    is_dead : bool
        Whether it answers nothing, without a sign.
    refuses_connections : bool
        Whether connections to it are refused, since its process has ended.
    cold_until : float
        End of its cold time, in seconds of the run.
    incarnation : int
        Number of its present life.
    limit_per_s : float or None
        Requests a second that it names as its limit in answers.
    is_leaving : bool
        Whether it says in answers that it leaves, and serves on.
    retry_after_s : float or None
        Rest that it asks for as it sheds each request, in seconds.
    omitted_statement_share : float
        Part of its answers that say nothing of it, whatever the others say.
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
    omitted_statement_share: float = 0.0
    _running: dict[int, Work] = Factory(dict)
    _waiting: deque[Work] = Factory(deque)
    _cached_keys: OrderedDict[tuple[str, str], None] = field(factory=OrderedDict)
    _statement_by_number: dict[int, UpstreamStatement] = Factory(dict)

    @property
    def load(self) -> int:
        """Requests that run and wait."""
        return len(self._running) + len(self._waiting)

    @property
    def running(self) -> int:
        """Requests that run."""
        return len(self._running)

    def is_cached(self, operation: str, key: str) -> bool:
        """Tell whether a key was seen recently."""
        return (operation, key) in self._cached_keys

    def expected_duration_s(self, operation: str, key: str, now: float) -> float:
        """Give the mean time of work of a request that would start now."""
        kind = self.operations_by_name[operation]
        part = kind.hit_part if self.is_cached(operation, key) else 1.0
        cold = self.service.cold_factor if now < self.cold_until else 1.0
        return kind.work_ms / 1000 * part * cold * self.duration_factor

    def sheds(self) -> bool:
        """Tell whether a request that comes now is refused without being run."""
        is_full = self.load >= self.service.slots + self.service.queue
        if self.retry_after_s is not None:
            return True
        return is_full or self.random.random() < self.shed_share

    def offer(self, work: Work, now: float) -> StartedWork | None:
        """Take a request; None if it waits."""
        if self.running >= self.service.slots:
            self._waiting.append(work)
            return None
        return self._start(work, now)

    def complete(self, number: int, now: float) -> StartedWork | None:
        """End a request, whether it runs or waits, and begin the next, if any."""
        if self._running.pop(number, None) is None:
            left = [each for each in self._waiting if each.number != number]
            self._waiting = deque(left)
        if not self._waiting or self.running >= self.service.slots:
            return None
        return self._start(self._waiting.popleft(), now)

    def statement_in(self, number: int) -> UpstreamStatement:
        """Give what the answer to a request that ends says of it.

        That is what held as it began: answers to requests under way say nothing new.
        """
        return self._statement_by_number.pop(number, NO_STATEMENT)

    def statement(self) -> UpstreamStatement:
        """Give what it says of itself now."""
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
        """Tell whether a request runs or waits here."""
        return number in self._running or any(
            each.number == number for each in self._waiting
        )

    def crash(self) -> list[int]:
        """End without a word; give the attempts that ran or waited here."""
        ended = [*self._running, *(each.number for each in self._waiting)]
        self._running.clear()
        self._waiting.clear()
        self.is_dead = self.refuses_connections = True
        return ended

    def restart(self, now: float) -> None:
        """Start anew: nothing is remembered, and it is cold."""
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
        varied = max(0.2, self.random.gauss(1.0, DURATION_SPREAD_SHARE))
        return StartedWork(work=work, duration_s=mean_s * varied)

    def _cache(self, cache_key: tuple[str, str]) -> None:
        self._cached_keys[cache_key] = None
        self._cached_keys.move_to_end(cache_key)
        while len(self._cached_keys) > self.service.remembered_keys:
            self._cached_keys.popitem(last=False)
