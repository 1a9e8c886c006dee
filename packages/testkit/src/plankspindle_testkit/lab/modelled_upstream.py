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

SPREAD = 0.15
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
class Begun:
    """A request runs now.

    Parameters
    ----------
    work : Work
        The request.
    seconds : float
        How long it will run.
    """

    work: Work
    seconds: float


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
    slowness : float
        Factor on the time of work.
    shed_part : float
        Part of the requests that it sheds whatever room it has.
    is_dead : bool
        Whether it answers nothing, without a sign.
    refuses : bool
        Whether connections to it are refused, since its process has ended.
    cold_until : float
        End of its cold time, in seconds of the run.
    incarnation : int
        Number of its present life.
    limit_per_s : float or None
        Requests a second that it names as its limit in answers.
    is_leaving : bool
        Whether it says in answers that it leaves, and serves on.
    rest_s : float or None
        Rest that it asks for as it sheds each request, in seconds.
    silent_part : float
        Part of its answers that say nothing of it, whatever the others say.
    """

    name: str
    domain: str
    service_name: str
    service: ModelService
    operations_by_name: dict[str, ModelOperation]
    random: Random
    slowness: float = 1.0
    shed_part: float = 0.0
    is_dead: bool = False
    refuses: bool = False
    cold_until: float = 0.0
    incarnation: int = 1
    limit_per_s: float | None = None
    is_leaving: bool = False
    rest_s: float | None = None
    silent_part: float = 0.0
    _running: dict[int, Work] = Factory(dict)
    _waiting: deque[Work] = Factory(deque)
    _remembered: OrderedDict[tuple[str, str], None] = field(factory=OrderedDict)
    _said_by_number: dict[int, UpstreamStatement] = Factory(dict)

    @property
    def load(self) -> int:
        """Requests that run and wait."""
        return len(self._running) + len(self._waiting)

    @property
    def running(self) -> int:
        """Requests that run."""
        return len(self._running)

    def remembers(self, operation: str, key: str) -> bool:
        """Tell whether a key was seen recently."""
        return (operation, key) in self._remembered

    def expected_s(self, operation: str, key: str, now: float) -> float:
        """Give the mean time of work of a request that would start now."""
        kind = self.operations_by_name[operation]
        part = kind.hit_part if self.remembers(operation, key) else 1.0
        cold = self.service.cold_factor if now < self.cold_until else 1.0
        return kind.work_ms / 1000 * part * cold * self.slowness

    def sheds(self) -> bool:
        """Tell whether a request that comes now is refused without being run."""
        is_full = self.load >= self.service.slots + self.service.queue
        if self.rest_s is not None:
            return True
        return is_full or self.random.random() < self.shed_part

    def offer(self, work: Work, now: float) -> Begun | None:
        """Take a request; None if it waits."""
        if self.running >= self.service.slots:
            self._waiting.append(work)
            return None
        return self._begin(work, now)

    def end(self, number: int, now: float) -> Begun | None:
        """End a request, whether it runs or waits, and begin the next, if any."""
        if self._running.pop(number, None) is None:
            left = [each for each in self._waiting if each.number != number]
            self._waiting = deque(left)
        if not self._waiting or self.running >= self.service.slots:
            return None
        return self._begin(self._waiting.popleft(), now)

    def said_in(self, number: int) -> UpstreamStatement:
        """Give what the answer to a request that ends says of it.

        That is what held as it began: answers to requests under way say nothing new.
        """
        return self._said_by_number.pop(number, NO_STATEMENT)

    def statement(self) -> UpstreamStatement:
        """Give what it says of itself now."""
        if self.silent_part and self.random.random() < self.silent_part:
            return NO_STATEMENT
        return UpstreamStatement(
            limit_per_s=self.limit_per_s,
            is_leaving=self.is_leaving,
            retry_after_s=self.rest_s,
        )

    def has(self, number: int) -> bool:
        """Tell whether a request runs or waits here."""
        return number in self._running or any(
            each.number == number for each in self._waiting
        )

    def crash(self) -> list[int]:
        """End without a word; give the attempts that ran or waited here."""
        ended = [*self._running, *(each.number for each in self._waiting)]
        self._running.clear()
        self._waiting.clear()
        self.is_dead = self.refuses = True
        return ended

    def restart(self, now: float) -> None:
        """Start anew: nothing is remembered, and it is cold."""
        self._running.clear()
        self._waiting.clear()
        self._remembered.clear()
        self.is_dead = self.refuses = False
        self.limit_per_s = self.rest_s = None
        self.is_leaving = False
        self.cold_until = now + self.service.cold_s
        self.incarnation += 1

    def _begin(self, work: Work, now: float) -> Begun:
        mean_s = self.expected_s(work.operation, work.key, now)
        self._remember((work.operation, work.key))
        self._running[work.number] = work
        self._said_by_number[work.number] = self.statement()
        varied = max(0.2, self.random.gauss(1.0, SPREAD))
        return Begun(work=work, seconds=mean_s * varied)

    def _remember(self, place: tuple[str, str]) -> None:
        self._remembered[place] = None
        self._remembered.move_to_end(place)
        while len(self._remembered) > self.service.remembered_keys:
            self._remembered.popitem(last=False)
