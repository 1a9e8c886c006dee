"""One run of a pattern: callers, entry VMs and upstreams on a simulated clock."""

from __future__ import annotations

from functools import partial
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import evolve
from attrs import field

from plankspindle_daemon.dispatch.messages import TimePassed
from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_testkit.lab.crash_record import CrashRecord
from plankspindle_testkit.lab.crashing_requests import CrashingRequests
from plankspindle_testkit.lab.deployment import Deployment
from plankspindle_testkit.lab.event_scheduler import EventScheduler
from plankspindle_testkit.lab.oracle import Oracle
from plankspindle_testkit.lab.outcomes import Outcome
from plankspindle_testkit.lab.outcomes import Outcomes
from plankspindle_testkit.lab.outcomes import Sample
from plankspindle_testkit.lab.pattern import Pattern
from plankspindle_testkit.lab.peer_network import PeerNetwork
from plankspindle_testkit.lab.request_simulator import RequestSimulator
from plankspindle_testkit.lab.requests import Request
from plankspindle_testkit.lab.simulated_clock import SimulatedClock
from plankspindle_testkit.lab.statement_record import StatementRecord

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.quotas.quotas import QuotaMessage
    from plankspindle_testkit.lab.cut_record import CutRecord
    from plankspindle_testkit.lab.lab_vm import LabVm
    from plankspindle_testkit.lab.modelled_upstream import ModelledUpstream
    from plankspindle_testkit.lab.pattern import ModelOperation

TICK_PERIOD_S = 0.05
REFRESH_PERIOD_S = 0.25
"""Periods of an entry VM, in seconds.

Waiting requests are checked at each tick; a refresh updates the region's capacity.
"""
LIST_PERIOD_S = 0.5
"""Period of reading the list of upstreams, in seconds."""
SAMPLE_PERIOD_S = 0.25
"""Period of load samples, in seconds."""
SHARED_IDENTITY = 1
"""Identity that identical requests share."""
MAX_RETRIES = 1
"""Retries of a refused caller."""
MAX_WAIT_SHARE = 1 / 3
"""Longest wait for a Retry-After delay, as a share of the caller's remaining time."""


