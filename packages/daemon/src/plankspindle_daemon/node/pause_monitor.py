"""Notices that the process stood still, or that its machine was suspended."""

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
    """Have the node distrust what was agreed before a pause.

    Parameters
    ----------
    node : Node
        The decisions.
    effects : EffectRunner
        What carries them out.
    list_follower : ListFollower
        What may have waited through the pause.
    min_pause_s : callable
        Gives the time without a look from which on the process stood still, in seconds.

    Notes
    -----
    Ticks look, and so does each request before anything is decided on it: a process
    that stands still in the middle of a tick ticks next only after others had their
    turn.
    """

    node: Node
    effects: EffectRunner
    list_follower: ListFollower
    min_pause_s: Callable[[], float]
    _checked_at: float = field(factory=monotonic)

    async def check(self) -> None:
        """Notice a pause since the last look."""
        now = monotonic()
        gap_s, self._checked_at = now - self._checked_at, now
        if gap_s <= self.min_pause_s():
            return
        log_event("paused", seconds=round(gap_s, 3))
        # Before any wait, during which another request would be decided on.
        effects = self.node.recover_from_pause(now=now, wall=time.time())
        await self.list_follower.restart_read()
        await self.effects.perform(effects)
