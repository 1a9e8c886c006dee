"""Reads the platform's list of VMs."""

from __future__ import annotations

import time
from time import monotonic
from typing import Any

from attrs import define
from curio import sleep
from curio import spawn

from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_daemon.membership.messages import LiveListRead
from plankspindle_daemon.node.effect_runner import EffectRunner
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.platform.platform_client import PlatformClient

RETRY_S = 1.0
LIST_VMS_PER_S = 50.0
"""Entries of the list that one node reads each second, about 5.5 kB."""


@define(kw_only=True)
class ListFollower:
    """Follow the list.

    Parameters
    ----------
    node : Node
        The decisions.
    platform : PlatformClient
        Keeper of the list.
    effects : EffectRunner
        What carries out what follows.
    period_s : float
        Pause between two reads of a short list, in seconds.
    """

    node: Node
    platform: PlatformClient
    effects: EffectRunner
    period_s: float
    _task: Any = None
    _is_unread: bool = False

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            self._task = await spawn(self.platform.read_live_list, daemon=True)
            await self._task.wait()
            if self._task.cancelled:
                self.node.services.listed.note_failed()
                continue
            read = self._task.result
            if read.is_err():
                self._note_unread(read.unwrap_err().detail)
                await self._pause(RETRY_S)
                continue
            self._is_unread = False
            event = LiveListRead(tuple(read.unwrap()))
            await self.effects.perform(
                self.node.take_membership(event, now=monotonic(), wall=time.time())
            )
            await self._pause(self._stretched_s())

    async def read_anew(self) -> None:
        """Give up a read that may have waited through a pause of the process."""
        if self._task is not None and not self._task.terminated:
            await self._task.cancel(blocking=False)

    def _note_unread(self, detail: str) -> None:
        self.node.services.listed.note_failed()
        if not self._is_unread:
            log_event(
                "list_unread",
                detail=detail,
                upstreams=len(self.node.services.listed.by_name),
            )
        self._is_unread = True

    def _stretched_s(self) -> float:
        """Stretch the period with the length of the list, which each reader pays."""
        listed = len(self.node.membership.listed_by_name)
        return self.period_s * max(1.0, listed / LIST_VMS_PER_S)

    async def _pause(self, seconds: float) -> None:
        await sleep(seconds * self.node.random.uniform(0.8, 1.2))
