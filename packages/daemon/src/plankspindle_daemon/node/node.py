"""Decision logic of one entry VM, without I/O."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.admission.caller_directory import CallerDirectory
from plankspindle_daemon.configuration.configuration_in_force import (
    ConfigurationInForce,
)
from plankspindle_daemon.digests.digest_exchange import DigestExchange
from plankspindle_daemon.dispatch import messages as dispatch
from plankspindle_daemon.dispatch.service_registry import ServiceRegistry
from plankspindle_daemon.dispatch.unresponsive_hint_relay import UnresponsiveHintRelay
from plankspindle_daemon.drains.vm_drains import VmDrains
from plankspindle_daemon.headroom.headroom_manager import HeadroomManager
from plankspindle_daemon.idempotency.issued_ids import IssuedIds
from plankspindle_daemon.leaving.leave import Leave
from plankspindle_daemon.membership import messages as membership
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.node.effects import NodeEffect
from plankspindle_daemon.node.effects import convert_effect
from plankspindle_daemon.node.limited_dispatch import LimitedDispatch
from plankspindle_daemon.node.node_reporting import make_self_report
from plankspindle_daemon.node.node_reporting import make_steering_updater
from plankspindle_daemon.node.reach_ticker import ReachTicker
from plankspindle_daemon.node.self_report import SelfReport
from plankspindle_daemon.node.shared_slots import SharedSlots
from plankspindle_daemon.node.steering_updater import SteeringUpdater
from plankspindle_daemon.node.version_adoption import VersionAdoption
from plankspindle_daemon.node.version_gossip import VersionGossip
from plankspindle_daemon.platform.listed_upstreams import RECOVERY_S
from plankspindle_daemon.platform.listed_upstreams import ListedUpstreams
from plankspindle_daemon.quarantine.quarantine import Quarantine
from plankspindle_daemon.quotas.quota_options import QuotaOptions
from plankspindle_daemon.quotas.quotas import Quotas
from plankspindle_daemon.reachability.relay_admission import RelayAdmission
from plankspindle_daemon.reachability.relay_selector import RelaySelector
from plankspindle_daemon.reachability.upstream_reach import UpstreamReach
from plankspindle_daemon.rollouts.rollouts import Rollouts
from plankspindle_daemon.routes.route_table import RouteTable
from plankspindle_daemon.settings.daemon_settings import RolloutSettings
from plankspindle_daemon.sharing.reader_group import ReaderGroup
from plankspindle_daemon.sharing.shared_reads import SharedReads
from plankspindle_daemon.shifts.shift_meter import ShiftMeter

if TYPE_CHECKING:
    from plankspindle_core.configuration.configuration import Configuration
    from plankspindle_daemon.dispatch.dispatcher import Dispatcher
    from plankspindle_daemon.dispatch.messages import DispatchEvent
    from plankspindle_daemon.membership.messages import MembershipEvent
    from plankspindle_daemon.peer_messages.content_messages import ContentChunk
    from plankspindle_daemon.peer_messages.headroom_messages import HeadroomRequest
    from plankspindle_daemon.peer_messages.heartbeat import Heartbeat
    from plankspindle_daemon.peer_messages.readiness import Readiness
    from plankspindle_daemon.steering.steering import Steering
    from plankspindle_daemon.versions.configuration_version import ConfigurationVersion

REFRESH_PERIOD_S = 0.25


@define(kw_only=True)
class Node:
    """State machine that makes all decisions of one entry VM.

    Parameters
    ----------
    vm, failure_domain : str
        Name of this VM, and the failure domain that it is located in.
    caller_endpoint, peer_endpoint : Endpoint
        Addresses of its listeners.
    incarnation : int
        Random number that identifies this process.
    random : Random
        Seeded source of all random choices.
    membership : Membership
        Members of the failure domain.
    ids, leave : IssuedIds, Leave
        Ids issued by this process, and the planned stop of this VM.
    routes : RouteTable
        Routes of the version in force.
    probe_period_s : float
        Period of reading load reports, in seconds.
    started_at : float
        Monotonic seconds.
    settle_s : float
        Time in which a new process discovers its peers and takes no slots, in seconds.
    needs_list : bool
        Whether upstreams are declared only by the platform's list.
    shared_read_period_s : float
        Period of reads on behalf of other VMs, in seconds; zero if none are shared.
    recovery_s : float
        Time after a disturbance by which missing upstreams must be removed, in seconds.
    quota_options : QuotaOptions
        Bounds of the quotas of workspaces.
    rollout_settings : RolloutSettings
        Bounds on roll-outs of software versions.

    Attributes
    ----------
    in_force : ConfigurationInForce
        The version of the configuration in force.
    reach : UpstreamReach
        Whether this VM reaches upstreams.
    relays, relay_admission : RelaySelector, RelayAdmission
        Requests that other VMs serve for this one, and the other way round.
    """

    vm: str
    failure_domain: str
    caller_endpoint: Endpoint
    peer_endpoint: Endpoint
    incarnation: int
    random: Random
    membership: Membership
    ids: IssuedIds
    leave: Leave
    probe_period_s: float
    started_at: float
    settle_s: float
    needs_list: bool = False
    shared_read_period_s: float = 0.0
    recovery_s: float = RECOVERY_S
    quota_options: QuotaOptions = Factory(QuotaOptions)
    rollout_settings: RolloutSettings = Factory(RolloutSettings)
    in_force: ConfigurationInForce = Factory(ConfigurationInForce)
    directory: CallerDirectory | None = None
    routes: RouteTable = Factory(lambda: RouteTable(routes_by_name={}))
    services: ServiceRegistry = field(init=False)
    vm_drains: VmDrains = field(init=False)
    shift_meter: ShiftMeter = Factory(lambda: ShiftMeter.create(region=None))
    headroom: HeadroomManager = field(init=False)
    shared_slots: SharedSlots = field(init=False)
    digest_exchange: DigestExchange = field(init=False)
    versions: VersionGossip = field(init=False)
    adoption: VersionAdoption = field(init=False)
    quarantine: Quarantine = field(init=False)
    quotas: Quotas = field(init=False)
    limited_dispatch: LimitedDispatch = field(init=False)
    shared_reads: SharedReads = field(init=False)
    rollouts: Rollouts = field(init=False)
    reach: UpstreamReach = field(init=False)
    relays: RelaySelector = field(init=False)
    relay_admission: RelayAdmission = Factory(RelayAdmission)
    self_report: SelfReport = field(init=False)
    steering_updater: SteeringUpdater = field(init=False)
    _reach_ticker: ReachTicker = field(init=False)
    _next_refresh_at: float = 0.0
    _wall_offset_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.headroom = HeadroomManager(
            vm=self.vm, incarnation=self.incarnation, random=self.random
        )
        self.digest_exchange = DigestExchange(
            vm=self.vm,
            failure_domain=self.failure_domain,
            random=self.random,
            membership=self.membership,
            headroom=self.headroom,
        )
        self.quarantine = Quarantine.create(
            self.vm, self.failure_domain, self.membership
        )
        self.quotas = Quotas(
            vm=self.vm,
            failure_domain=self.failure_domain,
            endpoint=self.peer_endpoint,
            incarnation=self.incarnation,
            started_at=self.started_at,
            random=self.random,
            membership=self.membership,
            options=self.quota_options,
        )
        self.versions = VersionGossip(
            vm=self.vm, membership=self.membership, random=self.random
        )
        self.relays = RelaySelector(
            failure_domain=self.failure_domain,
            membership=self.membership,
            random=self.random,
        )
        self.adoption = VersionAdoption(
            in_force=self.in_force,
            versions=self.versions,
            floor=self.relays.version_floor,
            apply=self._apply_configuration,
        )
        self.shared_reads = SharedReads(
            group=ReaderGroup(
                vm=self.vm,
                failure_domain=self.failure_domain,
                membership=self.membership,
            ),
            period_s=self.shared_read_period_s,
        )
        self.services = ServiceRegistry(
            vm=self.vm,
            failure_domain=self.failure_domain,
            incarnation=self.incarnation,
            random=self.random,
            membership=self.membership,
            probe_period_s=self.probe_period_s,
            ramping_from=self.started_at + self.settle_s,
            listed=ListedUpstreams(recovery_s=self.recovery_s),
        )
        self.reach = UpstreamReach(services=self.services, random=self.random)
        self.limited_dispatch = LimitedDispatch(
            services=self.services, quotas=self.quotas
        )
        self._reach_ticker = ReachTicker(
            reach=self.reach, handle_dispatch=self.limited_dispatch.handle
        )
        self.vm_drains = VmDrains(
            vm=self.vm,
            failure_domain=self.failure_domain,
            schedule=self.services.drains,
            membership=self.membership,
        )
        self.shared_slots = SharedSlots(
            vm=self.vm,
            membership=self.membership,
            services=self.services,
            leave=self.leave,
            started_at=self.started_at,
            settle_s=self.settle_s,
        )
        self.rollouts = Rollouts(
            selector=self.quarantine.aggregators,
            incarnation=self.incarnation,
            dispatch=self.services,
            settings=self.rollout_settings,
        )
        self.self_report = make_self_report(self)
        self.steering_updater = make_steering_updater(self)

    @property
    def configuration(self) -> Configuration | None:
        """Content of the configuration in force."""
        return self.in_force.content

    @property
    def version(self) -> ConfigurationVersion:
        """Version of the configuration in force, which never decreases."""
        return self.in_force.version

    @property
    def dispatchers_by_service(self) -> dict[str, Dispatcher]:
        """Queues and upstreams of each service."""
        return self.services.dispatchers_by_service

    @property
    def steering(self) -> Steering | None:
        """Answers lookups; None before a version is in force."""
        return self.steering_updater.steering

    def adopt(
        self, configuration: Configuration, *, version: ConfigurationVersion, now: float
    ) -> list[NodeEffect]:
        """Put a version in force as a whole; see :meth:`VersionAdoption.adopt`."""
        return self.adoption.adopt(configuration, version=version, now=now)

    def _apply_configuration(
        self, configuration: Configuration, now: float
    ) -> list[NodeEffect]:
        self.directory = CallerDirectory(configuration=configuration)
        self.steering_updater.use_configuration(configuration)
        region = configuration.region_of(self.failure_domain)
        if region != self.shift_meter.region:
            self.shift_meter = ShiftMeter.create(region=region)
        self.shift_meter.apply_shifts(configuration.shifts_by_id, now)
        self.routes = self.routes.with_routes(configuration.routes_by_name)
        self.quotas.update_configuration(configuration)
        self.services.apply_configuration(
            configuration, version=self.version, now=now, wall=now + self._wall_offset_s
        )
        self.rollouts.update_configuration(configuration, self.version, now)
        self.steering_updater.refresh(self.version, now)
        return [*self.shared_slots.update_shares(configuration, now)]

    def receive_content_chunk(
        self, chunk: ContentChunk, now: float
    ) -> list[NodeEffect]:
        """Apply a chunk of a higher version, and adopt the version once complete."""
        return self.adoption.receive_content_chunk(chunk, now)

    def handle_membership(
        self, event: MembershipEvent, *, now: float, wall: float
    ) -> list[NodeEffect]:
        """Apply an event of the membership and what follows from it.

        Parameters
        ----------
        now, wall : float
            Monotonic seconds; seconds since the Unix epoch, for planned leaving.
        """
        changes = self.membership.handle(event, now)
        effects = [each for effect in changes for each in convert_effect(effect)]
        if isinstance(event, membership.HeartbeatReceived):
            effects += self.versions.receive_heartbeat(event.heartbeat, now)
            self.relays.record_heartbeat(event.heartbeat, now)
            UnresponsiveHintRelay(services=self.services).apply(event.heartbeat, now)
            effects += self.quarantine.handle_heartbeat(event.heartbeat, now)
        if isinstance(event, membership.LiveListRead):
            self.self_report.list_read_at = now
            self._wall_offset_s = wall - now
            self.services.apply_list(event.vms, now=now, wall=wall)
            self.rollouts.observe_versions(now)
            self._apply_drains(now=now, wall=wall)
            self.steering_updater.refresh(self.version, now)
        return [*effects, *self.shared_slots.update_shares(self.configuration, now)]

    def handle_dispatch(
        self, service: str, event: DispatchEvent, now: float
    ) -> list[NodeEffect]:
        """Pass an event to the dispatcher of a service."""
        return self.limited_dispatch.handle(service, event, now)

    def tick(self, *, now: float, wall: float) -> list[NodeEffect]:
        """Do all work that is due by now."""
        effects = self.handle_membership(membership.TimePassed(), now=now, wall=wall)
        effects += self.adoption.end_retention_if_due(now)
        for service in self.dispatchers_by_service:
            effects += self.handle_dispatch(service, dispatch.TimePassed(), now)
        if now >= self._next_refresh_at:
            self._next_refresh_at = now + REFRESH_PERIOD_S
            self._apply_drains(now=now, wall=wall)
            self.services.update_region_capacity(now)
            self.steering_updater.refresh(self.version, now)
            self.steering_updater.announce_readiness(self.version, now)
            self.ids.expire(now)
            self.shared_slots.expire_removals(self.configuration, now)
        effects += self._reach_ticker.tick(self.dispatchers_by_service, now)
        effects += self.versions.tick(now)
        effects += self.quarantine.tick(now)
        effects += self.rollouts.tick(now)
        effects += self.limited_dispatch.tick(
            readiness=self.readiness(),
            has_list=self.self_report.list_read_at is not None,
            now=now,
        )
        effects += self.digest_exchange.tick(
            self.dispatchers_by_service,
            version=self.version,
            shifts=self.shift_meter.shifts(),
            configuration=self.configuration,
            drained=self.vm_drains.drained_vms,
            now=now,
        )
        return effects

    def _apply_drains(self, *, now: float, wall: float) -> None:
        self.services.apply_drains(now=now, wall=wall)
        self.vm_drains.refresh(now=now, wall=wall)
        self.relays.drained_vms = self.vm_drains.drained_vms

    def accepts(self, now: float) -> bool:
        """Return whether this VM accepts new requests."""
        return self.self_report.accepts(now)

    def handle_headroom_request(
        self, request: HeadroomRequest, reply_to: Endpoint, now: float
    ) -> list[NodeEffect]:
        """Grant headroom, unless this VM rejects requests."""
        dispatcher = self.dispatchers_by_service.get(request.service)
        if dispatcher is None or not self.accepts(now) or self.reach.is_cut_off:
            return []
        return [*self.headroom.handle_request(request, dispatcher, reply_to, now)]

    def recover_from_pause(self, *, now: float, wall: float) -> list[NodeEffect]:
        """Invalidate what was agreed with other VMs before the process was paused."""
        self.shared_slots.invalidate(now)
        self.shared_reads.invalidate()
        self.headroom.grants.discard_all()
        self.rollouts.recover_from_pause(now)
        self.reach.recover_from_pause()
        effects = self.handle_membership(membership.ProcessPaused(), now=now, wall=wall)
        for service in self.dispatchers_by_service:
            effects += self.handle_dispatch(service, dispatch.ProcessPaused(), now)
        return effects

    def readiness(self) -> Readiness:
        """Return the readiness that this VM reports."""
        return self.self_report.readiness(self.version)

    def heartbeat(
        self, *, now: float, left: bool = False, is_watched: bool = False
    ) -> Heartbeat:
        """Create the next heartbeat; see :meth:`SelfReport.heartbeat`."""
        return self.self_report.heartbeat(
            self.version, now=now, left=left, is_watched=is_watched
        )
