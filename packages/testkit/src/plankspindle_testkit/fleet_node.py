"""Builders of an entry VM's node in a large fleet, for tests and benchmarks."""

from __future__ import annotations

from random import Random

from attrs import frozen

from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.configuration.configuration import FailureDomain
from plankspindle_core.configuration.distances import Distances
from plankspindle_core.configuration.service import Service
from plankspindle_core.configuration.service import SlotSharing
from plankspindle_core.configuration.upstream import Upstream
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.idempotency.issued_ids import IssuedIds
from plankspindle_daemon.leaving.leave import Leave
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.membership.membership_options import MembershipOptions
from plankspindle_daemon.membership.messages import HeartbeatReceived
from plankspindle_daemon.membership.messages import LiveListRead
from plankspindle_daemon.node.node import Node
from plankspindle_daemon.peer_messages.heartbeat import Heartbeat
from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_testkit.versions import build_version

REGIONS = ("bratislava", "kosice", "zilina")
FAILURE_DOMAINS_PER_REGION = 3
SLOTS = 9
UPSTREAMS_PER_SMALL_SERVICE_UPSTREAM = 8
"""One of this many upstreams belongs to the smaller of the two services."""
WALL_TIME_S = 1_000.0


@frozen(kw_only=True)
class Fleet:
    """Size of a deployment in nine failure domains of three regions.

    Parameters
    ----------
    vms, upstreams : int
        Numbers of entry VMs and upstreams, spread evenly over the failure domains.
    """

    vms: int
    upstreams: int

    def failure_domain(self, number: int) -> str:
        """Return the failure domain of a VM or upstream by its number."""
        region = REGIONS[number % len(REGIONS)]
        return f"{region}-{number // len(REGIONS) % FAILURE_DOMAINS_PER_REGION}"

    def vm_name(self, number: int) -> str:
        """Return the name of an entry VM."""
        return f"vm-{number:04}"

    def live_list(self) -> list[ListedVm]:
        """Return the platform's list of upstreams and entry VMs."""
        return [
            *(self._listed_upstream(number) for number in range(self.upstreams)),
            *(self.listed_entry_vm(number) for number in range(self.vms)),
        ]

    def _listed_upstream(self, number: int) -> ListedVm:
        is_small = number % UPSTREAMS_PER_SMALL_SERVICE_UPSTREAM == 0
        return ListedVm(
            name=f"u{number}",
            kind=VmKind.UPSTREAM,
            failure_domain=self.failure_domain(number),
            upstream=Upstream(
                service="documents" if is_small else "registry",
                failure_domain=self.failure_domain(number),
                endpoint=Endpoint(f"10.9.{number // 250}.{number % 250 + 1}", 9000),
                slots=SLOTS,
            ),
            incarnation=1,
        )

    def listed_entry_vm(self, number: int) -> ListedVm:
        """Return the entry of an entry VM in the platform's list."""
        host = f"10.0.{number // 250}.{number % 250 + 1}"
        return ListedVm(
            name=self.vm_name(number),
            kind=VmKind.ENTRY,
            failure_domain=self.failure_domain(number),
            caller_endpoint=Endpoint(host, 7000),
            peer_endpoint=Endpoint(host, 7002),
        )

    def heartbeat(
        self, number: int, *, sequence: int, is_watched: bool = False
    ) -> Heartbeat:
        """Build a heartbeat of an entry VM."""
        listed = self.listed_entry_vm(number)
        assert listed.caller_endpoint is not None
        assert listed.peer_endpoint is not None
        return Heartbeat(
            sender=listed.name,
            incarnation=1,
            sequence=sequence,
            failure_domain=listed.failure_domain,
            caller_endpoint=listed.caller_endpoint,
            peer_endpoint=listed.peer_endpoint,
            readiness=Readiness.READY,
            view_digest=0,
            over_share=(),
            configuration_version=build_version(1),
            is_watched=is_watched,
        )

    def membership(self, number: int) -> Membership:
        """Build the membership of an entry VM, without members."""
        return Membership(
            options=MembershipOptions(
                vm=self.vm_name(number),
                failure_domain=self.failure_domain(number),
                incarnation=1,
                heartbeat_s=0.5,
                suspect_after_s=2.0,
                all_domains=True,
            )
        )

    def configuration(self) -> Configuration:
        """Build a configuration of two services whose upstreams report their load."""
        return Configuration(
            failure_domains_by_name={
                self.failure_domain(number): FailureDomain(region=REGIONS[number % 3])
                for number in range(len(REGIONS) * FAILURE_DOMAINS_PER_REGION)
            },
            distances=Distances(between_failure_domains_ms=0.5, between_regions_ms=35),
            priority_classes=["gold", "bronze"],
            services_by_name={
                name: Service(
                    slot_sharing=SlotSharing.REPORTED,
                    retry_percent=20,
                    retry_burst=400,
                    cold_requests_per_s=2.0,
                    cold_ms=3_000,
                )
                for name in ("registry", "documents")
            },
        )


def build_empty_node(fleet: Fleet) -> Node:
    """Build the node of entry VM 0 of a fleet, just started."""
    own = fleet.listed_entry_vm(0)
    assert own.caller_endpoint is not None
    assert own.peer_endpoint is not None
    return Node(
        vm=own.name,
        failure_domain=own.failure_domain,
        caller_endpoint=own.caller_endpoint,
        peer_endpoint=own.peer_endpoint,
        incarnation=1,
        random=Random(1),
        membership=fleet.membership(0),
        ids=IssuedIds(
            vm=own.name,
            incarnation=1,
            secret=b"s" * 32,
            ttl_s=60.0,
            retention_s=60.0,
            max_retained=10_000,
        ),
        leave=Leave(leave_s=60.0),
        needs_list=True,
        shared_read_period_s=1.3,
        probe_period_s=1.0,
        started_at=0.0,
        settle_s=2.0,
    )


def build_fleet_node(fleet: Fleet, *, now: float) -> Node:
    """Build the node of entry VM 0 of a fleet, with heartbeats from all other VMs.

    Parameters
    ----------
    fleet : Fleet
        Size of the deployment.
    now : float
        Monotonic seconds.
    """
    node = build_empty_node(fleet)
    node.adopt(fleet.configuration(), version=build_version(1), now=now)
    node.handle_membership(
        LiveListRead(tuple(fleet.live_list())), now=now, wall=WALL_TIME_S
    )
    for number in range(1, fleet.vms):
        event = HeartbeatReceived(fleet.heartbeat(number, sequence=1))
        node.handle_membership(event, now=now, wall=WALL_TIME_S)
    return node
