"""Drains that stay in force while the operator's writes are restored to the store."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import evolve

from plankspindle_core.classes import define
from plankspindle_core.configuration.drain import Drain
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_daemon.versions.store_era import RESTORE_S

if TYPE_CHECKING:
    from plankspindle_core.configuration.configuration import Configuration


@define(kw_only=True)
class RetainedDrains:
    """Keeps drains in force that a store which returned from a copy does not have yet.

    A drain without its row either was written after the copy and will be restored, or
    was ended meanwhile. Ending it late is harmless; ending it early sends requests to
    upstreams that must get none.
    """

    _drains_by_id: dict[str, Drain] = Factory(dict)
    _until: float = -math.inf

    def ids(self) -> list[str]:
        """Return the ids of the drains that are retained, for the state dump."""
        return sorted(self._drains_by_id)

    def begin(self, in_force: Configuration | None, now: float) -> None:
        """Retain the drains in force from now on, for ``RESTORE_S``."""
        if in_force is not None:
            self._drains_by_id = dict(in_force.drains_by_id)
            self._until = now + RESTORE_S
        if self._drains_by_id:
            log_event("drains_retained", drains=",".join(self.ids()))

    def apply(self, configuration: Configuration, now: float) -> Configuration:
        """Return the configuration with the retained drains that it lacks."""
        if now >= self._until or not self._drains_by_id:
            return configuration
        merged = {**self._drains_by_id, **configuration.drains_by_id}
        return evolve(configuration, drains_by_id=merged)

    def end_if_due(self, now: float) -> bool:
        """Discard the retained drains once; return whether that was due."""
        if now < self._until or not self._drains_by_id:
            return False
        self._drains_by_id = {}
        return True
