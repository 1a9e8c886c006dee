"""The regular work of a daemon: what is due, what is believed, when it stood still."""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import suppress

from curio import TaskTimeout
from curio import sleep

from plankspindle_core.classes import define
from plankspindle_core.logs.key_value_destination import KeyValueDestination
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.steady_clock import monotonic
from plankspindle_core.supervisor import Supervisor
from plankspindle_core.time_limit import within
from plankspindle_daemon.leaving.leave import Left
from plankspindle_daemon.node.dispatch_runner import DispatchRunner
from plankspindle_daemon.node.effect_runner import EffectRunner
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.node.pause_monitor import PauseMonitor
from plankspindle_daemon.platform.bounded_calls import BoundedCalls
from plankspindle_daemon.quarantine.quarantine_store import QuarantineStore
from plankspindle_daemon.status_changes.status_monitor import StatusMonitor

TICK_PERIOD_S = 0.05
"""Period of looking at what waits, while requests wait, in seconds."""
IDLE_TICK_PERIOD_S = 0.125
"""The same while none waits; a request that begins to wait ends it.

Each look wakes the process: twelve wake-ups a second fewer.
"""
MIN_STATUS_CHECK_PERIOD_S = 0.25
"""Period of comparing beliefs with those before; changes between are not seen."""
STATUS_CHECKS_PER_S = 1_000
"""Upstreams and members that are compared a second, at 2 us each 0.2 percent of a core.

Beyond 250 of them the period is longer.
"""


@define(kw_only=True)
class Ticker:
    """Let time pass for the decisions, and log what they believe newly.

    Parameters
    ----------
    node : Node
        The decisions.
    effects, dispatch : EffectRunner, DispatchRunner
        What carries them out.
    pauses : PauseMonitor
        What notices that the process stood still.
    quarantine : QuarantineStore
        What keeps requests that are held back at the platform.
    status_monitor : StatusMonitor
        What was believed before.
    calls : BoundedCalls
        Calls to the platform.
    supervisor : Supervisor
        What knows of tasks that ended by an error.
    running : callable
        Gives the requests that run here.
    log : KeyValueDestination, optional
        Where events go, to be flushed now and then.
    """

    node: Node
    effects: EffectRunner
    dispatch: DispatchRunner
    pauses: PauseMonitor
    quarantine: QuarantineStore
    status_monitor: StatusMonitor
    calls: BoundedCalls
    supervisor: Supervisor
    running: Callable[[], int]
    log: KeyValueDestination | None = None
    _next_status_check_at: float = 0.0

    async def run(self) -> None:
        """Go on until the planned stop is complete."""
        while True:
            await self._wait_for_tick()
            self.supervisor.raise_if_failed()
            await self.pauses.check()
            now = monotonic()
            await self.effects.perform(self.node.tick(now=now, wall=time.time()))
            await self.quarantine.wake_if_needed()
            self._log_status_changes(now)
            state = self.node.leave.advance(running=self.running(), now=now)
            if isinstance(state, Left):
                log_event("left", cut_off=state.aborted_requests)
                await self.effects.send_final_heartbeats()
                return

    async def _wait_for_tick(self) -> None:
        begins_to_wait = self.dispatch.request_queued
        if not self.dispatch.has_waiting_requests and not self.node.leave.is_leaving:
            with suppress(TaskTimeout):
                await within(IDLE_TICK_PERIOD_S, begins_to_wait.wait)
            if not begins_to_wait.is_set():
                return
        begins_to_wait.clear()
        await sleep(TICK_PERIOD_S)

    def _log_status_changes(self, now: float) -> None:
        """Log what is believed newly, and hand on the log."""
        if now >= self._next_status_check_at:
            self._next_status_check_at = now + self._status_check_period_s()
            for belief in self.status_monitor.observe(self.node, self.calls, now):
                log_event(belief.event, **belief.fields)
        if self.log is not None:
            self.log.flush(now)

    def _status_check_period_s(self) -> float:
        members = len(self.node.membership.members_by_name)
        watched = self.node.services.upstream_count() + members
        return max(MIN_STATUS_CHECK_PERIOD_S, watched / STATUS_CHECKS_PER_S)
