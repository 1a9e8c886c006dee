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
class PauseWatch:
    """Have the node distrust what was agreed before a pause.

    Parameters
    ----------
    node : Node
        The decisions.
    effects : EffectRunner
        What carries them out.
    lists : ListFollower
        What may have waited through the pause.
    pause_s : callable
        Gives the time without a look from which on the process stood still, in seconds.

    Notes
    -----
    Ticks look, and so does each request before anything is decided on it: a process
    that stands still in the middle of a tick ticks next only after others had their
    turn.
    """

    node: Node
    effects: EffectRunner
    lists: ListFollower
    pause_s: Callable[[], float]
    _looked_at: float = field(factory=monotonic)

    async def look(self) -> None:
        """Notice a pause since the last look."""
        now = monotonic()
        gap_s, self._looked_at = now - self._looked_at, now
        if gap_s <= self.pause_s():
            return
        log_event("paused", seconds=round(gap_s, 3))
        # Before any wait, during which another request would be decided on.
        effects = self.node.wake_from_pause(now=now, wall=time.time())
        await self.lists.read_anew()
        await self.effects.perform(effects)
