"""Drains and roll-outs that stay in force while the store is restored."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import evolve

from plankspindle_core.classes import define
from plankspindle_core.configuration.drain import Drain
from plankspindle_core.configuration.rollout import Rollout
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_daemon.versions.store_era import RESTORE_S

if TYPE_CHECKING:
    from plankspindle_core.configuration.configuration import Configuration


@define(kw_only=True)
class RetainedDrains:
    """Keeps what a store that returned from a copy does not have yet in force.

    A drain without its row either was written after the copy and will be restored, or
    was ended meanwhile. Ending it late is harmless; ending it early sends requests to
    upstreams that must get none. An order to roll out is kept in the same way: taking
    it for withdrawn would roll a good version back.
    """

    _drains_by_id: dict[str, Drain] = Factory(dict)
    _rollouts_by_service: dict[str, Rollout] = Factory(dict)
    _until: float = -math.inf

    def ids(self) -> list[str]:
        """Return the ids of the drains that are retained, for the state dump."""
        return sorted(self._drains_by_id)

    def begin(self, in_force: Configuration | None, now: float) -> None:
        """Retain what is in force from now on, for ``RESTORE_S``."""
        if in_force is not None:
            self._drains_by_id = dict(in_force.drains_by_id)
            self._rollouts_by_service = dict(in_force.rollouts_by_service)
            self._until = now + RESTORE_S
        if self._drains_by_id:
            log_event("drains_retained", drains=",".join(self.ids()))
        if self._rollouts_by_service:
            services = ",".join(sorted(self._rollouts_by_service))
            log_event("rollouts_retained", services=services)

    def apply(self, configuration: Configuration, now: float) -> Configuration:
        """Return the configuration with what it lacks of the retained."""
        if now >= self._until or self._is_empty():
            return configuration
        rollouts = {**self._rollouts_by_service, **configuration.rollouts_by_service}
        return evolve(
            configuration,
            drains_by_id={**self._drains_by_id, **configuration.drains_by_id},
            rollouts_by_service=rollouts,
        )

    def end_if_due(self, now: float) -> bool:
        """Discard what is retained once; return whether that was due."""
        if now < self._until or self._is_empty():
            return False
        self._drains_by_id = {}
        self._rollouts_by_service = {}
        return True

    def _is_empty(self) -> bool:
        return not (self._drains_by_id or self._rollouts_by_service)
