"""Polls the platform's list of VMs, or follows updates that other entry VMs send."""

from __future__ import annotations

import math
import time
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

from attrs import field
from curio import Event
from curio import TaskTimeout
from curio import sleep
from curio import spawn

from plankspindle_core.classes import define
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.time_limit import within
from plankspindle_daemon.membership.messages import LiveListRead
from plankspindle_daemon.node.effect_runner import EffectRunner
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.platform.listed_upstreams import REENTRY_GRACE_S
from plankspindle_daemon.platform.platform_client import PlatformClient
from plankspindle_daemon.platform.read_failure_log import RETRY_PAUSE_S
from plankspindle_daemon.platform.read_failure_log import ReadFailureLog
from plankspindle_daemon.sharing.shared_reads import MIN_CHECK_DELAY_S

if TYPE_CHECKING:
    from result import Result

    from plankspindle_daemon.peer_messages.list_news import ListNews
    from plankspindle_daemon.platform.errors import PlatformUnavailable
    from plankspindle_daemon.platform.live_list import ListedVm

LIST_ENTRIES_PER_S = 50.0
"""Entries of the list that one node reads per second, about 5.5 kB."""
MIN_PAUSE_FACTOR = 0.8
MAX_PAUSE_FACTOR = 1.2
"""Range of the random factor on a pause, so that VMs do not read in step."""


