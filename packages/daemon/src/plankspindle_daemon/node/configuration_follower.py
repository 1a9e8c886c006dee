"""Polls for newer versions of the configuration and puts them in force."""

from __future__ import annotations

from attrs import field
from curio import sleep

from plankspindle_core.classes import define
from plankspindle_core.steady_clock import monotonic
from plankspindle_daemon.configuration.configuration_reader import ReaderPort
from plankspindle_daemon.node.effect_runner import EffectRunner
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.platform.read_failure_log import RETRY_PAUSE_S
from plankspindle_daemon.platform.read_failure_log import ReadFailureLog

CHECK_PERIOD_S = 0.5
"""Longest time between checks whether this VM must read for itself, in seconds.

Applies while other entry VMs read the configuration on its behalf.
"""


@define(kw_only=True)
class ConfigurationFollower:
    """Keep this VM on the newest version of the configuration.

    Parameters
    ----------
    node : Node
        Decision logic of this VM.
    reader : ReaderPort
        Reader of accepted versions.
    effects : EffectRunner
        Puts a version in force and carries out what follows.
    period_s : float
        Pause between two reads, in seconds.
    all_read : bool
        Whether every entry VM reads the configuration, instead of a few of them.
    """

    node: Node
    reader: ReaderPort
    effects: EffectRunner
    period_s: float
    all_read: bool
    _read_monitor: ReadFailureLog = field(
        factory=lambda: ReadFailureLog(subject="configuration")
    )

    async def run(self) -> None:
        """Read newer versions until cancelled."""
        while True:
            await sleep(self._pause_s() * self.node.random.uniform(0.8, 1.2))
            if self._should_read(monotonic()):
                await self._read()

    def _pause_s(self) -> float:
        if self._read_monitor.is_failing:
            return RETRY_PAUSE_S
        now = monotonic()
        if not self.all_read or self._should_read(now):
            return self.period_s
        return min(
            CHECK_PERIOD_S,
            self.node.shared_reads.configuration_check_delay_s(self.node.version, now),
        )

    def _should_read(self, now: float) -> bool:
        if not self.all_read:
            return self.node.versions.is_reader(now)
        return self.node.shared_reads.should_read_configuration(self.node.version, now)

    def _wait_s(self, now: float) -> float | None:
        """Return the longest wait for a version in seconds; None for the default.

        The wait is zero after a failure: a wait that begins while the platform is
        unavailable is lost, and its recovery would be noticed only when the wait ends.
        """
        if self._read_monitor.is_failing:
            return 0.0
        return self.node.shared_reads.configuration_wait_s(now)

    async def _read(self) -> None:
        started_at = monotonic()
        wait_s = self._wait_s(started_at)
        read = await self.reader.read_newer(self.node.version, wait_s)
        if read.is_err():
            detail, version = read.unwrap_err().detail, self.node.version.number
            self._read_monitor.record_failure(
                detail, started_at=started_at, now=monotonic(), version=version
            )
            return
        self._read_monitor.record_success(monotonic())
        self.node.versions.head.record_read(monotonic())
        newer = read.unwrap()
        if newer is not None:
            await self.effects.adopt(newer)
        messages = self.node.shared_reads.record_configuration_read(
            self.node.version, monotonic()
        )
        await self.effects.perform([*messages])