@define(kw_only=True)
class LabRun:
    """One simulation run of a pattern.

    Parameters
    ----------
    pattern : Pattern
        Deployment, load and events.
    seed : int
        Seed of all random choices.
    uses_oracle : bool
        Whether requests are placed with full knowledge of slots and keys instead of by
        the entry VMs.

    Attributes
    ----------
    outcomes : Outcomes
        Outcomes of the requests, except those that crash upstreams.
    crashes : CrashRecord
        Sends and crashes of those.
    statements : StatementRecord
        Statements of upstreams, and the requests that reached them.
    network : PeerNetwork
        Messages between entry VMs.
    """

    pattern: Pattern
    seed: int = 1
    uses_oracle: bool = False
    outcomes: Outcomes = Factory(Outcomes)
    crashes: CrashRecord = Factory(CrashRecord)
    statements: StatementRecord = Factory(StatementRecord)
    network: PeerNetwork = field(init=False)
    _clock: SimulatedClock = Factory(SimulatedClock)
    _random: Random = field(init=False)
    _deployment: Deployment = field(init=False)
    _simulator: RequestSimulator = field(init=False)
    _identities: count[int] = Factory(lambda: count(SHARED_IDENTITY + 1))
    _identity_random: Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)
        self._identity_random = Random(f"{self.seed} same requests")
        self._deployment = Deployment(pattern=self.pattern, random=self._random)
        self.network = PeerNetwork(
            clock=self._clock,
            deployment=self._deployment,
            random=Random(f"{self.seed} messages"),
            handle_quota_message=self._handle_quota_message,
        )
        oracle = Oracle(deployment=self._deployment)
        self._simulator = RequestSimulator(
            clock=self._clock,
            deployment=self._deployment,
            finish=self._finish,
            schedule_retry=self._schedule_retry,
            oracle=oracle if self.uses_oracle else None,
            crashes=self.crashes,
            statements=self.statements,
            network=self.network,
        )

    def run(self) -> Outcomes:
        """Run to the end and return the outcomes of all requests."""
        for name, operation in self.pattern.operations_by_name.items():
            self._schedule_arrival(name, operation)
        scheduler = EventScheduler(
            clock=self._clock,
            deployment=self._deployment,
            simulator=self._simulator,
            seed=self.seed,
        )
        scheduler.schedule_all()
        crashing = CrashingRequests(
            clock=self._clock,
            pattern=self.pattern,
            random=Random(f"{self.seed} crashing requests"),
            send=self._send,
        )
        crashing.schedule_all()
        for callback in (self._read_lists, self._tick, self._refresh, self._sample):
            self._clock.schedule(0.0, callback)
        operations = self.pattern.operations_by_name.values()
        longest_ms = max(each.timeout_ms for each in operations)
        self._clock.run_until(self.pattern.seconds + longest_ms / 1000)
        return self.outcomes

    def vms(self) -> list[LabVm]:
        """Return the entry VMs."""
        return list(self._deployment.vms_by_name.values())

    def upstreams(self) -> list[ModelledUpstream]:
        """Return the upstreams."""
        return list(self._deployment.upstreams_by_name.values())

    def cuts(self) -> CutRecord:
        """Return the record of first tries while entry VMs were cut off."""
        return self._simulator.relays.cuts

    def _schedule_arrival(self, name: str, operation: ModelOperation) -> None:
        now = self._clock.now
        rate = operation.per_s * self.pattern.load_factor(now)
        gap_s = self._random.expovariate(rate)
        if now + gap_s < self.pattern.seconds:
            self._clock.schedule(gap_s, partial(self._arrive, name, operation))

    def _arrive(self, name: str, operation: ModelOperation) -> None:
        self._schedule_arrival(name, operation)
        domain = self._domain_of_caller()
        region = self.pattern.region_by_domain[domain]
        request = Request(
            operation=name,
            key=f"{region}-{self._random.randrange(operation.keys_by_region)}",
            domain=domain,
            first_at=self._clock.now,
            deadline=self._clock.now + operation.timeout_ms / 1000,
            identity=self._identity_of(operation),
        )
        self._send(request)

    def _identity_of(self, operation: ModelOperation) -> int:
        is_same = self._identity_random.random() < operation.same_part
        return SHARED_IDENTITY if is_same else next(self._identities)

    def _domain_of_caller(self) -> str:
        weights = self.pattern.callers_by_domain
        if not weights:
            return self._random.choice(list(self.pattern.region_by_domain))
        return self._random.choices(list(weights), list(weights.values()))[0]

    def _send(self, request: Request) -> None:
        vm = self._deployment.choose_vm(request.domain)
        if vm is None:
            self._finish(request, Outcome.FAILED)
            return
        delay_s = self.pattern.to_callers_ms / 1000
        self._clock.schedule(delay_s, partial(self._simulator.accept, request, vm))

    def _schedule_retry(self, request: Request, retry_after_s: float) -> None:
        left_s = request.deadline - self._clock.now
        if request.retry_count >= MAX_RETRIES or left_s <= 0:
            self._finish(request, Outcome.REFUSED)
            return
        retry = evolve(request, retry_count=request.retry_count + 1)
        wait_s = min(retry_after_s, MAX_WAIT_SHARE * left_s)
        self._clock.schedule(wait_s, partial(self._send, retry))

    def _finish(self, request: Request, outcome: Outcome) -> None:
        if request.crash is not None:
            return
        operation = self.pattern.operations_by_name[request.operation]
        self.outcomes.record(operation, request.first_at, outcome)

    def _tick(self) -> None:
        self._clock.schedule(TICK_PERIOD_S, self._tick)
        for vm in self._deployment.running_vms():
            self._simulator.relays.tick(vm)
            for service in vm.registry.dispatchers_by_service:
                self._simulator.handle(vm, service, TimePassed())
            self.network.send(vm, vm.quarantine.tick(self._clock.now))
            effects = vm.limited.tick(
                readiness=Readiness.READY, has_list=True, now=self._clock.now
            )
            self._simulator.perform(vm, effects)

    def _handle_quota_message(
        self, vm: LabVm, message: QuotaMessage, reply_to: Endpoint
    ) -> None:
        effects = vm.limited.receive(message, reply_to, self._clock.now)
        self._simulator.perform(vm, effects)

    def _refresh(self) -> None:
        self._clock.schedule(REFRESH_PERIOD_S, self._refresh)
        now = self._clock.now
        for vm in self._deployment.running_vms():
            vm.registry.apply_drains(now=now, wall=now)
            vm.registry.update_region_capacity(now)

    def _read_lists(self) -> None:
        self._clock.schedule(LIST_PERIOD_S, self._read_lists)
        upstreams = self._deployment.upstreams_by_name.values()
        for vm in self._deployment.running_vms():
            vm.read_list(upstreams, self._clock.now, era=self._deployment.store_era)

    def _sample(self) -> None:
        self._clock.schedule(SAMPLE_PERIOD_S, self._sample)
        upstreams = self._deployment.upstreams_by_name.values()
        dispatchers = [
            dispatcher
            for vm in self._deployment.running_vms()
            for dispatcher in vm.registry.dispatchers_by_service.values()
        ]
        sample = Sample(
            at_s=self._clock.now,
            slots=sum(each.service.slots for each in upstreams),
            load=sum(each.load for each in upstreams),
            queued=sum(len(each.queue) for each in dispatchers),
        )
        self.outcomes.samples.append(sample)