@define(kw_only=True)
class ListFollower:
    """Keep this VM's copy of the list up to date.

    Parameters
    ----------
    node : Node
        Decision logic of this VM.
    platform : PlatformClient
        Client of the platform, from which the list is read.
    effects : EffectRunner
        Carries out the effects of a changed list.
    period_s : float
        Pause between two reads of a short list, in seconds.
    """

    node: Node
    platform: PlatformClient
    effects: EffectRunner
    period_s: float
    _task: Any = None
    _change_missing: Any = field(factory=Event)
    _paused_s: float = 0.0
    _read_monitor: ReadFailureLog = field(
        factory=lambda: ReadFailureLog(subject="list")
    )

    async def run(self) -> None:
        """Keep the list up to date until cancelled."""
        while True:
            if not self.node.shared_reads.should_read_list(monotonic()):
                await self._wait_for_readers()
                await self._expire_retained()
                continue
            await self._read_and_apply()

    async def _wait_for_readers(self) -> None:
        """Wait while other entry VMs read for this one.

        Ends when their last update may be stale, when one shows that this VM lacks a
        change, or when the retention of missing entries ends.
        """
        now = monotonic()
        delay_s = min(
            self.node.shared_reads.list_check_delay_s(now), self._retention_left_s(now)
        )
        with suppress(TaskTimeout):
            await within(max(delay_s, MIN_CHECK_DELAY_S), self._change_missing.wait)
        self._change_missing.clear()

    async def _read_and_apply(self) -> None:
        started_at = monotonic()
        reads = self.node.shared_reads
        reads.is_reading = True
        try:
            read = await self._read()
            if read is not None and read.is_ok():
                self._read_monitor.record_success(monotonic())
                await self._apply_read(read.unwrap())
        finally:
            reads.is_reading = False
        if read is None:
            # The process was paused until now, so this counts as a failure now, no
            # matter when the platform was unavailable.
            self.node.services.listed.record_read_failure(unavailable_at=monotonic())
        elif read.is_err():
            self._record_failed_read(read.unwrap_err().detail, started_at)
            await self._pause(RETRY_PAUSE_S)
        else:
            await self._pause_after_read(monotonic())

    async def _read(self) -> Result[list[ListedVm], PlatformUnavailable] | None:
        """Read the list; None if the read was cancelled by :meth:`restart_read`."""
        wait_s = self._wait_s(monotonic())
        self._task = await spawn(self.platform.read_live_list, wait_s, daemon=True)
        await self._task.wait()
        if self._task.cancelled:
            return None
        read: Result[list[ListedVm], PlatformUnavailable] = self._task.result
        return read

    def _wait_s(self, now: float) -> float | None:
        """Return the longest wait for a change, in seconds.

        None if the platform does not support waiting for changes.

        Notes
        -----
        A connection may be lost without notice just after a read. The pause since then
        counts toward the time in which the loss must be noticed, so the wait is
        shortened by the part of a pause that exceeds the regular one. It also ends with
        the retention of missing entries, which must be read again then.
        """
        watch_s = self.platform.long_poll_s
        if watch_s is None:
            return None
        shared_s = self.node.shared_reads.list_wait_s(now)
        excess_s = max(0.0, self._paused_s - MAX_PAUSE_FACTOR * self.period_s)
        wait_s = watch_s - excess_s if shared_s is None else min(shared_s, watch_s)
        return max(0.0, min(wait_s, self._retention_left_s(now)))

    async def _pause_after_read(self, now: float) -> None:
        shared_s = self.node.shared_reads.list_pause_s(now)
        pause_s = self._scaled_period_s() if shared_s is None else shared_s
        max_pause_s = math.inf
        if self.platform.long_poll_s is not None:
            max_pause_s = MAX_PAUSE_FACTOR * self.period_s + self.platform.long_poll_s
        await self._pause(pause_s, min(max_pause_s, self._retention_left_s(now)))

    def _retention_left_s(self, now: float) -> float:
        """Return the time until retained missing entries expire, in seconds.

        Infinity if none are retained.
        """
        retained_until = self.node.services.listed.retained_until
        return math.inf if retained_until is None else max(0.0, retained_until - now)

    async def _expire_retained(self) -> None:
        """Remove missing entries whose retention is over, while other VMs read."""
        listed = self.node.services.listed
        if listed.retained_until is not None and not listed.is_in_grace_period(
            monotonic()
        ):
            read_at = listed.read_at
            await self._reapply()
            listed.set_read_at(read_at)

    async def _reapply(self) -> None:
        """Apply the list that this VM holds again, under the present conditions."""
        await self._apply(list(self.node.membership.listed_by_name.values()))

    async def _apply_read(self, vms: list[ListedVm]) -> None:
        listed = self.node.services.listed
        listed.set_unreadable(self.platform.unreadable_names)
        now, version = monotonic(), self.platform.list_version
        if version is not None:
            listed.record_era(version.era, now)
        await self._apply(vms)
        messages = self.node.shared_reads.record_list_read(
            vms,
            version=version,
            configuration_version=self.node.version,
            retained_until=listed.grace_until,
            now=now,
        )
        await self.effects.perform([*messages])

    async def _apply(self, vms: list[ListedVm]) -> None:
        event = LiveListRead(tuple(vms))
        await self.effects.perform(
            self.node.handle_membership(event, now=monotonic(), wall=time.time())
        )

    async def apply_update(self, update: ListNews) -> None:
        """Apply an update of the list that another entry VM has read."""
        if not self.node.shared_reads.is_in_group(update.sender):
            return
        now = monotonic()
        self.node.versions.head.record_report(update.configuration_age_ms, now)
        listed = self.node.services.listed
        change = self.node.shared_reads.apply_update(update, now)
        if change is not None:
            if update.after_gap:
                keep_s = update.keep_ms / 1000 or REENTRY_GRACE_S
                listed.set_grace_until(now + min(keep_s, REENTRY_GRACE_S))
            listed.record_era(change.version.era, now)
            vms = self.platform.apply_list_change(
                version=change.version, changed=change.changed, gone=change.gone
            )
            await self._apply(vms)
            listed.set_read_at(now - update.list_age_ms / 1000)
        elif self.node.shared_reads.confirms_list(update):
            if listed.needs_reapplying:
                await self._reapply()
            listed.confirm_current(now - update.list_age_ms / 1000)
        if self.node.shared_reads.lacks_change():
            await self._change_missing.set()
        await self.effects.perform(
            [
                *self.node.versions.receive_version(
                    update.sender, update.configuration_version, now
                )
            ]
        )

    async def restart_read(self) -> None:
        """Cancel a read that may have waited through a pause of the process."""
        if self._task is not None and not self._task.terminated:
            await self._task.cancel(blocking=False)

    def _record_failed_read(self, detail: str, started_at: float) -> None:
        listed = self.node.services.listed
        listed.record_read_failure(unavailable_at=self.platform.list_unavailable_at)
        self._read_monitor.record_failure(
            detail,
            started_at=started_at,
            now=monotonic(),
            upstreams=len(listed.by_name),
        )

    def _scaled_period_s(self) -> float:
        """Return the period, scaled with the length of the list, in seconds.

        This bounds the entries that each reader transfers and parses per second.
        """
        listed = len(self.node.membership.listed_by_name)
        return self.period_s * max(1.0, listed / LIST_ENTRIES_PER_S)

    async def _pause(self, seconds: float, max_pause_s: float = math.inf) -> None:
        varied_s = seconds * self.node.random.uniform(
            MIN_PAUSE_FACTOR, MAX_PAUSE_FACTOR
        )
        self._paused_s = min(varied_s, max_pause_s)
        await sleep(self._paused_s)
