"""What upstreams said of themselves to this VM, by their lives."""

from __future__ import annotations

from collections import OrderedDict
from math import inf

from attrs import Factory

from plankspindle_core.classes import define

MAX_INCARNATIONS = 4_096
"""Lives that are remembered; the one heard of first goes."""


@define(kw_only=True)
class StatementStore:
    """Statements that hold on for a life of an upstream, whatever lists say of it.

    Notes
    -----
    An entry of the platform's list may lapse and come back, and a configuration may
    move an upstream to another service: its state is then made anew, but it is the same
    process that has said what it said.
    """

    _leaving: OrderedDict[str, None] = Factory(OrderedDict)
    _retry_at: OrderedDict[str, float] = Factory(OrderedDict)

    def record_leaving(self, incarnation_id: str) -> None:
        """Record that an upstream says that it leaves."""
        self._leaving[incarnation_id] = None
        if len(self._leaving) > MAX_INCARNATIONS:
            self._leaving.popitem(last=False)

    def is_leaving(self, incarnation_id: str) -> bool:
        """Tell whether an upstream said that it leaves."""
        return incarnation_id in self._leaving

    def record_retry_after(self, incarnation_id: str, until: float) -> float:
        """Record that an upstream wants no request until a time, monotonic seconds.

        Returns
        -------
        float
            When all the rest ends that it asked for so far.
        """
        until = max(until, self.retry_at(incarnation_id))
        self._retry_at[incarnation_id] = until
        if len(self._retry_at) > MAX_INCARNATIONS:
            self._retry_at.popitem(last=False)
        return until

    def retry_at(self, incarnation_id: str) -> float:
        """Give when the rest ends that an upstream asked for, monotonic seconds."""
        return self._retry_at.get(incarnation_id, -inf)
