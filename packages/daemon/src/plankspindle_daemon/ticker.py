"""The periodic work of a daemon: due actions, status changes, detection of pauses."""

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
from plankspindle_daemon.rollouts.record_keeper import RecordKeeper
from plankspindle_daemon.status_changes.status_monitor import StatusMonitor

TICK_PERIOD_S = 0.05
"""Period of ticks while requests are queued, in seconds."""
IDLE_TICK_PERIOD_S = 0.125
"""Period of ticks while no request is queued, in seconds; a queued request ends it.

A tick wakes the process. The longer period saves twelve wake-ups a second.
"""
MIN_STATUS_CHECK_PERIOD_S = 0.25
"""Minimum period of status checks, in seconds; changes in between are not detected."""
STATUS_CHECKS_PER_S = 1_000
"""Upstreams and members checked a second; at 2 us each, 0.2 percent of a core.

With more than 250 of them, the period of the checks is longer.
"""


@define(kw_only=True)
class Ticker:
    """Call the node periodically, and log changes of the observed status.

    Parameters
    ----------
    node : Node
        Decision logic of this VM.
    effects, dispatch : EffectRunner, DispatchRunner
        Carry out the effects of its decisions.
    pauses : PauseMonitor
        Detects that the process was paused.
    quarantine : QuarantineStore
        Stores the quarantine at the platform.
    status_monitor : StatusMonitor
        Detects status changes.
    calls : BoundedCalls
        Calls to the platform.
    supervisor : Supervisor
        Reports tasks that failed.
    running : callable
        Returns the number of requests that run on this VM.
    records : RecordKeeper, optional
        Keeps the records of roll-outs; None if there are no roll-outs.
    log : KeyValueDestination, optional
        Destination of the log, flushed at every tick.
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
    records: RecordKeeper | None = None
    log: KeyValueDestination | None = None
    _next_status_check_at: float = 0.0

    async def run(self) -> None:
        """Tick until the planned stop is complete."""
        while True:
            await self._wait_for_tick()
            self.supervisor.raise_if_failed()
            await self.pauses.check()
            await self._measure_loop_lag()
            now = monotonic()
            await self.effects.perform(self.node.tick(now=now, wall=time.time()))
            await self.quarantine.wake_if_needed()
            if self.records is not None:
                await self.records.wake_if_needed()
            self._log_status_changes(now)
            state = self.node.leave.advance(running=self.running(), now=now)
            if isinstance(state, Left):
                log_event("left", cut_off=state.aborted_requests)
                await self.effects.send_final_heartbeats()
                return

    async def _measure_loop_lag(self) -> None:
        """Measure how long all tasks that are ready now take to have their turn."""
        began_at = monotonic()
        await sleep(0)
        self.node.relay_admission.record_loop_lag(monotonic() - began_at)

    async def _wait_for_tick(self) -> None:
        request_queued = self.dispatch.request_queued
        if not self.dispatch.has_waiting_requests and not self.node.leave.is_leaving:
            with suppress(TaskTimeout):
                await within(IDLE_TICK_PERIOD_S, request_queued.wait)
            if not request_queued.is_set():
                return
        request_queued.clear()
        await sleep(TICK_PERIOD_S)

    def _log_status_changes(self, now: float) -> None:
        """Log status changes when a check is due, and flush the log."""
        if now >= self._next_status_check_at:
            self._next_status_check_at = now + self._status_check_period_s()
            for change in self.status_monitor.observe(self.node, self.calls, now):
                log_event(change.event, **change.fields)
        if self.log is not None:
            self.log.flush(now)

    def _status_check_period_s(self) -> float:
        member_count = len(self.node.membership.members_by_name)
        observed_count = self.node.services.upstream_count() + member_count
        return max(MIN_STATUS_CHECK_PERIOD_S, observed_count / STATUS_CHECKS_PER_S)
