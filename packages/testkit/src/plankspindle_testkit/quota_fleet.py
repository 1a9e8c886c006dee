"""Simulated quotas of many entry VMs, with one clock and message loss."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random
from typing import TYPE_CHECKING
from typing import cast

from attrs import Factory
from attrs import define
from attrs import field

from plankspindle_core.configuration.configuration import FailureDomain
from plankspindle_core.configuration.workspace import Workspace
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.stable_hash import stable_hash
from plankspindle_daemon.membership.member import Member
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.quotas.messages import TokenRefused
from plankspindle_daemon.quotas.messages import TokenTaken
from plankspindle_daemon.quotas.quota_options import QuotaOptions
from plankspindle_daemon.quotas.quotas import QuotaMessage
from plankspindle_daemon.quotas.quotas import Quotas
from plankspindle_daemon.quotas.upstream_limits import FleetLimiterChanged
from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement
from plankspindle_testkit.builders import build_configuration

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_core.configuration.configuration import Configuration
    from plankspindle_daemon.membership.membership import Membership
    from plankspindle_daemon.quotas.quotas import QuotaEffect

TICK_S = 0.1
LOCAL_DELAY_S = 0.0005
REMOTE_DELAY_S = 0.035
"""One-way delays within a region and between regions, in seconds."""
FALSE_SUSPICION_S = 0.7
"""Duration of a false suspicion, in seconds."""
UPSTREAM_ANSWER_S = 0.001
"""Time from a request to an upstream to its answer, in seconds."""
DETECTION_S = 1.0
"""Time after which an unreachable VM counts as silent, in seconds."""
REGIONS = ("bratislava", "zilina", "kosice")
_PORT = 7000


@define(kw_only=True)
class FakeMembership:
    """View of one VM: the members, and those of them that are silent."""

    fleet: QuotaFleet
    vm: str
    change_count: int = 0
    members_by_name: dict[str, Member] = Factory(dict)
    listed_by_name: dict[str, ListedVm] = Factory(dict)

    def is_silent(self, member: Member, now: float) -> bool:
        """Return whether a member counts as silent."""
        return self.fleet.is_silent(self.vm, member.name, now)


@define(kw_only=True)
class QuotaFleetVm:
    """One entry VM of the simulation."""

    name: str
    region: str
    quotas: Quotas
    membership: FakeMembership
    is_running: bool = True
    next_tick: float = 0.0
    unlimited_sent_at_by_incarnation: dict[str, float] = Factory(dict)


@define(kw_only=True)
class QuotaFleet:
    """Entry VMs that enforce quotas together.

    Parameters
    ----------
    random : Random
        Source of all random choices.
    workspaces_by_name : dict of str to Workspace
        Workspaces with their quotas.
    slack_requests : float
        Requests that the fleet may admit beyond a burst.
    loss_share : float
        Share of the messages that are lost, 0 to 1.
    regions : tuple of str
        Regions of the VMs, assigned in turn.

    Attributes
    ----------
    is_reachable : callable
        Returns whether messages of one VM reach another, by their names.
    max_extra_delay_s : float
        Longest additional delay of a message, in seconds.
    false_suspicion_share : float
        Share of the running members that each VM falsely takes for silent.
    admitted_at_by_workspace, refused_at_by_workspace : dict of str to list of float
        Times at which requests got a token or were refused one, in seconds.
    refusals : list of TokenRefused
        All refusals.
    sent_by_kind : Counter of str
        Sent messages by class name.
    limit_by_incarnation : dict of str to float
        Limits that upstreams currently announce, in requests per second.
    arrived_at_by_incarnation : dict of str to list of float
        Times at which an upstream got requests from VMs that knew its limit.
    """

    random: Random
    workspaces_by_name: dict[str, Workspace]
    slack_requests: float = 10.0
    loss_share: float = 0.0
    regions: tuple[str, ...] = REGIONS
    now: float = 1_000.0
    vms_by_name: dict[str, QuotaFleetVm] = Factory(dict)
    admitted_at_by_workspace: dict[str, list[float]] = Factory(dict)
    refused_at_by_workspace: dict[str, list[float]] = Factory(dict)
    refusals: list[TokenRefused] = Factory(list)
    sent_by_kind: Counter[str] = field(factory=Counter)
    is_reachable: Callable[[str, str], bool] = lambda one, other: True
    max_extra_delay_s: float = 0.0
    false_suspicion_share: float = 0.0
    _partitioned_since: float | None = None
    _in_flight: list[tuple[float, int, str, str, QuotaMessage]] = Factory(list)
    _numbers: count[int] = field(factory=count)
    _workspace_by_ticket: dict[int, str] = Factory(dict)
    limit_by_incarnation: dict[str, float] = Factory(dict)
    arrived_at_by_incarnation: dict[str, list[float]] = Factory(dict)
    _waiting_by_vm_and_incarnation: Counter[tuple[str, str]] = field(factory=Counter)

    def add_vms(self, vm_count: int) -> None:
        """Start additional VMs."""
        first = len(self.vms_by_name)
        for index in range(first, first + vm_count):
            self._start(f"vm-{index}", self.regions[index % len(self.regions)])
        for vm in self.vms_by_name.values():
            self._update_members(vm)

    def restart(self, name: str) -> None:
        """Restart a VM's process."""
        self._start(name, self.vms_by_name[name].region)
        self._update_members(self.vms_by_name[name])

    def apply_workspaces(self, workspaces_by_name: dict[str, Workspace]) -> None:
        """Apply other quotas at all VMs."""
        self.workspaces_by_name = workspaces_by_name
        for vm in self.vms_by_name.values():
            vm.quotas.update_configuration(self._configuration())

    def partition(self, is_reachable: Callable[[str, str], bool]) -> None:
        """Partition the network: set which VM reaches which from now on."""
        self.is_reachable = is_reachable
        self._partitioned_since = self.now

    def heal(self) -> None:
        """End a partition: all VMs reach each other."""
        self.is_reachable = lambda one, other: True
        self._partitioned_since = None

    def is_silent(self, vm: str, other: str, now: float) -> bool:
        """Return whether one VM has detected that another is silent."""
        if not self.vms_by_name[other].is_running:
            return True
        if self.false_suspicion_share > 0.0:
            draw = stable_hash(f"{vm} {other} {int(now / FALSE_SUSPICION_S)}") / 2.0**64
            return draw < self.false_suspicion_share
        since = self._partitioned_since
        return (
            since is not None
            and now - since > DETECTION_S
            and not self.is_reachable(other, vm)
        )

    def receive_request(self, vm: str, workspace: str) -> None:
        """Let a VM receive a request of a workspace."""
        ticket = next(self._numbers)
        self._workspace_by_ticket[ticket] = workspace
        running = self.vms_by_name[vm]
        if running.is_running:
            self._perform(
                running, running.quotas.request_token(ticket, workspace, self.now)
            )

    def send_to_upstream(self, vm: str, incarnation: str) -> None:
        """Let a VM receive a request that it sends on to an upstream, if it may."""
        running = self.vms_by_name[vm]
        if not running.is_running:
            return
        limiter = running.quotas.limits.limiter_by_incarnation.get(incarnation)
        if limiter is not None and limiter.lacks_token(self.now):
            self._waiting_by_vm_and_incarnation[vm, incarnation] += 1
            if limiter.may_request_token(self.now):
                limiter.record_token_request(self.now)
                effects = running.quotas.request_upstream_token(
                    incarnation, incarnation, self.now
                )
                self._perform(running, effects)
        else:
            self._arrive(running, incarnation)

    def _arrive(self, vm: QuotaFleetVm, incarnation: str) -> None:
        """Deliver a request to an upstream, and its answer immediately."""
        limiter = vm.quotas.limits.limiter_by_incarnation.get(incarnation)
        if limiter is not None:
            limiter.use_token(self.now)
            self.arrived_at_by_incarnation.setdefault(incarnation, []).append(self.now)
        statement = UpstreamStatement(
            limit_per_s=self.limit_by_incarnation.get(incarnation)
        )
        # The answer must be later than its request, or a lifted limit goes unnoticed.
        sent_at = self.now - UPSTREAM_ANSWER_S
        if statement.limit_per_s is None:
            vm.unlimited_sent_at_by_incarnation[incarnation] = sent_at
        messages = vm.quotas.limits.apply_statement(
            incarnation, statement, sent_at=sent_at, now=self.now
        )
        self._perform(vm, [*messages])

    def _serve_waiting(self, vm: QuotaFleetVm, incarnation: str) -> None:
        """Send one waiting request with a received token; others go elsewhere."""
        waiting = self._waiting_by_vm_and_incarnation.pop((vm.name, incarnation), 0)
        limiter = vm.quotas.limits.limiter_by_incarnation.get(incarnation)
        if waiting and limiter is not None and limiter.has_token(self.now):
            self._arrive(vm, incarnation)

    def run(self, seconds: float, load: Callable[[float], None] | None = None) -> None:
        """Advance the clock, calling ``load`` every 0.1 s."""
        until = self.now + seconds
        while self.now < until:
            if load is not None:
                load(self.now)
            self._deliver(self.now + TICK_S)
            for vm in self.vms_by_name.values():
                if vm.is_running:
                    self._perform(vm, self._tick(vm))

    def max_admitted(self, workspace: str, window_s: float) -> int:
        """Return the highest number of requests admitted in any window."""
        return max_in_window(self.admitted_at_by_workspace.get(workspace, []), window_s)

    def max_arrived(self, incarnation: str, window_s: float, since: float = 0.0) -> int:
        """Return the highest number of requests at an upstream in any window."""
        arrived = [
            at
            for at in self.arrived_at_by_incarnation.get(incarnation, [])
            if at >= since
        ]
        return max_in_window(arrived, window_s)

    def _tick(self, vm: QuotaFleetVm) -> list[QuotaEffect]:
        return vm.quotas.tick(readiness=Readiness.READY, has_list=True, now=self.now)

    def _deliver(self, until: float) -> None:
        while self._in_flight and self._in_flight[0][0] <= until:
            at, _, sender, to, message = heapq.heappop(self._in_flight)
            self.now = max(self.now, at)
            vm = self.vms_by_name[to]
            if vm.is_running and self.is_reachable(sender, to):
                reply_to = _endpoint(sender)
                self._perform(vm, vm.quotas.receive(message, reply_to, self.now))
        self.now = until

    def _perform(self, vm: QuotaFleetVm, effects: Iterable[QuotaEffect]) -> None:
        for effect in effects:
            match effect:
                case SendToPeer(message=message, to=to):
                    self._send(vm, cast("QuotaMessage", message), to)
                case TokenTaken(ticket=ticket):
                    workspace = self._workspace_by_ticket.pop(ticket)
                    taken = self.admitted_at_by_workspace.setdefault(workspace, [])
                    taken.append(self.now)
                case TokenRefused(ticket=ticket):
                    workspace = self._workspace_by_ticket.pop(ticket)
                    refused = self.refused_at_by_workspace.setdefault(workspace, [])
                    refused.append(self.now)
                    self.refusals.append(effect)
                case FleetLimiterChanged(service=incarnation):
                    self._serve_waiting(vm, incarnation)

    def _send(self, vm: QuotaFleetVm, message: QuotaMessage, to: Endpoint) -> None:
        self.sent_by_kind[type(message).__name__] += 1
        if self.random.random() < self.loss_share:
            return
        other = self.vms_by_name[to.host]
        delay_s = LOCAL_DELAY_S if vm.region == other.region else REMOTE_DELAY_S
        delay_s += self.random.uniform(0.0, self.max_extra_delay_s)
        flight = (self.now + delay_s, next(self._numbers), vm.name, other.name, message)
        heapq.heappush(self._in_flight, flight)

    def _start(self, name: str, region: str) -> None:
        membership = FakeMembership(fleet=self, vm=name)
        quotas = Quotas(
            vm=name,
            failure_domain=region,
            endpoint=_endpoint(name),
            incarnation=self.random.getrandbits(63),
            started_at=self.now,
            random=Random(self.random.getrandbits(32)),
            membership=cast("Membership", membership),
            options=QuotaOptions(slack_requests=self.slack_requests),
        )
        quotas.update_configuration(self._configuration())
        vm = QuotaFleetVm(
            name=name, region=region, quotas=quotas, membership=membership
        )
        quotas.limits.questions.unlimited_sent_at = (
            vm.unlimited_sent_at_by_incarnation.get
        )
        self.vms_by_name[name] = vm

    def _update_members(self, vm: QuotaFleetVm) -> None:
        vm.membership.change_count += 1
        vm.membership.members_by_name = {
            other.name: Member(
                name=other.name,
                peer_endpoint=_endpoint(other.name),
                failure_domain=other.region,
                known_since=0.0,
                readiness=Readiness.READY,
                last_heartbeat_at=self.now,
            )
            for other in self.vms_by_name.values()
            if other is not vm
        }

    def _configuration(self) -> Configuration:
        return build_configuration(
            failure_domains_by_name={
                region: FailureDomain(region=region) for region in REGIONS
            },
            upstreams_by_name={},
            sites_by_name={},
            site_by_prefix={},
            workspaces_by_name=self.workspaces_by_name,
        )


def _endpoint(name: str) -> Endpoint:
    return Endpoint(name, _PORT)


def max_in_window(times: list[float], window_s: float) -> int:
    """Return the highest number of ascending times within a window, in seconds."""
    maximum = first = 0
    for index, at in enumerate(times):
        while times[first] < at - window_s:
            first += 1
        maximum = max(maximum, index - first + 1)
    return maximum
