"""Simulation of crashes of upstreams, and of the loss of their connections."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from attrs import define

from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_testkit.lab.crash_record import CrashRecord
from plankspindle_testkit.lab.deployment import Deployment
from plankspindle_testkit.lab.peer_network import PeerNetwork
from plankspindle_testkit.lab.requests import ActiveRequest
from plankspindle_testkit.lab.simulated_clock import SimulatedClock

if TYPE_CHECKING:
    from plankspindle_testkit.lab.modelled_upstream import ModelledUpstream
    from plankspindle_testkit.lab.modelled_upstream import Work
    from plankspindle_testkit.lab.requests import Crash


@define(kw_only=True)
class CrashSimulator:
    """Crash upstreams, under requests or by an event.

    Parameters
    ----------
    clock : SimulatedClock
        Clock of the run.
    deployment : Deployment
        Entry VMs and upstreams.
    network : PeerNetwork
        Messages between entry VMs.
    crashes : CrashRecord
        Record of crashes that requests cause.
    by_attempt : dict of int to ActiveRequest
        Requests at upstreams, by the number of their attempt.
    lose : callable
        Handles the loss of the connection of an attempt.
    """

    clock: SimulatedClock
    deployment: Deployment
    network: PeerNetwork
    crashes: CrashRecord
    by_attempt: dict[int, ActiveRequest]
    lose: Callable[[ActiveRequest, int, AttemptOutcome], None]

    def schedule(self, upstream: ModelledUpstream, work: Work, crash: Crash) -> None:
        """Schedule the crash of an upstream that starts a crashing request."""
        later = partial(self._crash_under, upstream, work, crash, upstream.incarnation)
        self.clock.schedule(crash.after_s, later)

    def _crash_under(
        self, upstream: ModelledUpstream, work: Work, crash: Crash, incarnation: int
    ) -> None:
        """Crash an upstream that runs a crashing request."""
        if upstream.incarnation != incarnation or not upstream.has_attempt(work.number):
            return
        crashing = self.by_attempt.get(work.number)
        if crashing is not None:
            self.crashes.record_crash(crashing.request.identity, self.clock.now)
        self.crash(upstream)
        self.clock.schedule(crash.down_s, lambda: upstream.restart(self.clock.now))

    def crash(self, upstream: ModelledUpstream) -> None:
        """Crash an upstream; the connections of all its requests are lost."""
        for number in upstream.crash():
            active = self.by_attempt.get(number)
            if active is not None:
                loss = partial(self.lose, active, number, AttemptOutcome.FAILED)
                delay_s = self.deployment.one_way_s(active.vm.domain, upstream.domain)
                self.clock.schedule(delay_s, loss)

    def report(self, active: ActiveRequest) -> None:
        """Report a crash to the quarantine, as the entry VM's upstream probe does."""
        updates = active.vm.quarantine.record_crash(
            active.request.identity,
            f"{active.upstream}#{active.incarnation}",
            at=self.clock.now,
            now=self.clock.now,
        )
        self.network.send(active.vm, updates)
