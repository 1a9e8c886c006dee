"""Configured services, with their dispatchers, upstreams and retry budgets."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.configuration.service import SlotSharing
from plankspindle_daemon.admission.priority_queue import PriorityQueue
from plankspindle_daemon.dispatch.cold_rate_limits import ColdRateLimits
from plankspindle_daemon.dispatch.dispatcher import Dispatcher
from plankspindle_daemon.dispatch.domain_distances import DomainDistances
from plankspindle_daemon.dispatch.messages import StatementReceived
from plankspindle_daemon.dispatch.placement import Placement
from plankspindle_daemon.dispatch.region_capacity import RegionCapacity
from plankspindle_daemon.dispatch.spillover_limiter import SpilloverLimiter
from plankspindle_daemon.dispatch.upstream_factory import UpstreamFactory
from plankspindle_daemon.dispatch.version_counts import ListedVersion
from plankspindle_daemon.dispatch.version_counts import VersionCounts
from plankspindle_daemon.dispatch.version_routing import count_listed
from plankspindle_daemon.drains.drain_schedule import DrainSchedule
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.platform.listed_upstreams import ListedUpstreams
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.retries.retry_budget import RetryBudget
from plankspindle_daemon.upstreams.fleet_limiter import FleetLimiter
from plankspindle_daemon.upstreams.statement_store import StatementStore
from plankspindle_daemon.versions.configuration_version import NO_VERSION
from plankspindle_daemon.versions.configuration_version import ConfigurationVersion

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_core.configuration.service import Service
    from plankspindle_core.configuration.upstream import Upstream
    from plankspindle_daemon.dispatch.messages import DispatchEffect
    from plankspindle_daemon.dispatch.messages import DispatchEvent
    from plankspindle_daemon.dispatch.version_split import VersionSplit
    from plankspindle_daemon.platform.live_list import ListedVm

OVERLOADED_QUEUE_SHARE = 0.5
"""Share of the queue limit above which lookups do not return this VM."""
MIN_ASSUMED_ENTRY_VMS = 3
"""Entry VMs assumed to share fleet-wide limits before heartbeats of others arrive."""


@define(kw_only=True)
class ServiceRegistry:
    """Services of one entry VM.

    Parameters
    ----------
    vm, failure_domain : str
        This VM and its failure domain.
    incarnation : int
        Incarnation number of this process.
    random : Random
        Seeded source of all random choices.
    membership : Membership
        Entry VMs that share fleet-wide limits.
    probe_period_s : float
        Period at which load reports are read, in seconds.
    ramping_from : float
        Monotonic time in seconds. An upstream that is added earlier is assumed to be
        new only to this VM, which just started; a later one has newly started.

    Attributes
    ----------
    listed : ListedUpstreams
        Upstreams of the platform's list.
    fleet_limiter_by_incarnation : dict of str to FleetLimiter
        Rate limits over all entry VMs that upstreams stated.
    statements : StatementStore
        What upstreams stated about themselves.
    drains : DrainSchedule
        Drains of the current configuration.
    dispatchers_by_service, budgets_by_service : dict
        Dispatcher and retry budget of each service.
    """

    vm: str
    failure_domain: str
    incarnation: int
    random: Random
    membership: Membership
    probe_period_s: float
    ramping_from: float
    listed: ListedUpstreams = Factory(ListedUpstreams)
    fleet_limiter_by_incarnation: dict[str, FleetLimiter] = Factory(dict)
    statements: StatementStore = Factory(StatementStore)
    drains: DrainSchedule = Factory(DrainSchedule)
    limiter: SpilloverLimiter = Factory(SpilloverLimiter)
    distances: DomainDistances = field(init=False)
    region_capacity: RegionCapacity = field(init=False)
    dispatchers_by_service: dict[str, Dispatcher] = Factory(dict)
    budgets_by_service: dict[str, RetryBudget] = Factory(dict)
    _configuration: Configuration | None = None
    _version: ConfigurationVersion = NO_VERSION
    _had_drains: bool = False
    _updated_at: float = 0.0
    _cold_limits: ColdRateLimits = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._cold_limits = ColdRateLimits(vm=self.vm, membership=self.membership)
        self.distances = DomainDistances(home_domain=self.failure_domain)
        self.region_capacity = RegionCapacity(
            vm=self.vm,
            failure_domain=self.failure_domain,
            membership=self.membership,
            distances=self.distances,
            limiter=self.limiter,
        )

    def apply_configuration(
        self,
        configuration: Configuration,
        *,
        version: ConfigurationVersion,
        now: float,
        wall: float,
    ) -> None:
        """Apply the services and upstreams of a new configuration version.

        Parameters
        ----------
        configuration : Configuration
            The configuration.
        version : ConfigurationVersion
            The version.
        now : float
            Monotonic time in seconds.
        wall : float
            Seconds since the Unix epoch.
        """
        before = self._configuration
        self._configuration = configuration
        self._version = version
        self.distances.set_configuration(configuration)
        if before is not None and (
            before.failure_domains_by_name != configuration.failure_domains_by_name
        ):
            self._invalidate_regions()
        self.drains.apply_configuration(configuration, now)
        self._apply_services(configuration, now)
        self._apply_listed_state(self.listed.by_name.values(), now=now, wall=wall)

    def _invalidate_regions(self) -> None:
        self.region_capacity.invalidate()
        for dispatcher in self.dispatchers_by_service.values():
            dispatcher.rebuild_rankings()

    def apply_list(self, vms: Iterable[ListedVm], *, now: float, wall: float) -> None:
        """Apply the platform's list to the upstreams.

        Parameters
        ----------
        vms : iterable of ListedVm
            The complete list.
        now : float
            Monotonic time in seconds.
        wall : float
            Seconds since the Unix epoch.
        """
        self._updated_at = now
        listed = self.listed.current_of(vms, now)
        self.listed.apply(listed, now)
        if self._configuration is not None:
            self._apply_services(self._configuration, now)
        self._apply_listed_state(listed, now=now, wall=wall)

    def handle(
        self, service: str, event: DispatchEvent, now: float
    ) -> list[DispatchEffect]:
        """Pass an event to the dispatcher of a service, if there is one."""
        if isinstance(event, StatementReceived):
            # The upstream may have moved to another service after the request was sent.
            for each in self.dispatchers_by_service.values():
                each.apply_statement(event, now)
            return []
        dispatcher = self.dispatchers_by_service.get(service)
        return [] if dispatcher is None else dispatcher.handle(event, now)

    def set_version_split(
        self, service: str, split: VersionSplit | None, now: float
    ) -> None:
        """Set the shares of a service's requests by software version.

        Parameters
        ----------
        service : str
            Name of the service; nothing changes if it is not declared.
        split : VersionSplit, optional
            The shares; None if the software versions of upstreams do not matter.
        now : float
            Monotonic time in seconds.
        """
        self._updated_at = now
        dispatcher = self.dispatchers_by_service.get(service)
        if dispatcher is not None:
            dispatcher.set_version_split(split)

    def version_counts(self, service: str) -> VersionCounts:
        """Return the requests and answers of a service by software version."""
        dispatcher = self.dispatchers_by_service.get(service)
        if dispatcher is None:
            return VersionCounts()
        return dispatcher.versions.counts(dispatcher.upstreams_by_name.values())

    def listed_versions(self, service: str) -> dict[str, ListedVersion]:
        """Count the upstreams of a service by software version, at the last tick."""
        dispatcher = self.dispatchers_by_service.get(service)
        if dispatcher is None:
            return {}
        upstreams = dispatcher.upstreams_by_name.values()
        return count_listed(upstreams, self._updated_at)

    def service_of(self, upstream: str) -> str:
        """Return the service of a declared upstream; empty if it is not declared."""
        if self._configuration is None:
            return ""
        declared = self._configuration.upstreams_by_name.get(upstream)
        return declared.service if declared is not None else ""

    def is_overloaded(self) -> bool:
        """Return whether lookups should return other entry VMs."""
        return any(
            len(each.queue) > OVERLOADED_QUEUE_SHARE * each.queue.limit
            for each in self.dispatchers_by_service.values()
        )

    def upstreams_over_share(self, now: float) -> list[str]:
        """Return the names of upstreams on which this VM runs more than its share."""
        return [
            upstream.name
            for dispatcher in self.dispatchers_by_service.values()
            for upstream in dispatcher.upstreams_by_name.values()
            if upstream.ledger.is_over_share(now)
        ]

    def apply_drains(self, *, now: float, wall: float) -> None:
        """Withhold new requests from drained upstreams, and resume after a drain ends.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        wall : float
            Seconds since the Unix epoch.
        """
        if not self.drains.has_drains and not self._had_drains:
            return
        self._had_drains = self.drains.has_drains
        for service, dispatcher in self.dispatchers_by_service.items():
            for name, upstream in dispatcher.upstreams_by_name.items():
                was_drained = upstream.drained_at is not None
                upstream.drained_at = self.drains.upstream_drained_at(
                    name, upstream.upstream.failure_domain, now=now, wall=wall
                )
                if was_drained and upstream.drained_at is None:
                    # It received no requests while it was drained.
                    self._cold_limits.mark_cold(upstream, self._service(service), now)

    def update_region_capacity(self, now: float) -> None:
        """Update the capacity of the local region and of the others."""
        self._updated_at = now
        self.region_capacity.update(self.dispatchers_by_service.values(), now)

    def upstream_count(self) -> int:
        """Return the number of upstreams of all services."""
        dispatchers = self.dispatchers_by_service.values()
        return sum(len(each.upstreams_by_name) for each in dispatchers)

    def _apply_services(self, configuration: Configuration, now: float) -> None:
        for name, service in configuration.services_by_name.items():
            dispatcher = self.dispatchers_by_service.get(name)
            if dispatcher is None:
                dispatcher = self._new_dispatcher(service)
                self.dispatchers_by_service[name] = dispatcher
            dispatcher.queue.limit = service.queue_limit
            self._apply_budget(name, service)
            declared = self._declared_upstreams(configuration, name, service)
            self._apply_upstreams(dispatcher, service, declared, now)

    def _apply_budget(self, name: str, service: Service) -> None:
        budget = self.budgets_by_service.setdefault(
            name, RetryBudget(percent=service.retry_percent)
        )
        budget.percent = service.retry_percent
        others_count = len(self.membership.members_by_name)
        sharers = max(MIN_ASSUMED_ENTRY_VMS, others_count + 1)
        budget.burst = max(1.0, service.retry_burst / sharers)

    def _declared_upstreams(
        self, configuration: Configuration, name: str, service: Service
    ) -> dict[str, Upstream]:
        """Return the upstreams of a service that this VM may use, by name."""
        any_domain = service.slot_sharing is SlotSharing.REPORTED
        declared = dict(configuration.upstreams_by_name)
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
            queue=PriorityQueue(limit=service.queue_limit),
            probe_period_s=self.probe_period_s,
            shares_slots=not reported,
            fleet_limiter_by_incarnation=self.fleet_limiter_by_incarnation,
        )

    def _apply_upstreams(
        self,
        dispatcher: Dispatcher,
        service: Service,
        declared: dict[str, Upstream],
        now: float,
    ) -> None:
        factory = UpstreamFactory(
            limiter_by_incarnation=self.fleet_limiter_by_incarnation,
            statements=self.statements,
        )
        by_name = dispatcher.upstreams_by_name
        for name in set(by_name) - set(declared):
            by_name[name].leaving = True
            if by_name[name].ledger.in_flight == 0:
                del by_name[name]
        for name, upstream in declared.items():
            known = by_name.get(name)
            incarnation = self.listed.incarnation_of(name)
            if known is not None and known.is_same_incarnation(upstream, incarnation):
                known.incarnation = incarnation or known.incarnation
                known.upstream = upstream
                known.ledger.slots = upstream.slots
                known.ledger.shrink_share(upstream.slots)
                continue
            by_name[name] = factory.create(
                dispatcher,
                service,
                name=name,
                upstream=upstream,
                incarnation=incarnation,
                is_new=self._version.revision > 1 and now > self.ramping_from,
                now=now,
            )
            if known is not None:
                dispatcher.handle_upstream_restart(name)
                self._cold_limits.mark_cold(by_name[name], service, now)
        dispatcher.update_rankings()

    def _apply_listed_state(
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
                upstream.apply_listing(
                    leaving=listed.leaving,
                    leaves_at=listed.leaves_at,
                    now=now,
                    wall_time=wall,
                )
                if listed.cold_until > now:
                    declared = self._service(service)
                    self._cold_limits.mark_cold_until(
                        upstream, declared, listed.cold_until
                    )

    def _service(self, name: str) -> Service | None:
        if self._configuration is None:
            return None
        return self._configuration.services_by_name.get(name)
