"""Entry VMs of the lab: the daemon's decision logic without its I/O."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define

from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.configuration.configuration import FailureDomain
from plankspindle_core.configuration.distances import Distances
from plankspindle_core.configuration.drain import Drain
from plankspindle_core.configuration.drain import DrainKind
from plankspindle_core.configuration.service import Service
from plankspindle_core.configuration.service import SlotSharing
from plankspindle_core.configuration.upstream import Upstream
from plankspindle_core.endpoint import Endpoint
from plankspindle_core.http.errors import ConnectFailed
from plankspindle_daemon.dispatch.service_registry import ServiceRegistry
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.membership.membership_options import MembershipOptions
from plankspindle_daemon.node.limited_dispatch import LimitedDispatch
from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.quarantine.quarantine import Quarantine
from plankspindle_daemon.quotas.quota_options import QuotaOptions
from plankspindle_daemon.quotas.quotas import Quotas
from plankspindle_daemon.reachability.relay_admission import RelayAdmission
from plankspindle_daemon.reachability.relay_selector import RelaySelector
from plankspindle_daemon.reachability.upstream_reach import UpstreamReach
from plankspindle_testkit.builders import build_member
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_testkit.lab.modelled_upstream import ModelledUpstream
    from plankspindle_testkit.lab.pattern import Pattern

RETRY_PERCENT = 20
RETRY_BURST = 60
"""Retry budget of a service, summed over all entry VMs."""
NEVER_S = 1e9
"""Suspicion timeout of entry VMs in seconds: never, as they send no heartbeats."""
_UNUSED_ENDPOINT = Endpoint("127.0.0.1", 1)


@define(kw_only=True)
class LabVm:
    """A simulated entry VM.

    Parameters
    ----------
    name, domain : str
        Name and failure domain.
    registry : ServiceRegistry
        Dispatchers of its services.
    quarantine : Quarantine
        Quarantine of requests that crash upstreams.
    limited : LimitedDispatch
        Dispatch subject to the rate limits that upstreams report.
    configuration : Configuration
        Configuration in force.
    reach : UpstreamReach
        Whether it reaches upstreams, as far as it knows.
    relays, relay_admission : RelaySelector, RelayAdmission
        Requests that other VMs serve for it, and the other way round.
    is_up : bool
        Whether it runs.
    cut_failure : ConnectFailed, optional
        How its connections to upstreams fail while it is cut off.
    was_cut_off : bool
        Whether it knew that it was cut off at the last tick.
    """

    name: str
    domain: str
    registry: ServiceRegistry
    quarantine: Quarantine
    limited: LimitedDispatch
    configuration: Configuration
    reach: UpstreamReach
    relays: RelaySelector
    relay_admission: RelayAdmission = Factory(RelayAdmission)
    is_up: bool = True
    cut_failure: ConnectFailed | None = None
    was_cut_off: bool = False

    @classmethod
    def start(
        cls,
        *,
        name: str,
        domain: str,
        pattern: Pattern,
        seed: int,
        now: float,
        drained: Iterable[str],
    ) -> LabVm:
        """Start an entry VM that has the configuration and its members.

        Parameters
        ----------
        name, domain : str
            Name and failure domain.
        pattern : Pattern
            Pattern of the run.
        seed : int
            Seed of its random choices.
        now : float
            Simulated time in seconds.
        drained : iterable of str
            Failure domains that are currently drained.
        """
        membership = _membership(name, pattern)
        registry = ServiceRegistry(
            vm=name,
            failure_domain=domain,
            incarnation=1,
            random=Random(seed),
            membership=membership,
            probe_period_s=1.0,
            ramping_from=now,
        )
        quarantine = Quarantine.create(name, domain, membership)
        quotas = Quotas(
            vm=name,
            failure_domain=domain,
            endpoint=peer_endpoint_of(name),
            incarnation=Random(seed).getrandbits(63),
            started_at=now,
            random=Random(seed),
            membership=membership,
            options=QuotaOptions(),
        )
        vm = cls(
            name=name,
            domain=domain,
            registry=registry,
            quarantine=quarantine,
            limited=LimitedDispatch(services=registry, quotas=quotas),
            configuration=configuration_of(pattern, drained),
            reach=UpstreamReach(services=registry, random=Random(seed)),
            relays=RelaySelector(
                failure_domain=domain, membership=membership, random=Random(seed)
            ),
        )
        vm.apply_pattern(pattern, drained, now)
        return vm

    def apply_pattern(
        self, pattern: Pattern, drained: Iterable[str], now: float
    ) -> None:
        """Apply the configuration of a pattern with the current drains."""
        configuration = self.configuration = configuration_of(pattern, drained)
        version = int(now * 1000) + 2
        self.limited.quotas.update_configuration(configuration)
        self.registry.apply_configuration(
            configuration, version=build_version(version), now=now, wall=now
        )
        self.registry.apply_drains(now=now, wall=now)

    def record_cut_off(self, vm: str, is_cut_off: bool) -> None:
        """Record what another VM says of itself in its heartbeats."""
        membership = self.registry.membership
        membership.members_by_name[vm].is_cut_off = is_cut_off
        membership.change_count += 1

    def read_list(
        self, upstreams: Iterable[ModelledUpstream], now: float, *, era: int
    ) -> None:
        """Read the list of upstreams in an era of the platform's store.

        Unresponsive ones stay listed for a while.
        """
        listed = [_listed(each) for each in upstreams if each.is_listed]
        self.registry.listed.record_era(era, now)
        self.registry.apply_list(listed, now=now, wall=now)


def peer_endpoint_of(vm: str) -> Endpoint:
    """Return the address of an entry VM for peer messages."""
    return Endpoint(vm, 1)


def vm_names(pattern: Pattern) -> dict[str, str]:
    """Return the failure domain of each entry VM of a pattern, by name."""
    return {
        f"{domain}-vm-{number}": domain
        for domain, count in pattern.vms_by_domain.items()
        for number in range(count)
    }


def _membership(name: str, pattern: Pattern) -> Membership:
    domain_by_name = vm_names(pattern)
    membership = Membership(
        options=MembershipOptions(
            vm=name,
            failure_domain=domain_by_name[name],
            incarnation=1,
            heartbeat_s=0.5,
            suspect_after_s=NEVER_S,
            all_domains=True,
        )
    )
    for other, domain in domain_by_name.items():
        if other != name:
            member = build_member(other, failure_domain=domain, last_heartbeat_at=0.0)
            member.peer_endpoint = peer_endpoint_of(other)
            member.readiness = Readiness.READY
            member.caller_endpoint = peer_endpoint_of(other)
            membership.members_by_name[other] = member
    return membership


def configuration_of(pattern: Pattern, drained: Iterable[str] = ()) -> Configuration:
    """Return the configuration of a pattern, with some failure domains drained."""
    return Configuration(
        failure_domains_by_name={
            domain: FailureDomain(region=region)
            for domain, region in pattern.region_by_domain.items()
        },
        distances=Distances(
            between_failure_domains_ms=pattern.between_domains_ms,
            between_regions_ms=pattern.between_regions_ms,
        ),
        priority_classes=["first", "second", "third"],
        services_by_name={
            name: Service(
                slot_sharing=SlotSharing.REPORTED,
                retry_percent=RETRY_PERCENT,
                retry_burst=RETRY_BURST,
                cold_requests_per_s=service.cold_requests_per_s,
                cold_ms=round(1000 * service.cold_s),
            )
            for name, service in pattern.services_by_name.items()
        },
        drains_by_id={
            f"drain-{domain}": Drain(kind=DrainKind.UPSTREAMS_OF_DOMAIN, name=domain)
            for domain in drained
        },
    )


def _listed(upstream: ModelledUpstream) -> ListedVm:
    return ListedVm(
        name=upstream.name,
        kind=VmKind.UPSTREAM,
        failure_domain=upstream.domain,
        upstream=Upstream(
            service=upstream.service_name,
            failure_domain=upstream.domain,
            endpoint=_UNUSED_ENDPOINT,
            slots=upstream.service.slots,
        ),
        cold_until=upstream.cold_until,
        incarnation=upstream.incarnation,
    )
