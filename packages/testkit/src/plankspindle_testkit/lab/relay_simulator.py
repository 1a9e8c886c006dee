"""Simulation of cuts between entry VMs and upstreams, and of relays."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define

from plankspindle_core.http.errors import ConnectFailed
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.dispatch.messages import DispatchEvent
from plankspindle_daemon.dispatch.messages import UpstreamsUnreachable
from plankspindle_daemon.exchange import relaying
from plankspindle_daemon.exchange.exchange import MAX_FREE_CONNECT_FAILURES
from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_daemon.reachability.relay_ticket import RelayTicket
from plankspindle_testkit.lab.completions import completion_of
from plankspindle_testkit.lab.cut_record import CutRecord
from plankspindle_testkit.lab.deployment import Deployment
from plankspindle_testkit.lab.lab_vm import LabVm
from plankspindle_testkit.lab.requests import NO_ATTEMPT
from plankspindle_testkit.lab.requests import ActiveRequest
from plankspindle_testkit.lab.simulated_clock import SimulatedClock
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from plankspindle_daemon.reachability.relay_selector import RelayTarget
    from plankspindle_daemon.reachability.upstream_reach import ProbeConnection

CONNECT_TIMEOUT_S = 0.4
REFUSED = ConnectFailed("refused", is_refused=True)
TIMED_OUT = ConnectFailed("timed out", is_timeout=True)
_TICKET = RelayTicket(
    sender="any",
    key_digest=None,
    attempts=2,
    is_idempotent=True,
    version=build_version(1),
)


@define(kw_only=True)
class RelaySimulator:
    """Cut entry VMs off from all upstreams, and carry out their relays.

    Parameters
    ----------
    clock : SimulatedClock
        Clock of the run.
    deployment : Deployment
        Entry VMs and upstreams.
    place : callable
        Places a request at the entry VM that it is at.
    refuse : callable
        Refuses a request, with a Retry-After delay in seconds.
    handle : callable
        Passes an event to the dispatcher of a service at a VM.
    by_attempt : dict of int to ActiveRequest
        Requests at upstreams, by the number of their attempt.
    cuts : CutRecord
        Record of first tries.
    """

    clock: SimulatedClock
    deployment: Deployment
    place: Callable[[ActiveRequest], None]
    refuse: Callable[[ActiveRequest, float], None]
    handle: Callable[[LabVm, str, DispatchEvent], None]
    by_attempt: dict[int, ActiveRequest]
    cuts: CutRecord = Factory(CutRecord)

    def begin_cut(self, vm: LabVm, *, hangs: bool) -> None:
        """Cut a VM off; its connections hang, or are refused and reset."""
        vm.cut_failure = TIMED_OUT if hangs else REFUSED
        self.cuts.cut_since_by_vm[vm.name] = self.clock.now

    def end_cut(self, vm: LabVm) -> None:
        """End the cut of a VM."""
        vm.cut_failure = None
        self.cuts.cut_since_by_vm.pop(vm.name, None)

    def tick(self, vm: LabVm) -> None:
        """Probe upstreams that are due, and act on a change of what a VM reaches."""
        for probe in vm.reach.tick(self.clock.now):
            self._probe(vm, probe)
        if vm.reach.is_cut_off is vm.was_cut_off:
            return
        vm.was_cut_off = vm.reach.is_cut_off
        self._announce(vm)
        if vm.was_cut_off:
            for service in vm.registry.dispatchers_by_service:
                self.handle(vm, service, UpstreamsUnreachable())

    def schedule_connect_failure(
        self, active: ActiveRequest, failure: ConnectFailed
    ) -> None:
        """Schedule that the connection of an attempt at a VM that is cut off fails."""
        fail = partial(self._fail_to_connect, active, active.attempt, failure)
        self.clock.schedule(_failure_delay_s(failure), fail)

    def _fail_to_connect(
        self, active: ActiveRequest, attempt: int, failure: ConnectFailed
    ) -> None:
        """Try elsewhere, which is free, as the request was not sent."""
        upstream, now = active.upstream, self.clock.now
        if active.is_completed or active.attempt != attempt or upstream is None:
            return
        active.vm.reach.record_connect_failed(upstream, failure, now)
        self.by_attempt.pop(attempt, None)
        unreachable = AttemptOutcome.UNREACHABLE
        completion = completion_of(active, upstream, unreachable, now)
        active.upstream, active.attempt = None, NO_ATTEMPT
        active.attempts -= 1
        excluded = active.ticket.excluded_upstreams | frozenset({upstream})
        active.ticket = active.ticket.excluding(excluded)
        self.handle(active.vm, active.service, completion)
        budget = active.vm.registry.budgets_by_service[active.service]
        if len(excluded) <= MAX_FREE_CONNECT_FAILURES or budget.acquire():
            self.place(active)
        else:
            self.refuse(active, 0.0)

    def _probe(self, vm: LabVm, probe: ProbeConnection) -> None:
        """Carry out a probe of a VM, and record its outcome when it is known."""
        failure = vm.cut_failure
        if failure is None:
            target = self.deployment.upstreams_by_name[probe.upstream]
            delay_s = 2 * self.deployment.one_way_s(vm.domain, target.domain)
        else:
            delay_s = _failure_delay_s(failure)
        outcome = partial(self._record_probe, vm, probe.upstream, failure)
        self.clock.schedule(delay_s, outcome)

    def _record_probe(
        self, vm: LabVm, upstream: str, failure: ConnectFailed | None
    ) -> None:
        if failure is None:
            vm.reach.record_connected(upstream, self.clock.now)
        else:
            vm.reach.record_connect_failed(upstream, failure, self.clock.now)

    def _announce(self, vm: LabVm) -> None:
        """Tell all other VMs whether a VM is cut off, as its heartbeats do."""
        is_cut_off = vm.reach.is_cut_off
        for other in self.deployment.vms_by_name.values():
            if other is not vm:
                delay_s = self.deployment.one_way_s(vm.domain, other.domain)
                tell = partial(other.record_cut_off, vm.name, is_cut_off)
                self.clock.schedule(delay_s, tell)

    def relay(self, active: ActiveRequest) -> bool:
        """Relay or refuse a request at a VM that is cut off; False if neither."""
        vm, now = active.vm, self.clock.now
        if not vm.reach.is_cut_off:
            return False
        target: RelayTarget | None = None
        is_permitted = active.relayed_from is None
        if is_permitted and len(active.asked_vms) < relaying.MAX_RELAYS_TRIED:
            target = vm.relays.choose(
                configuration=vm.configuration,
                allowed_regions=frozenset(),
                excluded=active.asked_vms,
                now=now,
            )
        if target is None:
            if is_permitted and vm.reach.allows_attempt(now):
                return False
            self.refuse(active, relaying.RETRY_AFTER_S)
            return True
        vm.relays.record_started(target.vm)
        server = self.deployment.vms_by_name[target.vm]
        delay_s = self.deployment.one_way_s(vm.domain, server.domain)
        self.clock.schedule(delay_s, partial(self._arrive, active, server))
        return True

    def _arrive(self, active: ActiveRequest, server: LabVm) -> None:
        sender = active.vm
        if active.is_completed:
            sender.relays.record_ended(server.name)
            return
        reason = server.relay_admission.admit(
            _TICKET,
            reach=server.reach,
            readiness=Readiness.READY if server.is_up else Readiness.LEAVING,
            version=_TICKET.version,
        )
        if reason is not None:
            delay_s = self.deployment.one_way_s(sender.domain, server.domain)
            self.clock.schedule(delay_s, partial(self._declined, active, server))
            return
        server.relay_admission.in_flight += 1
        active.relayed_from, active.vm = sender, server
        self.place(active)

    def _declined(self, active: ActiveRequest, server: LabVm) -> None:
        active.vm.relays.record_ended(server.name)
        active.vm.relays.record_declined(server.name, self.clock.now)
        active.asked_vms |= {server.name}
        if not active.is_completed:
            self.place(active)

    def end(self, active: ActiveRequest) -> None:
        """Record that a request completed, if it was relayed."""
        sender = active.relayed_from
        if sender is not None:
            sender.relays.record_ended(active.vm.name)
            active.vm.relay_admission.in_flight -= 1

    def delay_s(self, active: ActiveRequest) -> float:
        """Return the delay that a relay adds to an answer, in seconds."""
        sender = active.relayed_from
        if sender is None:
            return 0.0
        return self.deployment.one_way_s(sender.domain, active.vm.domain)


def _failure_delay_s(failure: ConnectFailed) -> float:
    """Return how long a connection takes to fail, in seconds."""
    return CONNECT_TIMEOUT_S if failure.is_timeout else 0.0
