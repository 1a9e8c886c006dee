"""Counts the upstreams that ended under each request."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define

if TYPE_CHECKING:
    from collections.abc import Iterable

CRASHES = 3
"""Upstreams that end under a request before it is put in quarantine."""
WATCHED_FROM = 2
"""Upstreams that end under a request before all entry VMs look for an answer to it."""
APART_S = 0.15
"""Least time between the first and the last end that make one suspected, in seconds.

Upstreams that end at one moment have a cause in common, which need not be the request.
"""
CONTEST_S = 0.7
"""Time in which an answer clears a watched request, in seconds.

One that many callers send is in flight at several upstreams that end at once of
something else. It is answered elsewhere meanwhile.
"""
EVIDENCE_S = 600.0
"""Time for which an end counts, in seconds."""
MAX_CASES = 4_096
MAX_LIVES = 8
"""Ends that are kept of one request."""
MAX_EXPLAINED = 1_024


@define(kw_only=True)
class CrashCase:
    """Upstreams that ended under one request.

    Parameters
    ----------
    identity : int
        The request.
    ended_at_by_life : dict of str to float
        When lives of upstreams ended, monotonic seconds.
    watched_at : float, optional
        Since when all entry VMs look for an answer, monotonic seconds.
    is_suspected : bool
        Whether a try of it is sent to one upstream only.
    """

    identity: int
    ended_at_by_life: dict[str, float] = Factory(dict)
    watched_at: float | None = None
    is_suspected: bool = False

    def take_stock(self, now: float) -> bool:
        """Watch and suspect the request if its ends say so; tell if that is new."""
        before = (self.watched_at, self.is_suspected)
        ends = self.ended_at_by_life.values()
        if len(ends) >= WATCHED_FROM:
            self.watched_at = now if self.watched_at is None else self.watched_at
            self.is_suspected |= max(ends) - min(ends) >= APART_S
        return before != (self.watched_at, self.is_suspected)

    def forget_old(self, now: float) -> None:
        """Forget ends that do not count any more."""
        kept = self.ended_at_by_life.items()
        self.ended_at_by_life = {
            life: at for life, at in kept if now - at <= EVIDENCE_S
        }
        if len(self.ended_at_by_life) < WATCHED_FROM:
            self.watched_at, self.is_suspected = None, False

    def is_due(self, now: float) -> bool:
        """Tell whether the request is to be put in quarantine."""
        return (
            self.watched_at is not None
            and len(self.ended_at_by_life) >= CRASHES
            and now >= self.watched_at + CONTEST_S
        )


@define(kw_only=True)
class CrashCases:
    """Requests that were in flight at upstreams that ended.

    Notes
    -----
    All that was in flight at an upstream ends with it, and nothing tells which request
    it was. Only the one that crashes it is in flight at the next one, too. An end that
    a quarantined request explains counts for no other: the callers of those that
    crashed with it try again, and would meet it at a second and third upstream.
    """

    cases_by_identity: OrderedDict[int, CrashCase] = Factory(OrderedDict)
    _explained: OrderedDict[str, None] = Factory(OrderedDict)

    def note(self, identity: int, life: str, *, at: float, now: float) -> bool:
        """Count the end of an upstream.

        Parameters
        ----------
        identity : int
            A request that was in flight there.
        life : str
            Which life of which upstream ended.
        at, now : float
            When it ended, and the time now, monotonic seconds.

        Returns
        -------
        bool
            Whether all entry VMs are to be told: they are to watch the request from now
            on, or it is suspected now.
        """
        if life in self._explained:
            return False
        case = self.cases_by_identity.get(identity)
        if case is None:
            case = self.cases_by_identity[identity] = CrashCase(identity=identity)
            while len(self.cases_by_identity) > MAX_CASES:
                self.cases_by_identity.popitem(last=False)
        self.cases_by_identity.move_to_end(identity)
        case.forget_old(now)
        if len(case.ended_at_by_life) < MAX_LIVES:
            case.ended_at_by_life.setdefault(life, at)
        return case.take_stock(now)

    def clear(self, identity: int) -> None:
        """Forget a request that was answered."""
        self.cases_by_identity.pop(identity, None)

    def explain(self, lives: Iterable[str]) -> None:
        """Take ends that a quarantined request has brought about off the others."""
        for life in lives:
            self._explained[life] = None
            for identity, case in list(self.cases_by_identity.items()):
                if case.ended_at_by_life.pop(life, None) is None:
                    continue
                if not case.ended_at_by_life:
                    del self.cases_by_identity[identity]
        while len(self._explained) > MAX_EXPLAINED:
            self._explained.popitem(last=False)

    def expire(self, now: float) -> None:
        """Forget requests of which no end counts any more; each tick looks at all."""
        for identity, case in list(self.cases_by_identity.items()):
            case.forget_old(now)
            if not case.ended_at_by_life:
                del self.cases_by_identity[identity]

    def take_due(self, now: float) -> list[CrashCase]:
        """Take out the requests that are to be put in quarantine."""
        due = [each for each in self.cases_by_identity.values() if each.is_due(now)]
        for case in due:
            del self.cases_by_identity[case.identity]
        return due
