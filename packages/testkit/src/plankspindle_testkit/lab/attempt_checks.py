"""Checks whether requests abandon upstreams that do not answer."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from attrs import define

from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.exchange import attempt_timeout
from plankspindle_testkit.lab.requests import ActiveRequest
from plankspindle_testkit.lab.requests import may_abandon
from plankspindle_testkit.lab.simulated_clock import SimulatedClock


@define(kw_only=True)
class AttemptChecks:
    """Check attempts as the daemon's attempt timeout does.

    Parameters
    ----------
    clock : SimulatedClock
        Clock of the run.
    abandon : callable
        Ends an attempt with an outcome, and retries if the budget allows it.
    """

    clock: SimulatedClock
    abandon: Callable[[ActiveRequest, AttemptOutcome], None]

    def schedule(self, active: ActiveRequest, attempt: int) -> None:
        """Schedule the next check of an attempt."""
        dispatcher = active.vm.registry.dispatchers_by_service[active.service]
        expected_s = dispatcher.expected_duration_s(active.ticket)
        wait_s = max(
            attempt_timeout.MIN_ATTEMPT_TIMEOUT_S,
            attempt_timeout.ATTEMPT_TIMEOUT_FACTOR * expected_s,
        )
        self.clock.schedule(wait_s, partial(self._check, active, attempt))

    def _check(self, active: ActiveRequest, attempt: int) -> None:
        if active.is_completed or active.attempt != attempt:
            return
        if may_abandon(active, self.clock.now):
            self.abandon(active, AttemptOutcome.TIMED_OUT)
        else:
            self.schedule(active, attempt)
