"""All decisions of one entry VM, without I/O."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import field

from plankspindle_core.configuration.codec import decode_configuration
from plankspindle_core.configuration.codec import encode_configuration
from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.configuration.service import SlotSharing
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.invariants import check_invariant
from plankspindle_daemon.admission.caller_directory import CallerDirectory
from plankspindle_daemon.admission.class_queue import ClassQueue
from plankspindle_daemon.configuration.head_watch import HeadWatch
from plankspindle_daemon.configuration.spread_targets import spread_targets
from plankspindle_daemon.configuration.version_exchange import LearnedContent
from plankspindle_daemon.configuration.version_exchange import VersionExchange
from plankspindle_daemon.digests.digest_book import DigestBook
from plankspindle_daemon.digests.messages import LoadDigest
from plankspindle_daemon.digests.own_digest import one_vm_a_domain
from plankspindle_daemon.digests.own_digest import sum_up_loads
from plankspindle_daemon.dispatch import messages as dispatch
from plankspindle_daemon.dispatch.dispatcher import Dispatcher
from plankspindle_daemon.dispatch.measured_distances import MeasuredDistances
from plankspindle_daemon.dispatch.placement import Placement
from plankspindle_daemon.dispatch.region_limiter import RegionLimiter
from plankspindle_daemon.drains.drain_clock import DrainClock
from plankspindle_daemon.headroom.headroom_manager import HeadroomManager
from plankspindle_daemon.headroom.headroom_manager import HeadroomTarget
from plankspindle_daemon.idempotency.issued_ids import IssuedIds
from plankspindle_daemon.leaving.leave import Leave
from plankspindle_daemon.membership import messages as membership
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.membership.messages import EVERY_UPSTREAM
from plankspindle_daemon.membership.messages import Heartbeat
from plankspindle_daemon.membership.messages import SendHeartbeat
from plankspindle_daemon.membership.readiness import Readiness
from plankspindle_daemon.node.effects import BeginLeaving
from plankspindle_daemon.node.effects import NodeEffect
from plankspindle_daemon.node.effects import OfService
from plankspindle_daemon.node.effects import SendToPeer
from plankspindle_daemon.platform.listed_upstreams import ListedUpstreams
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.retries.retry_budget import RetryBudget
from plankspindle_daemon.routes.route_table import RouteTable
from plankspindle_daemon.shifts.shift_meter import ShiftMeter
from plankspindle_daemon.steering.steering import EntryVm
from plankspindle_daemon.steering.steering import Steering
from plankspindle_daemon.upstreams.cold_gate import ColdGate
from plankspindle_daemon.upstreams.cold_gate import cold_part_of
from plankspindle_daemon.upstreams.health import Ramping
from plankspindle_daemon.upstreams.health import UpstreamHealth
from plankspindle_daemon.upstreams.health import Warm
from plankspindle_daemon.upstreams.reported_slots import ReportedSlots
from plankspindle_daemon.upstreams.share_keeper import ShareKeeper
from plankspindle_daemon.upstreams.slot_ledger import SlotLedger
from plankspindle_daemon.upstreams.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from plankspindle_core.configuration.service import Service
    from plankspindle_core.configuration.upstream import Upstream
    from plankspindle_daemon.configuration.messages import ContentChunk
    from plankspindle_daemon.configuration.messages import ContentRequest
    from plankspindle_daemon.dispatch.messages import DispatchEvent
    from plankspindle_daemon.headroom.messages import HeadroomRequest
    from plankspindle_daemon.membership.messages import MembershipEffect
    from plankspindle_daemon.membership.messages import MembershipEvent
    from plankspindle_daemon.platform.live_list import ListedVm
    from plankspindle_daemon.upstreams.messages import SlotRequest

OVERLOADED_SHARE = 0.5
"""Share of a queue's limit from which on look-ups do not name this VM."""
MAX_OVER_SHARE_NAMED = 16
DIGEST_PERIOD_S = 1.0
REFRESH_S = 0.25
MIN_ENTRY_VMS = 3
"""Entry VMs that are assumed to share fleet-wide bounds before others are heard."""


