"""All decisions of one entry VM, without I/O."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import field

from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.invariants import check_invariant
from plankspindle_daemon.admission.caller_directory import CallerDirectory
from plankspindle_daemon.admission.class_queue import ClassQueue
from plankspindle_daemon.dispatch import messages as dispatch
from plankspindle_daemon.dispatch.dispatcher import Dispatcher
from plankspindle_daemon.idempotency.issued_ids import IssuedIds
from plankspindle_daemon.leaving.leave import Leave
from plankspindle_daemon.membership import messages as membership
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.membership.messages import EVERY_UPSTREAM
from plankspindle_daemon.membership.messages import Heartbeat
from plankspindle_daemon.membership.readiness import Readiness
from plankspindle_daemon.node.effects import BeginLeaving
from plankspindle_daemon.node.effects import NodeEffect
from plankspindle_daemon.node.effects import OfService
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.retries.retry_budget import RetryBudget
from plankspindle_daemon.shifts.shift_meter import ShiftMeter
from plankspindle_daemon.steering.steering import EntryVm
from plankspindle_daemon.steering.steering import Steering
from plankspindle_daemon.upstreams.health import Ramping
from plankspindle_daemon.upstreams.health import UpstreamHealth
from plankspindle_daemon.upstreams.health import Warm
from plankspindle_daemon.upstreams.slot_ledger import SlotLedger
from plankspindle_daemon.upstreams.slot_share import share_of
from plankspindle_daemon.upstreams.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_core.configuration.upstream import Upstream
    from plankspindle_daemon.dispatch.messages import DispatchEvent
    from plankspindle_daemon.membership.messages import MembershipEffect
    from plankspindle_daemon.membership.messages import MembershipEvent
    from plankspindle_daemon.platform.live_list import ListedVm
    from plankspindle_daemon.upstreams.messages import SlotRequest

OVERLOADED_SHARE = 0.5
"""Share of a queue's limit from which on look-ups do not name this VM."""
MAX_OVER_SHARE_NAMED = 16


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
    probe_s : float
        Period of reading load reports, in seconds.
    started_at : float
        Monotonic seconds.
    settle_s : float
        Time for which a new process listens for peers before it takes slots, in
        seconds. A list that was read does not shorten it: it may lack VMs that still
        run.

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
    configuration: Configuration | None = None
    version: int = 0
    adopted_at: float | None = None
    directory: CallerDirectory | None = None
    steering: Steering | None = None
    meter: ShiftMeter = Factory(lambda: ShiftMeter.create(region=None))
    dispatchers_by_service: dict[str, Dispatcher] = Factory(dict)
    budgets_by_service: dict[str, RetryBudget] = Factory(dict)
    list_read_at: float | None = None
    settling_since: float = field(init=False)
    _sequence: int = 0
    _next_refresh: float = field(default=0.0)

    def __attrs_post_init__(self) -> None:
        self.settling_since = self.started_at

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
        self.adopted_at = now
        check_invariant("configuration-never-reverts", self.version > before)
        self.directory = CallerDirectory(configuration=configuration)
        self.steering = Steering(
            configuration=configuration, home_domain=self.failure_domain
        )
        region = configuration.region_of(self.failure_domain)
        if region != self.meter.region:
            self.meter = ShiftMeter.create(region=region)
        self.meter.use_shifts(configuration.shifts_by_id)
        self._use_services(configuration, now)
        self._refresh_steering()
        return self._update_shares(now)

    def _use_services(self, configuration: Configuration, now: float) -> None:
        for name, service in configuration.services_by_name.items():
            dispatcher = self.dispatchers_by_service.get(name)
            if dispatcher is None:
                dispatcher = self._new_dispatcher(service.queue_limit)
                self.dispatchers_by_service[name] = dispatcher
            dispatcher.queue.limit = service.queue_limit
            budget = self.budgets_by_service.setdefault(
                name, RetryBudget(percent=service.retry_percent)
            )
            budget.percent = service.retry_percent
            declared = {
                key: upstream
                for key, upstream in configuration.upstreams_by_name.items()
                if upstream.service == name
                and upstream.failure_domain == self.failure_domain
            }
            self._use_upstreams(dispatcher, declared, now)

    def _new_dispatcher(self, queue_limit: int) -> Dispatcher:
        return Dispatcher(
            vm=self.vm,
            incarnation=self.incarnation,
            random=Random(self.random.getrandbits(64)),
            queue=ClassQueue(limit=queue_limit),
            probe_s=self.probe_s,
        )

    def _use_upstreams(
        self, dispatcher: Dispatcher, declared: dict[str, Upstream], now: float
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
                by_name[name] = self._new_upstream(dispatcher, name, upstream, now)

    def _new_upstream(
        self, dispatcher: Dispatcher, name: str, upstream: Upstream, now: float
    ) -> UpstreamState:
        is_cold = self.version > 1 and now - self.started_at > self.settle_s
        return UpstreamState(
            name=name,
            upstream=upstream,
            health=UpstreamHealth(
                random=dispatcher.random,
                state=Ramping(now) if is_cold else Warm(),
            ),
            ledger=SlotLedger(slots=upstream.slots),
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
            effects += self._take_effect(effect)
        if isinstance(event, membership.LiveListRead):
            self.list_read_at = now
            self._take_listed_upstreams(event.vms, now=now, wall=wall)
            self._refresh_steering()
        return [*effects, *self._update_shares(now)]

    def _take_effect(self, effect: MembershipEffect) -> list[NodeEffect]:
        match effect:
            case membership.SendHeartbeat():
                return [effect]
            case membership.ToldToLeave(reason=reason):
                return [BeginLeaving(reason)]
            case membership.ViewChanged():
                self._refresh_steering()
                return []

    def _take_listed_upstreams(
        self, vms: Iterable[ListedVm], *, now: float, wall: float
    ) -> None:
        listed_by_name = {
            each.name: each for each in vms if each.kind is VmKind.UPSTREAM
        }
        for dispatcher in self.dispatchers_by_service.values():
            for name, upstream in dispatcher.upstreams_by_name.items():
                listed = listed_by_name.get(name)
                if listed is not None:
                    upstream.note_listed(
                        leaving=listed.leaving,
                        leaves_at=listed.leaves_at,
                        now=now,
                        wall=wall,
                    )

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
            self._next_refresh = now + 0.25
            self._refresh_steering()
            self.ids.expire(now)
        return effects

    def wake_from_pause(self, *, now: float, wall: float) -> list[NodeEffect]:
        """Distrust what was agreed before the process stood still."""
        self.settling_since = now
        effects: list[NodeEffect] = []
        for service in self.dispatchers_by_service:
            effects += self.take_dispatch(service, dispatch.Paused(), now)
        effects += self.take_membership(membership.Paused(), now=now, wall=wall)
        return effects

    def _update_shares(self, now: float) -> list[NodeEffect]:
        if self.configuration is None:
            return []
        members = self.membership.view()
        effects: list[NodeEffect] = []
        for service, dispatcher in self.dispatchers_by_service.items():
            declared = self.configuration.services_by_name.get(service)
            if declared is None:
                continue
            longest_s = declared.longest_timeout_ms / 1000
            grew = False
            for upstream in dispatcher.upstreams_by_name.values():
                grew |= self._update_share(upstream, members, longest_s, now)
            if grew:
                effects += self.take_dispatch(service, dispatch.TimePassed(), now)
        return effects

    def _update_share(
        self,
        upstream: UpstreamState,
        members: tuple[str, ...],
        longest_s: float,
        now: float,
    ) -> bool:
        ledger = upstream.ledger
        target = share_of(
            vm=self.vm, members=members, upstream=upstream.name, slots=ledger.slots
        )
        ledger.shrink_share(target)
        if target <= ledger.share or not self._has_settled(now):
            return False
        if not self.membership.may_grow(
            upstream.name, now=now, longest_work_s=longest_s
        ):
            return False
        ledger.grow_share(target)
        return True

    def _has_settled(self, now: float) -> bool:
        return now - self.settling_since >= self.settle_s

    def readiness(self) -> Readiness:
        """What this VM says of itself."""
        if self.leave.is_leaving:
            return Readiness.LEAVING
        if self.configuration is None:
            return Readiness.STARTING
        overloaded = any(
            len(each.queue) > OVERLOADED_SHARE * each.queue.limit
            for each in self.dispatchers_by_service.values()
        )
        return Readiness.OVERLOADED if overloaded else Readiness.READY

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

    def _refresh_steering(self) -> None:
        if self.steering is None:
            return
        entries = {
            vm.name: vm
            for listed in self.membership.listed_by_name.values()
            if (vm := _listed_entry(listed)) is not None
        }
        for member in self.membership.members_by_name.values():
            if member.caller_endpoint is None:
                continue
            usable = member.readiness is Readiness.READY and not member.listed_leaving
            entries[member.name] = EntryVm(
                name=member.name,
                failure_domain=self.failure_domain,
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

    def peer_in_region(self, region: str) -> Endpoint | None:
        """Choose an entry VM of another region, as far as the list knows them."""
        if self.configuration is None:
            return None
        fitting = [
            listed.caller_endpoint
            for listed in self.membership.listed_by_name.values()
            if listed.kind is VmKind.ENTRY
            and not listed.leaving
            and listed.caller_endpoint is not None
            and self.configuration.region_of(listed.failure_domain) == region
        ]
        return self.random.choice(sorted(fitting)) if fitting else None

    def home_of(self, vm: str) -> Endpoint | None:
        """Give the caller listener of an entry VM by its name."""
        member = self.membership.members_by_name.get(vm)
        if member is not None and member.caller_endpoint is not None:
            return member.caller_endpoint
        listed = self.membership.listed_by_name.get(vm)
        return listed.caller_endpoint if listed is not None else None


def _listed_entry(listed: ListedVm) -> EntryVm | None:
    if listed.kind is not VmKind.ENTRY or listed.caller_endpoint is None:
        return None
    return EntryVm(
        name=listed.name,
        failure_domain=listed.failure_domain,
        endpoint=listed.caller_endpoint,
        usable=not listed.leaving,
    )
