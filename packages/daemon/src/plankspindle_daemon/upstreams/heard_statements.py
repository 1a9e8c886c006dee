"""What upstreams said of themselves to this VM, by their lives."""

from __future__ import annotations

from collections import OrderedDict

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

    def note_leaving(self, life: str) -> None:
        """Record that an upstream says that it leaves."""
        self._leaving[life] = None
        while len(self._leaving) > MAX_LIVES:
            self._leaving.popitem(last=False)

    def is_leaving(self, life: str) -> bool:
        """Tell whether an upstream said that it leaves."""
        return life in self._leaving