@define(kw_only=True)
class Node:
    """Decisions of one entry VM.

    Parameters
    ----------
    vm, failure_domain : str
        This VM and where it stands.
    caller_endpoint, peer_endpoint : Endpoint
        Its listeners.
    incarnation : int
        Random number of this process.
    random : Random
        Seeded source of all random choices.
    membership : Membership
        Members of the failure domain.
    ids : IssuedIds
        Ids issued by this process.
    leave : Leave
        Its planned stop.
    routes : RouteTable
        Routes of the version in force.
    probe_s : float
        Period of reading load reports, in seconds.
    started_at : float
        Monotonic seconds.
    settle_s : float
        Time for which a new process listens for peers before it takes slots, in
        seconds.
    needs_list : bool
        Whether upstreams are declared by the platform's list alone.

    Attributes
    ----------
    configuration : Configuration or None
        The version in force.
    version : int
        Its number; it never falls.
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
    probe_s: float
    started_at: float
    settle_s: float
    needs_list: bool = False
    configuration: Configuration | None = None
    version: int = 0
    adopted_at: float | None = None
    directory: CallerDirectory | None = None
    steering: Steering | None = None
    routes: RouteTable = Factory(lambda: RouteTable(routes_by_name={}))
    listed: ListedUpstreams = Factory(ListedUpstreams)
    distances: MeasuredDistances = field(init=False)
    limiter: RegionLimiter = Factory(RegionLimiter)
    meter: ShiftMeter = Factory(lambda: ShiftMeter.create(region=None))
    dispatchers_by_service: dict[str, Dispatcher] = Factory(dict)
    budgets_by_service: dict[str, RetryBudget] = Factory(dict)
    headroom: HeadroomManager = field(init=False)
    shares: ShareKeeper = field(init=False)
    head: HeadWatch = Factory(HeadWatch)
    digests: DigestBook = Factory(DigestBook)
    drains: DrainClock = Factory(DrainClock)
    list_read_at: float | None = None
    versions: VersionExchange = field(init=False)
    refuses_from: float | None = None
    drained_vms: set[str] = Factory(set)
    _sequence: int = 0
    _next_refresh: float = 0.0
    _next_digest: float = 0.0
    _wall_ahead_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.headroom = HeadroomManager(
            vm=self.vm, incarnation=self.incarnation, random=self.random
        )
        self.shares = ShareKeeper(
            vm=self.vm,
            membership=self.membership,
            started_at=self.started_at,
            settle_s=self.settle_s,
        )
        self.versions = VersionExchange(vm=self.vm)
        self.distances = MeasuredDistances(home_domain=self.failure_domain)

    def adopt(
        self, configuration: Configuration, *, version: int, now: float
    ) -> list[NodeEffect]:
        """Put a version of the configuration in force, all or nothing.

        Parameters
        ----------
        configuration : Configuration
            A valid version.
        version : int
            Its number; one that is not higher than the present one is ignored.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of NodeEffect
            What follows for waiting requests.
        """
        if version <= self.version:
            return []
        before = self.version
        self.configuration = configuration
        self.version = version
        self.versions.hold(version, encode_configuration(configuration))
        self.adopted_at = now
        check_invariant("configuration-never-reverts", self.version > before)
        self.directory = CallerDirectory(configuration=configuration)
        self.steering = Steering(
            configuration=configuration, home_domain=self.failure_domain
        )
        region = configuration.region_of(self.failure_domain)
        if region != self.meter.region:
            self.meter = ShiftMeter.create(region=region)
        self.meter.use_shifts(configuration.shifts_by_id, now)
        self._use_routes(configuration)
        self.distances.use(configuration)
        self.drains.use(configuration, now)
        self._use_services(configuration, now)
        self._take_listed_upstreams(
            self.listed.by_name.values(), now=now, wall=now + self._wall_ahead_s
        )
        self._refresh_steering(now)
        return [*self._spread_version(now), *self._update_shares(now)]

    def _use_routes(self, configuration: Configuration) -> None:
        before = self.routes
        self.routes = RouteTable(routes_by_name=configuration.routes_by_name)
        self.routes.keep_divisions(before)

    def _spread_version(self, now: float) -> list[NodeEffect]:
        """Tell some members of the new version at once; heartbeats tell the rest."""
        targets = spread_targets(
            me=self.vm, members=self.membership.view(), random=self.random
        )
        members = self.membership.members_by_name
        return [SendHeartbeat(members[name].peer_endpoint) for name in targets]

    def is_reader(self, now: float) -> bool:
        """Tell whether this VM is to poll the platform for a new version."""
        return self.versions.is_reader(self.membership.view(), now, self.head.heard_at)

    def _hear_version(self, heartbeat: Heartbeat, now: float) -> list[NodeEffect]:
        if heartbeat.sender not in self.membership.members_by_name:
            return []
        self.head.note_heard(heartbeat.head_read_ago_ms, now)
        asked = self.versions.hear_version(
            heartbeat.sender, heartbeat.configuration_version, now
        )
        return self._to_member(heartbeat.sender, asked)

    def _to_member(
        self, name: str, messages: Sequence[ContentRequest]
    ) -> list[NodeEffect]:
        member = self.membership.members_by_name.get(name)
        if member is None:
            return []
        to = member.peer_endpoint
        return [SendToPeer(message=message, to=to) for message in messages]

    def take_content_request(
        self, request: ContentRequest, reply_to: Endpoint
    ) -> list[NodeEffect]:
        """Give a part of the version in force."""
        chunk = self.versions.answer(request)
        return [] if chunk is None else [SendToPeer(message=chunk, to=reply_to)]

    def take_content_chunk(self, chunk: ContentChunk, now: float) -> list[NodeEffect]:
        """Take a part of a higher version, and adopt it once it is whole."""
        taken = self.versions.take_chunk(chunk, now).unwrap_or([])
        if not isinstance(taken, LearnedContent):
            return self._to_member(chunk.sender, taken)
        decoded = decode_configuration(taken.content)
        if decoded.is_err():
            return []
        return self.adopt(decoded.unwrap(), version=taken.version, now=now)

    def _use_services(self, configuration: Configuration, now: float) -> None:
        for name, service in configuration.services_by_name.items():
            dispatcher = self.dispatchers_by_service.get(name)
            if dispatcher is None:
                dispatcher = self._new_dispatcher(service)
                self.dispatchers_by_service[name] = dispatcher
            dispatcher.queue.limit = service.queue_limit
            budget = self.budgets_by_service.setdefault(
                name, RetryBudget(percent=service.retry_percent)
            )
            budget.percent = service.retry_percent
            budget.burst = max(1.0, service.retry_burst / self._entry_vms())
            declared = self._declared_upstreams(name, service)
            self._use_upstreams(dispatcher, service, declared, now)

    def _entry_vms(self) -> int:
        """Count the entry VMs that share fleet-wide bounds, this one included."""
        return max(MIN_ENTRY_VMS, len(self.membership.members_by_name) + 1)

    def _declared_upstreams(self, name: str, service: Service) -> dict[str, Upstream]:
        """Give the upstreams of a service that this VM may use, by name."""
        assert self.configuration is not None
        any_domain = service.slot_sharing is SlotSharing.REPORTED
        declared = dict(self.configuration.upstreams_by_name)
        for key, listed in self.listed.by_name.items():
            if listed.upstream is not None:
                declared[key] = listed.upstream
        return {
            key: upstream
            for key, upstream in declared.items()
            if upstream.service == name
            and (any_domain or upstream.failure_domain == self.failure_domain)
        }

    def _new_dispatcher(self, service: Service) -> Dispatcher:
        reported = service.slot_sharing is SlotSharing.REPORTED
        random = Random(self.random.getrandbits(64))
        placement = Placement(
            distances=self.distances, limiter=self.limiter, random=random
        )
        return Dispatcher(
            placement=placement if reported else None,
            vm=self.vm,
            incarnation=self.incarnation,
            random=random,
            queue=ClassQueue(limit=service.queue_limit),
            probe_s=self.probe_s,
        )

    def _use_upstreams(
        self,
        dispatcher: Dispatcher,
        service: Service,
        declared: dict[str, Upstream],
        now: float,
    ) -> None:
        by_name = dispatcher.upstreams_by_name
        for name in set(by_name) - set(declared):
            by_name[name].leaving = True
            if by_name[name].ledger.in_flight == 0:
                del by_name[name]
        for name, upstream in declared.items():
            known = by_name.get(name)
            if known is not None and known.upstream.endpoint == upstream.endpoint:
                known.upstream = upstream
                known.ledger.slots = upstream.slots
                known.ledger.shrink_share(upstream.slots)
            else:
                by_name[name] = self._new_upstream(
                    dispatcher, service, name, upstream, now
                )
        self._place(dispatcher, declared)

    def _place(self, dispatcher: Dispatcher, declared: dict[str, Upstream]) -> None:
        """Let affinity keys be divided among the upstreams that stay."""
        if dispatcher.placement is None:
            return
        by_name = dispatcher.upstreams_by_name
        staying = {
            name: upstream.failure_domain
            for name, upstream in declared.items()
            if not by_name[name].leaving and by_name[name].drained_at is None
        }
        dispatcher.placement.use(staying)

    def _new_upstream(
        self,
        dispatcher: Dispatcher,
        service: Service,
        name: str,
        upstream: Upstream,
        now: float,
    ) -> UpstreamState:
        is_new = self.version > 1 and now - self.started_at > self.settle_s
        reported = service.slot_sharing is SlotSharing.REPORTED
        ledger = ReportedSlots if reported else SlotLedger
        return UpstreamState(
            name=name,
            upstream=upstream,
            health=UpstreamHealth(
                random=dispatcher.random,
                state=Ramping(now) if is_new and not reported else Warm(),
                needs_probe=not reported,
            ),
            ledger=ledger(slots=upstream.slots),
        )

    def take_membership(
        self, event: MembershipEvent, *, now: float, wall: float
    ) -> list[NodeEffect]:
        """Give an event to the membership and take its consequences.

        Parameters
        ----------
        event : MembershipEvent
            What happened.
        now : float
            Monotonic seconds.
        wall : float
            Seconds since the Unix epoch, to place planned leaves.
        """
        effects: list[NodeEffect] = []
        for effect in self.membership.handle(event, now):
            effects += self._take_effect(effect, now)
        if isinstance(event, membership.HeartbeatReceived):
            effects += self._hear_version(event.heartbeat, now)
        if isinstance(event, membership.LiveListRead):
            self.list_read_at = now
            self._wall_ahead_s = wall - now
            self.listed.take(event.vms, now)
            if self.configuration is not None:
                self._use_services(self.configuration, now)
            self._take_listed_upstreams(event.vms, now=now, wall=wall)
            self._apply_drains(now=now, wall=wall)
            self._refresh_steering(now)
        return [*effects, *self._update_shares(now)]

    def _take_effect(self, effect: MembershipEffect, now: float) -> list[NodeEffect]:
        match effect:
            case membership.SendHeartbeat():
                return [effect]
            case membership.LeaveRequested(reason=reason):
                return [BeginLeaving(reason)]
            case membership.ViewChanged():
                self._refresh_steering(now)
                return []

    def _take_listed_upstreams(
        self, vms: Iterable[ListedVm], *, now: float, wall: float
    ) -> None:
        listed_by_name = {
            each.name: each for each in vms if each.kind is VmKind.UPSTREAM
        }
        for service, dispatcher in self.dispatchers_by_service.items():
            for name, upstream in dispatcher.upstreams_by_name.items():
                listed = listed_by_name.get(name)
                if listed is None:
                    continue
                upstream.note_listed(
                    leaving=listed.leaving,
                    leaves_at=listed.leaves_at,
                    now=now,
                    wall=wall,
                )
                if listed.cold_until > now:
                    self._note_cold(service, upstream, listed.cold_until)

    def _note_cold(self, service: str, upstream: UpstreamState, until: float) -> None:
        """Bound what an upstream gets while it is cold."""
        declared = self._service(service)
        if declared is None or declared.cold_requests_per_s == 0:
            return
        per_s = cold_part_of(
            vm=self.vm,
            others=self.membership.view(),
            upstream=upstream.name,
            per_s=declared.cold_requests_per_s,
        )
        if upstream.cold is None:
            upstream.cold = ColdGate(per_s=per_s, until=until)
        else:
            upstream.cold.per_s = per_s
            upstream.cold.until = max(upstream.cold.until, until)

    def _service(self, name: str) -> Service | None:
        if self.configuration is None:
            return None
        return self.configuration.services_by_name.get(name)

    def take_dispatch(
        self, service: str, event: DispatchEvent, now: float
    ) -> list[NodeEffect]:
        """Give an event to the dispatcher of a service."""
        dispatcher = self.dispatchers_by_service.get(service)
        if dispatcher is None:
            return []
        return [OfService(service, each) for each in dispatcher.handle(event, now)]

    def take_slot_request(
        self, request: SlotRequest, reply_to: Endpoint, now: float
    ) -> list[NodeEffect]:
        """Lend slots to a member, unless this VM leaves.

        Whoever this VM does not count gets none, since its share may overlap.
        """
        known = request.sender in self.membership.members_by_name
        if not known or self.leave.is_leaving:
            return []
        asked = dispatch.SlotsAsked(request=request, reply_to=reply_to)
        return self.take_dispatch(self.service_of(request.upstream), asked, now)

    def service_of(self, upstream: str) -> str:
        """Name the service of an upstream; empty if it is not declared."""
        if self.configuration is None:
            return ""
        declared = self.configuration.upstreams_by_name.get(upstream)
        return declared.service if declared is not None else ""

    def tick(self, *, now: float, wall: float) -> list[NodeEffect]:
        """Let some time pass."""
        effects = self.take_membership(membership.TimePassed(), now=now, wall=wall)
        for service in self.dispatchers_by_service:
            effects += self.take_dispatch(service, dispatch.TimePassed(), now)
        if now >= self._next_refresh:
            self._next_refresh = now + REFRESH_S
            self._apply_drains(now=now, wall=wall)
            self._note_room(now)
            self._refresh_steering(now)
            self.ids.expire(now)
            self._forget_removals(now)
        source, asked = self.versions.tick(now)
        effects += self._to_member(source, asked)
        return [*effects, *self._talk_to_other_domains(now)]

    def _apply_drains(self, *, now: float, wall: float) -> None:
        if self.configuration is None:
            return
        for service, dispatcher in self.dispatchers_by_service.items():
            for name, upstream in dispatcher.upstreams_by_name.items():
                was_drained = upstream.drained_at is not None
                upstream.drained_at = self.drains.upstream_drained_at(
                    name, upstream.upstream.failure_domain, now=now, wall=wall
                )
                if was_drained and upstream.drained_at is None:
                    self._note_taken_back(service, upstream, now)
        self.refuses_from = self.drains.vm_refuses_from(
            self.vm, self.failure_domain, now=now, wall=wall
        )
        self.drained_vms = self._find_drained_vms(wall)

    def _note_room(self, now: float) -> None:
        """Tell the bound on what leaves the region how much room it has."""
        slots = sum(
            upstream.upstream.slots
            for dispatcher in self.dispatchers_by_service.values()
            if dispatcher.placement is not None
            for upstream in dispatcher.upstreams_by_name.values()
            if dispatcher.placement.is_near(upstream) and upstream.is_usable(now)
        )
        self.limiter.note_room(slots, now)

    def _note_taken_back(
        self, service: str, upstream: UpstreamState, now: float
    ) -> None:
        """Take an upstream as cold after its drain, since it had nothing to do."""
        declared = self._service(service)
        if declared is not None:
            self._note_cold(service, upstream, now + declared.cold_ms / 1000)

    def _forget_removals(self, now: float) -> None:
        """Forget removed members whose work must have ended."""
        if self.configuration is None:
            return
        services = self.configuration.services_by_name.values()
        longest_ms = max((each.longest_timeout_ms for each in services), default=0)
        self.membership.expire_removals(before=now - longest_ms / 1000)

    def _find_drained_vms(self, wall: float) -> set[str]:
        if self.configuration is None or not self.configuration.drains_by_id:
            return set()
        return {
            name
            for name, domain in self._domains_by_vm().items()
            if self.drains.vm_is_drained(name, domain, wall=wall)
        }

    def _domains_by_vm(self) -> dict[str, str]:
        listed = {
            each.name: each.failure_domain
            for each in self.membership.listed_by_name.values()
            if each.kind is VmKind.ENTRY
        }
        members = dict.fromkeys(self.membership.view(), self.failure_domain)
        return {**listed, **members}

    def accepts(self, now: float) -> bool:
        """Tell whether new requests are accepted here."""
        drained = self.refuses_from is not None and now >= self.refuses_from
        return self.leave.accepts and not drained

    def _talk_to_other_domains(self, now: float) -> list[NodeEffect]:
        effects: list[NodeEffect] = []
        if now >= self._next_digest:
            self._next_digest = now + DIGEST_PERIOD_S
            effects += self._send_digests(now)
        if self.headroom.is_round_due(now):
            for target in self._headroom_targets():
                effects += self.headroom.ask(target, now)
        return effects

    def _send_digests(self, now: float) -> list[NodeEffect]:
        """Send the own load to one VM of each failure domain."""
        digest = self.load_digest(now)
        self.digests.take(digest, now)
        listed = self.membership.listed_by_name.values()
        endpoints = one_vm_a_domain(listed, me=self.vm, random=self.random)
        return [SendToPeer(message=digest, to=endpoint) for endpoint in endpoints]

    def load_digest(self, now: float) -> LoadDigest:
        """Sum up the own load."""
        return LoadDigest(
            sender=self.vm,
            failure_domain=self.failure_domain,
            configuration_version=self.version,
            loads=sum_up_loads(self.dispatchers_by_service, now),
        )

    def _headroom_targets(self) -> list[HeadroomTarget]:
        """Choose an entry VM for each shift out of the own region."""
        chosen = [
            self._target_of(metered.shift.service, metered.shift.to_region)
            for metered in self.meter.counts_by_id().values()
        ]
        return [each for each in chosen if each is not None]

    def _target_of(self, service: str, region: str) -> HeadroomTarget | None:
        if self.configuration is None:
            return None
        domains = self.configuration.domains_of(region)
        fitting = [
            HeadroomTarget(
                service=service,
                region=region,
                caller_endpoint=listed.caller_endpoint,
                peer_endpoint=listed.peer_endpoint,
            )
            for listed in self.membership.listed_by_name.values()
            if listed.failure_domain in domains
            and not listed.leaving
            and listed.name not in self.drained_vms
            and listed.caller_endpoint is not None
            and listed.peer_endpoint is not None
        ]
        return self.random.choice(fitting) if fitting else None

    def take_headroom_request(
        self, request: HeadroomRequest, reply_to: Endpoint, now: float
    ) -> list[NodeEffect]:
        """Promise headroom, unless this VM refuses requests."""
        dispatcher = self.dispatchers_by_service.get(request.service)
        if dispatcher is None or not self.accepts(now):
            return []
        return [*self.headroom.answer(request, dispatcher, reply_to, now)]

    def wake_from_pause(self, *, now: float, wall: float) -> list[NodeEffect]:
        """Distrust what was agreed before the process stood still."""
        self.shares.distrust(now)
        self.headroom.grants.drop_all()
        effects: list[NodeEffect] = []
        for service in self.dispatchers_by_service:
            effects += self.take_dispatch(service, dispatch.Paused(), now)
        effects += self.take_membership(membership.Paused(), now=now, wall=wall)
        return effects

    def _update_shares(self, now: float) -> list[NodeEffect]:
        if self.configuration is None:
            return []
        effects: list[NodeEffect] = []
        for service, dispatcher in self.dispatchers_by_service.items():
            declared = self.configuration.services_by_name.get(service)
            if declared is None or declared.slot_sharing is SlotSharing.REPORTED:
                continue
            longest_s = declared.longest_timeout_ms / 1000
            grew = False
            for upstream in dispatcher.upstreams_by_name.values():
                if isinstance(upstream.ledger, SlotLedger):
                    grew |= self.shares.update(
                        upstream.name,
                        upstream.ledger,
                        longest_work_s=longest_s,
                        now=now,
                    )
            if grew:
                effects += self.take_dispatch(service, dispatch.TimePassed(), now)
        return effects

    def readiness(self) -> Readiness:
        """What this VM says of itself."""
        if self.leave.is_leaving or self.vm in self.drained_vms:
            return Readiness.LEAVING
        if self.configuration is None or self._lacks_list():
            return Readiness.STARTING
        overloaded = any(
            len(each.queue) > OVERLOADED_SHARE * each.queue.limit
            for each in self.dispatchers_by_service.values()
        )
        return Readiness.OVERLOADED if overloaded else Readiness.READY

    def _lacks_list(self) -> bool:
        """Tell whether upstreams come from a list that was never read."""
        return self.needs_list and self.list_read_at is None

    def heartbeat(self, *, now: float, left: bool = False) -> Heartbeat:
        """Make the next heartbeat.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        left : bool
            Whether it is the last one, after which nothing of this process runs.
        """
        self._sequence += 1
        return Heartbeat(
            sender=self.vm,
            incarnation=self.incarnation,
            sequence=self._sequence,
            failure_domain=self.failure_domain,
            caller_endpoint=self.caller_endpoint,
            peer_endpoint=self.peer_endpoint,
            readiness=Readiness.LEFT if left else self.readiness(),
            view_digest=self.membership.view_digest(),
            over_share=self._over_share(now),
            configuration_version=self.version,
            head_read_ago_ms=self.head.ago_ms(now),
        )

    def _over_share(self, now: float) -> tuple[str, ...]:
        names = [
            upstream.name
            for dispatcher in self.dispatchers_by_service.values()
            for upstream in dispatcher.upstreams_by_name.values()
            if upstream.ledger.is_over_share(now)
        ]
        if len(names) > MAX_OVER_SHARE_NAMED:
            return (EVERY_UPSTREAM,)
        return tuple(names)

    def _refresh_steering(self, now: float) -> None:
        if self.steering is None:
            return
        entries = {
            vm.name: vm
            for listed in self.membership.listed_by_name.values()
            if (vm := self._listed_entry(listed)) is not None
        }
        for member in self.membership.members_by_name.values():
            if member.caller_endpoint is None:
                continue
            usable = (
                member.readiness is Readiness.READY
                and not member.listed_leaving
                and member.name not in self.drained_vms
                and not self.membership.is_silent(member, now)
            )
            entries[member.name] = EntryVm(
                name=member.name,
                failure_domain=member.failure_domain or self.failure_domain,
                endpoint=member.caller_endpoint,
                usable=usable,
            )
        entries[self.vm] = EntryVm(
            name=self.vm,
            failure_domain=self.failure_domain,
            endpoint=self.caller_endpoint,
            usable=self.readiness() is Readiness.READY,
        )
        self.steering.use_vms(entries.values())

    def home_of(self, vm: str) -> Endpoint | None:
        """Give the caller listener of an entry VM by its name."""
        member = self.membership.members_by_name.get(vm)
        if member is not None and member.caller_endpoint is not None:
            return member.caller_endpoint
        listed = self.membership.listed_by_name.get(vm)
        return listed.caller_endpoint if listed is not None else None

    def _listed_entry(self, listed: ListedVm) -> EntryVm | None:
        if listed.kind is not VmKind.ENTRY or listed.caller_endpoint is None:
            return None
        return EntryVm(
            name=listed.name,
            failure_domain=listed.failure_domain,
            endpoint=listed.caller_endpoint,
            usable=not listed.leaving and listed.name not in self.drained_vms,
        )
