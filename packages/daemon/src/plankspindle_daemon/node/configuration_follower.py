"""Reads newer versions of the configuration and puts them in force."""

from __future__ import annotations

from time import monotonic

from attrs import define
from curio import sleep

from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_daemon.configuration.configuration_reader import ReaderPort
from plankspindle_daemon.node.effect_runner import EffectRunner
from plankspindle_daemon.node.node import Node

RETRY_S = 0.2
"""Pause after a read that failed; the circuit breaker bounds the calls themselves."""


@define(kw_only=True)
class ConfigurationFollower:
    """Follow the newest version.

    Parameters
    ----------
    node : Node
        The decisions.
    reader : ReaderPort
        Reader of accepted versions.
    effects : EffectRunner
        What puts a version in force.
    period_s : float
        Pause between two reads, in seconds.
    all_read : bool
        Whether every entry VM reads, not only a few.
    """

    node: Node
    reader: ReaderPort
    effects: EffectRunner
    period_s: float
    all_read: bool
    _unread: str | None = None

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            pause_s = self.period_s if self._unread is None else RETRY_S
            await sleep(pause_s * self.node.random.uniform(0.8, 1.2))
            if self.all_read or self.node.is_reader(monotonic()):
                await self._read()

    async def _read(self) -> None:
        read = await self.reader.read_newer(self.node.version)
        if read.is_err():
            self._note_unread(read.unwrap_err().detail)
            return
        self._unread = None
        self.node.head.note_read(monotonic())
        newer = read.unwrap()
        if newer is not None:
            await self.effects.adopt(newer)

    def _note_unread(self, detail: str) -> None:
        """Log what is in the way, once until a read succeeds."""
        if self._unread is None:
            log_event("configuration_unread", detail=detail, version=self.node.version)
        self._unread = detail
