"""Statements of upstreams to this VM, by incarnation."""

from __future__ import annotations

from collections import OrderedDict
from math import inf

from attrs import Factory

from plankspindle_core.classes import define

MAX_INCARNATIONS = 4_096
"""Maximum of incarnations that are stored; the oldest entry is evicted."""


@define(kw_only=True)
class StatementStore:
    """Statements that stay valid for an incarnation, whatever the upstream list says.

    Notes
    -----
    An entry of the platform's list may expire and return, and a configuration may move
    an upstream to another service. The state of the upstream is then created anew, but
    its process is the same, so that its statements still apply.
    """

    _leaving: OrderedDict[str, None] = Factory(OrderedDict)
    _retry_at: OrderedDict[str, float] = Factory(OrderedDict)
    _unlimited_sent_at: OrderedDict[str, float] = Factory(OrderedDict)

    def record_leaving(self, incarnation_id: str) -> None:
        """Record that an upstream has announced that it is leaving."""
        self._leaving[incarnation_id] = None
        if len(self._leaving) > MAX_INCARNATIONS:
            self._leaving.popitem(last=False)

    def is_leaving(self, incarnation_id: str) -> bool:
        """Return whether an upstream has announced that it is leaving."""
        return incarnation_id in self._leaving

    def record_retry_after(self, incarnation_id: str, until: float) -> float:
        """Record that an upstream accepts no request until a time, monotonic seconds.

        Returns
        -------
        float
            Latest end of all retry-after periods that it announced, monotonic seconds.
        """
        until = max(until, self.retry_at(incarnation_id))
        self._retry_at[incarnation_id] = until
        if len(self._retry_at) > MAX_INCARNATIONS:
            self._retry_at.popitem(last=False)
        return until

    def record_unlimited(self, incarnation_id: str, sent_at: float) -> None:
        """Record when a request was sent whose answer announced no limit."""
        self._unlimited_sent_at[incarnation_id] = sent_at
        if len(self._unlimited_sent_at) > MAX_INCARNATIONS:
            self._unlimited_sent_at.popitem(last=False)

    def unlimited_sent_at(self, incarnation_id: str) -> float | None:
        """Return when the last such request was sent, monotonic s; None if none was."""
        return self._unlimited_sent_at.get(incarnation_id)

    def retry_at(self, incarnation_id: str) -> float:
        """Return the end of an upstream's retry-after period, monotonic seconds."""
        return self._retry_at.get(incarnation_id, -inf)
