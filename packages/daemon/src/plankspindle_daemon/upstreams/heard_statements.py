"""What upstreams said of themselves to this VM, by their lives."""

from __future__ import annotations

from collections import OrderedDict
from math import inf

from attrs import Factory

from plankspindle_core.classes import define

MAX_LIVES = 4_096
"""Lives that are remembered; the one heard of first goes."""


@define(kw_only=True)
class HeardStatements:
    """Statements that hold on for a life of an upstream, whatever lists say of it.

    Notes
    -----
    An entry of the platform's list may lapse and come back, and a configuration may
    move an upstream to another service: its state is then made anew, but it is the same
    process that has said what it said.
    """

    _leaving: OrderedDict[str, None] = Factory(OrderedDict)
    _rests_until: OrderedDict[str, float] = Factory(OrderedDict)

    def note_leaving(self, life: str) -> None:
        """Record that an upstream says that it leaves."""
        self._leaving[life] = None
        if len(self._leaving) > MAX_LIVES:
            self._leaving.popitem(last=False)

    def is_leaving(self, life: str) -> bool:
        """Tell whether an upstream said that it leaves."""
        return life in self._leaving

    def note_rest(self, life: str, until: float) -> float:
        """Record that an upstream wants no request until a time, monotonic seconds.

        Returns
        -------
        float
            When all the rest ends that it asked for so far.
        """
        until = max(until, self.rests_until(life))
        self._rests_until[life] = until
        if len(self._rests_until) > MAX_LIVES:
            self._rests_until.popitem(last=False)
        return until

    def rests_until(self, life: str) -> float:
        """Give when the rest ends that an upstream asked for, monotonic seconds."""
        return self._rests_until.get(life, -inf)
