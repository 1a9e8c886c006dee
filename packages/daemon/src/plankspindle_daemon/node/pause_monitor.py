"""Detects that the process was paused, or that its machine was suspended."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.node.effect_runner import EffectRunner
from plankspindle_daemon.node.list_follower import ListFollower
from plankspindle_daemon.node.node import Node


@define(kw_only=True)
class PauseMonitor:
    """Invalidate what was agreed with other VMs once a pause of the process is over.

    Parameters
    ----------
    node : Node
        Decision logic of this VM.
    effects : EffectRunner
        Carries out the effects.
    list_follower : ListFollower
        Its read of the list may have waited through the pause.
    min_pause_s : callable
        Returns the time between two checks beyond which the process counts as paused,
        in seconds.

    Notes
    -----
    Each tick checks, and so does each request before anything is decided on it: after
    a pause in the middle of a tick, other tasks run before the next tick.
    """

    node: Node
    effects: EffectRunner
    list_follower: ListFollower
    min_pause_s: Callable[[], float]
    _checked_at: float = field(factory=monotonic)

    async def check(self) -> None:
        """Detect a pause since the last check, and recover from it."""
        now = monotonic()
        gap_s, self._checked_at = now - self._checked_at, now
        if gap_s <= self.min_pause_s():
            return
        log_event("paused", seconds=round(gap_s, 3))
        # Before the first await, during which another request could be decided on.
        effects = self.node.recover_from_pause(now=now, wall=time.time())
        await self.list_follower.restart_read()
        await self.effects.perform(effects)
