"""A randomised simulation of entry VMs, upstreams, platform and faults."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

from attrs import define
from attrs import field

from plankspindle_daemon.configuration.configuration_reader import ConfigurationReader
from plankspindle_daemon.control.intents import ApplyIntent
from plankspindle_daemon.dispatch import messages as dispatch
from plankspindle_daemon.exchange import messages as m
from plankspindle_daemon.leaving.leave import Left
from plankspindle_daemon.membership import messages as membership
from plankspindle_daemon.node.effects import BeginLeaving
from plankspindle_daemon.node.effects import NodeEffect
from plankspindle_daemon.node.effects import ServiceEffect
from plankspindle_daemon.peer_messages.content_messages import ContentChunk
from plankspindle_daemon.peer_messages.content_messages import ContentRequest
from plankspindle_daemon.peer_messages.heartbeat import Heartbeat
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.peer_messages.slot_messages import SlotGrant
from plankspindle_daemon.peer_messages.slot_messages import SlotRequest
from plankspindle_testkit.trial.fake_platform import run_to_completion
from plankspindle_testkit.trial.fake_upstream import UpstreamMode
from plankspindle_testkit.trial.fault_injector import FaultInjector
from plankspindle_testkit.trial.fault_schedule import ScheduledFault
from plankspindle_testkit.trial.ground_truth import GuaranteeViolatedError
from plankspindle_testkit.trial.trial_claims import TrialClaims
from plankspindle_testkit.trial.trial_hosts import TrialHosts
from plankspindle_testkit.trial.trial_operators import TrialOperators
from plankspindle_testkit.trial.trial_requests import TrialRequests
from plankspindle_testkit.trial.world import SERVICE
from plankspindle_testkit.trial.world import TrialOptions
from plankspindle_testkit.trial.world import World

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint
    from plankspindle_daemon.peer_messages.peer_message import PeerMessage
    from plankspindle_daemon.platform.platform_client import PlatformClient
    from plankspindle_testkit.trial.trial_vm import TrialVm

STEP_S = 0.05
LIST_PERIOD_S = 1.0
CONFIGURATION_PERIOD_S = 0.5
MAX_START_AFTER_LEAVING_S = 3.0


@define(kw_only=True)
class Trial:
    """One trial, which runs on a fake clock.

    Parameters
    ----------
    options : TrialOptions
        Options of the trial.
    schedule : tuple of ScheduledFault
        Faults of the trial, by time.
    """

    options: TrialOptions
    schedule: tuple[ScheduledFault, ...] = ()
    world: World = field(init=False)
    hosts: TrialHosts = field(init=False)
    operators: TrialOperators = field(init=False)
    claims: TrialClaims = field(init=False)
    requests: TrialRequests = field(init=False)
    faults: FaultInjector = field(init=False)
    request_rate: float = field(init=False)
    _injected: int = 0
    _started_at: float = 0.0
    _next_list: dict[str, float] = field(factory=dict)
    _next_read: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.request_rate = self.options.request_rate
        self.world = World(options=self.options)
        self._started_at = self.world.now
        self.hosts = TrialHosts(world=self.world)
        self.operators = TrialOperators(world=self.world)
        self.claims = TrialClaims(world=self.world)
        self.requests = TrialRequests(
            world=self.world, claims=self.claims, handle_dispatch=self._handle_dispatch
        )
        self.faults = FaultInjector(
            world=self.world, hosts=self.hosts, operators=self.operators
        )
        self.hosts.start_all()
        first = ApplyIntent(configuration=self.options.configuration)
        self.operators.put_in_force(first)

    def run(self, seconds: float) -> None:
        """Advance the trial by some simulated seconds.

        Raises
        ------
        GuaranteeViolatedError
            If a guarantee is violated; the trace ends with the events that led to it.
        """
        end = self.world.now + seconds
        while self.world.now < end:
            self.world.now += STEP_S
            self._step()

    def _step(self) -> None:
        self._inject_due_faults()
        self.world.platform.apply_delayed_write()
        self._deliver_packets()
        for vm in list(self.world.vms_by_name.values()):
            if vm.is_running(self.world.now):
                self._run_vm(vm)
        self.requests.finish_due_runs()
        if self.world.random.random() < self.request_rate * STEP_S:
            self.requests.submit()
        self.claims.close_one()
        self._check_guarantees()

    def _inject_due_faults(self) -> None:
        elapsed = self.world.now - self._started_at
        due = self.schedule[self._injected :]
        while due and due[0].at <= elapsed:
            self.faults.inject_scheduled(due[0])
            self._injected += 1
            due = due[1:]

    def all_vms_serve(self) -> bool:
        """Return whether every VM that is not leaving may use slots."""
        staying = [
            vm for vm in self.world.vms_by_name.values() if vm.node.leave.accepts
        ]
        return bool(staying) and all(
            vm.node.dispatchers_by_service[SERVICE].capacity(self.world.now) > 0
            for vm in staying
        )

    def _deliver_packets(self) -> None:
        vm_by_peer = {vm.place.peer: vm for vm in self.world.vms_by_name.values()}
        for packet in self.world.network.pop_due(self.world.now):
            vm = vm_by_peer.get(packet.to)
            if vm is not None and vm.is_running(self.world.now):
                self._receive(vm, packet.message, packet.sender)

    def _receive(self, vm: TrialVm, message: PeerMessage, sender: Endpoint) -> None:
        match message:
            case Heartbeat():
                event = membership.HeartbeatReceived(message)
                self._handle_membership(vm, event)
            case ContentRequest():
                self._perform(
                    vm, [*vm.node.versions.answer(message, sender, self.world.now)]
                )
            case ContentChunk():
                self._perform(
                    vm, vm.node.receive_content_chunk(message, self.world.now)
                )
            case SlotRequest():
                effects = vm.node.shared_slots.lend(message, sender, self.world.now)
                self._perform(vm, [*effects])
            case SlotGrant():
                self._handle_dispatch(vm, SERVICE, dispatch.SlotsGranted(message))

    def _handle_membership(
        self, vm: TrialVm, event: membership.MembershipEvent
    ) -> None:
        effects = vm.node.handle_membership(
            event, now=self.world.now, wall=self.world.wall()
        )
        self._perform(vm, effects)

    def _handle_dispatch(
        self, vm: TrialVm, service: str, event: dispatch.DispatchEvent
    ) -> None:
        self._perform(vm, vm.node.handle_dispatch(service, event, self.world.now))

    def _run_vm(self, vm: TrialVm) -> None:
        if vm.paused_until is not None:
            vm.paused_until = None
            self.world.add_trace_line(f"{vm.place.name} resumes")
            effects = vm.node.recover_from_pause(
                now=self.world.now, wall=self.world.wall()
            )
            self._perform(vm, effects)
        while vm.finished_while_paused:
            self.requests.finish_run(*vm.finished_while_paused.pop())
        self._read_platform(vm)
        self._perform(vm, vm.node.tick(now=self.world.now, wall=self.world.wall()))
        for request in list(vm.requests_by_number.values()):
            if self.world.now >= request.ticket.deadline:
                self.requests.handle(vm, request, m.DeadlineExceeded())
        self._advance_leave(vm)

    def _advance_leave(self, vm: TrialVm) -> None:
        running = len(vm.requests_by_number)
        state = vm.node.leave.advance(running=running, now=self.world.now)
        if not isinstance(state, Left):
            return
        if state.aborted_requests:
            raise GuaranteeViolatedError(
                f"{vm.place.name} left with {state.aborted_requests} aborted"
            )
        final_heartbeat = vm.node.heartbeat(now=self.world.now, left=True)
        for endpoint in vm.node.membership.peer_endpoints():
            self.world.send(vm, final_heartbeat, endpoint)
        self.world.add_trace_line(f"{vm.place.name} left")
        if len(self.world.vms_by_name) > 1:
            self.hosts.kill(vm.place.name, power_loss=False)
        else:
            self.hosts.list_and_start(vm.place)

    def _read_platform(self, vm: TrialVm) -> None:
        name = vm.place.name
        if (
            self.world.now >= self._next_list.get(name, 0.0)
            and not self.world.platform.down
        ):
            self._next_list[name] = self.world.now + LIST_PERIOD_S
            listed = (
                *self.world.listed_by_name.values(),
                *self.hosts.listed_upstreams(),
            )
            self._handle_membership(vm, membership.LiveListRead(listed))
        if self.world.now >= self._next_read.get(name, 0.0):
            self._next_read[name] = self.world.now + CONFIGURATION_PERIOD_S
            self._read_configuration(vm)
        self.hosts.update_list()

    def _read_configuration(self, vm: TrialVm) -> None:
        if not vm.node.versions.is_reader(self.world.now):
            return
        reader = ConfigurationReader(
            platform=cast("PlatformClient", self.world.platform)
        )
        answer = run_to_completion(reader.read_newer(vm.node.version))
        if answer.is_ok():
            vm.node.versions.head.record_read(self.world.now)
        read = answer.unwrap_or(None)
        if read is not None:
            effects = vm.node.adopt(
                read.configuration, version=read.version, now=self.world.now
            )
            self._perform(vm, effects)

    def _perform(self, vm: TrialVm, effects: list[NodeEffect]) -> None:
        for effect in effects:
            match effect:
                case membership.SendHeartbeat(to=to):
                    heartbeat = vm.node.heartbeat(now=self.world.now)
                    self.world.send(vm, heartbeat, to)
                case ServiceEffect(service=service, effect=inner):
                    self._perform_dispatch(vm, service, inner)
                case SendToPeer(message=message, to=to):
                    self.world.send(vm, message, to)
                case BeginLeaving(reason=reason):
                    self.world.add_trace_line(f"{vm.place.name} leaves: {reason}")
                    vm.node.leave.begin(self.world.now)

    def _perform_dispatch(
        self, vm: TrialVm, service: str, effect: dispatch.DispatchEffect
    ) -> None:
        match effect:
            case dispatch.Assign() | dispatch.Reject():
                self.requests.apply_decision(vm, effect)
            case dispatch.SendProbe(upstream=name):
                self._probe(vm, service, name)
            case dispatch.RequestSlots(request=request):
                peers = vm.node.membership.peer_endpoints()
                if peers:
                    self.world.send(vm, request, self.world.random.choice(peers))
            case dispatch.GrantSlots(grant=grant, to=to):
                self.world.send(vm, grant, to)

    def _probe(self, vm: TrialVm, service: str, name: str) -> None:
        upstream = self.world.upstreams_by_name[name]
        is_reachable = upstream.mode is not UpstreamMode.DOWN
        without_report = not is_reachable or upstream.reports_stopped
        report = None if without_report else upstream.report()
        probed = dispatch.ProbeCompleted(
            upstream=name, report=report, wall=self.world.wall(), reached=is_reachable
        )
        self._handle_dispatch(vm, service, probed)

    def _check_guarantees(self) -> None:
        groups = 1
        if self.options.partitions_within_domains:
            groups = len(self.options.places)
        for upstream in self.world.upstreams_by_name.values():
            if len(upstream.runs) > upstream.slots * groups:
                raise GuaranteeViolatedError(
                    f"{upstream.name} runs {len(upstream.runs)} of {upstream.slots}"
                )
            if upstream.started_after_leaving_s > MAX_START_AFTER_LEAVING_S:
                raise GuaranteeViolatedError(f"{upstream.name} got work while leaving")
        for vm in self.world.vms_by_name.values():
            self._check_requests(vm)

    def _check_requests(self, vm: TrialVm) -> None:
        if not vm.is_running(self.world.now):
            return
        for request in vm.requests_by_number.values():
            if self.world.now > request.ticket.deadline + 2 * STEP_S:
                raise GuaranteeViolatedError(f"request {request.number} has no answer")
