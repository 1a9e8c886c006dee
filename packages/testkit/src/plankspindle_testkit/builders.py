"""Builders of configurations, settings and daemon parts for tests and demo."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Any

from attrs import frozen

from plankspindle_core.configuration.caller import Caller
from plankspindle_core.configuration.caller import hash_api_key
from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.configuration.configuration import FailureDomain
from plankspindle_core.configuration.configuration import Site
from plankspindle_core.configuration.distances import Distances
from plankspindle_core.configuration.operation import Operation
from plankspindle_core.configuration.route import Route
from plankspindle_core.configuration.route import ServicePart
from plankspindle_core.configuration.service import Service
from plankspindle_core.configuration.upstream import Upstream
from plankspindle_core.configuration.workspace import Workspace
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.admission.priority_queue import PriorityQueue
from plankspindle_daemon.admission.ticket import Ticket
from plankspindle_daemon.dispatch.dispatcher import Dispatcher
from plankspindle_daemon.dispatch.domain_distances import DomainDistances
from plankspindle_daemon.dispatch.placement import Placement
from plankspindle_daemon.dispatch.spillover_limiter import SpilloverLimiter
from plankspindle_daemon.membership.member import Member
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.membership.membership_options import MembershipOptions
from plankspindle_daemon.sharing.reader_group import ReaderGroup
from plankspindle_daemon.upstreams.health import UpstreamHealth
from plankspindle_daemon.upstreams.health import Warm
from plankspindle_daemon.upstreams.reported_slots import ReportedSlots
from plankspindle_daemon.upstreams.slot_ledger import SlotLedger
from plankspindle_daemon.upstreams.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable

PEER_KEY = "00112233445566778899aabbccddeeff"
GOLD_KEY = "gold-key-of-a-dealer"
BRONZE_KEY = "bronze-key-of-a-desk"

REGISTRY_OPERATIONS = [
    Operation(
        method="GET",
        path_prefix="/plates",
        idempotent=True,
        timeout_ms=2_000,
        expected_ms=10,
    ),
    Operation(
        method="POST", path_prefix="/transfers", timeout_ms=5_000, expected_ms=20
    ),
    Operation(
        method="GET",
        path_prefix="/bytes",
        idempotent=True,
        timeout_ms=120_000,
        expected_ms=1_000,
    ),
]


def build_configuration(
    *,
    upstreams_by_name: dict[str, Upstream] | None = None,
    services_by_name: dict[str, Service] | None = None,
    **fields: Any,
) -> Configuration:
    """Build a small valid configuration: two regions, one service.

    Parameters
    ----------
    upstreams_by_name : dict of str to Upstream, optional
        One upstream with two slots if not given.
    services_by_name : dict of str to Service, optional
        The service ``registry`` if not given.
    **fields : object
        Any other field of the configuration.

    Returns
    -------
    Configuration
        Valid if the given fields are.
    """
    defaults: dict[str, Any] = {
        "failure_domains_by_name": {
            "ba-1": FailureDomain(region="bratislava"),
            "ba-2": FailureDomain(region="bratislava"),
            "ke-1": FailureDomain(region="kosice"),
        },
        "priority_classes": ["gold", "silver", "bronze"],
        "callers_by_name": {
            "dealer": build_caller(GOLD_KEY, "gold"),
            "desk": build_caller(BRONZE_KEY, "bronze"),
        },
        "sites_by_name": {
            "bratislava": Site(failure_domain="ba-1"),
            "kosice": Site(failure_domain="ke-1"),
        },
        "site_by_prefix": {"127.0.0.0/8": "bratislava", "10.2.0.0/16": "kosice"},
        "distances": Distances(
            between_failure_domains_ms=1.0,
            between_regions_ms=35.0,
            to_callers_ms=8.0,
        ),
    }
    defaults.update(fields)
    return Configuration(
        services_by_name=services_by_name or {"registry": build_service()},
        upstreams_by_name=(
            {"r1": build_upstream()} if upstreams_by_name is None else upstreams_by_name
        ),
        **defaults,
    )


def build_workspace(*keys: str, **fields: Any) -> Workspace:
    """Build a workspace with some API keys, and the given fields changed."""
    digests = [hash_api_key(key.encode()) for key in keys]
    return Workspace(**{"key_sha256s": digests, **fields})


def build_service(**fields: Any) -> Service:
    """Build the registry service, with the given fields changed."""
    defaults: dict[str, Any] = {
        "operations": REGISTRY_OPERATIONS,
        "default_class": "bronze",
    }
    return Service(**{**defaults, **fields})


def build_upstream(**fields: Any) -> Upstream:
    """Build an upstream of the registry, with the given fields changed."""
    defaults: dict[str, Any] = {
        "service": "registry",
        "failure_domain": "ba-1",
        "endpoint": Endpoint("127.0.0.1", 9001),
        "slots": 2,
    }
    return Upstream(**{**defaults, **fields})


def build_caller(key: str, priority_class: str) -> Caller:
    """Build a caller with an API key."""
    return Caller(priority_class=priority_class, key_sha256=hash_api_key(key.encode()))


@frozen(kw_only=True)
class VmAddresses:
    """Name, failure domain and loopback addresses of an entry VM.

    Parameters
    ----------
    name, failure_domain : str
        The VM, and the failure domain in which it is located.
    host : str
        Loopback address.
    base_port : int
        Port of the caller listener; operator and peer listeners use the next two.
    """

    name: str
    failure_domain: str
    host: str
    base_port: int

    @property
    def caller(self) -> Endpoint:
        """Caller listener."""
        return Endpoint(self.host, self.base_port)

    @property
    def operator(self) -> Endpoint:
        """Operator listener."""
        return Endpoint(self.host, self.base_port + 1)

    @property
    def peer(self) -> Endpoint:
        """Peer listener."""
        return Endpoint(self.host, self.base_port + 2)

    def list_entry(self, *, leaving: bool = False) -> dict[str, Any]:
        """Return its entry in the platform's list of VMs."""
        return {
            "name": self.name,
            "kind": "entry",
            "failure_domain": self.failure_domain,
            "leaving": leaving,
            "caller": str(self.caller),
            "peer": str(self.peer),
        }


def build_settings_mapping(
    addresses: VmAddresses, *, platform: Endpoint, **sections: Any
) -> dict[str, Any]:
    """Build the settings document of a daemon.

    Parameters
    ----------
    addresses : VmAddresses
        The VM.
    platform : Endpoint
        Address of the platform.
    **sections : object
        Further sections, such as ``timing``.

    Returns
    -------
    dict
        Content of the YAML file.
    """
    return {
        "vm": addresses.name,
        "failure_domain": addresses.failure_domain,
        "listen": {
            "caller": str(addresses.caller),
            "operator": str(addresses.operator),
            "peer": str(addresses.peer),
        },
        "platform": str(platform),
        "secrets": {"peer_keys": [PEER_KEY]},
        **sections,
    }


def build_ticket(number: int, **fields: Any) -> Ticket:
    """Build a ticket of the highest priority class with deadline 10 s."""
    defaults: dict[str, Any] = {
        "rank": 0,
        "operation": "GET /",
        "deadline": 10.0,
        "expected_s": 0.1,
    }
    return Ticket(id=number, **{**defaults, **fields})


def build_dispatcher(
    *, slots_by_upstream: dict[str, int], queue_limit: int = 100, vm: str = "a"
) -> Dispatcher:
    """Build a dispatcher with warm upstreams, whose share is all of their slots.

    Parameters
    ----------
    slots_by_upstream : dict of str to int
        Slots of each upstream.
    queue_limit : int
        Longest queue.
    vm : str
        Name of the entry VM.
    """
    random = Random(7)
    upstreams = {
        name: UpstreamState(
            name=name,
            upstream=build_upstream(slots=slots),
            health=UpstreamHealth(random=random, state=Warm()),
            ledger=SlotLedger(slots=slots, share=slots),
        )
        for name, slots in slots_by_upstream.items()
    }
    return Dispatcher(
        vm=vm,
        incarnation=1,
        random=random,
        queue=PriorityQueue(limit=queue_limit),
        probe_period_s=1.0,
        upstreams_by_name=upstreams,
    )


def build_reported_slots_dispatcher(*names: str) -> Dispatcher:
    """Build a dispatcher with upstreams that report their slots, one slot each.

    Parameters
    ----------
    *names : str
        Names of the upstreams, all in the home domain.
    """
    dispatcher = build_dispatcher(slots_by_upstream={})
    distances = DomainDistances(home_domain="ba-1")
    distances.set_configuration(build_configuration())
    dispatcher.placement = Placement(
        distances=distances, limiter=SpilloverLimiter(), random=Random(1)
    )
    dispatcher.placement.rankings.set_upstreams(dict.fromkeys(names, "ba-1"))
    for name in names:
        dispatcher.upstreams_by_name[name] = build_reported_slots_upstream(
            name, slots=1
        )
    return dispatcher


def build_membership(vm: str, *, all_domains: bool = False) -> Membership:
    """Build the membership of an entry VM, without members.

    Parameters
    ----------
    vm : str
        Name of the VM.
    all_domains : bool
        Whether entry VMs of all failure domains are members.
    """
    return Membership(
        options=MembershipOptions(
            vm=vm,
            failure_domain="ba-1",
            incarnation=1,
            heartbeat_s=0.5,
            suspect_after_s=2.0,
            all_domains=all_domains,
        )
    )


def build_member(
    name: str, *, failure_domain: str = "ba-1", last_heartbeat_at: float | None = None
) -> Member:
    """Build a member of a failure domain.

    Parameters
    ----------
    name, failure_domain : str
        Its name and failure domain.
    last_heartbeat_at : float, optional
        Monotonic time of its last heartbeat, in seconds.
    """
    return Member(
        name=name,
        peer_endpoint=Endpoint("127.0.0.1", 1),
        known_since=0.0,
        failure_domain=failure_domain,
        last_heartbeat_at=last_heartbeat_at,
    )


def build_reader_group(vm: str, names: Iterable[str]) -> ReaderGroup:
    """Build the reader group of an entry VM in its failure domain.

    Parameters
    ----------
    vm : str
        Name of the VM.
    names : iterable of str
        All entry VMs of the failure domain; the VM itself may be included.
    """
    membership = build_membership(vm)
    for name in names:
        if name != vm:
            membership.members_by_name[name] = build_member(name)
    return ReaderGroup(vm=vm, failure_domain="ba-1", membership=membership)


def build_route(**fields: Any) -> Route:
    """Build a route of the registry, with the given fields changed."""
    defaults: dict[str, Any] = {
        "host": "registry.example",
        "path_prefix": "/",
        "parts": [ServicePart(service="registry")],
        "priority_class": "gold",
        "idempotent": True,
    }
    return Route(**{**defaults, **fields})


def build_reported_slots_upstream(
    name: str, *, slots: int = 4, **fields: Any
) -> UpstreamState:
    """Build a warm upstream that reports its slots, so any entry VM may use it.

    Parameters
    ----------
    name : str
        Its name.
    slots : int
        Its slots.
    **fields : object
        Fields of the upstream in the configuration.
    """
    return UpstreamState(
        name=name,
        upstream=build_upstream(slots=slots, **fields),
        health=UpstreamHealth(random=Random(7), state=Warm(), needs_probe=False),
        ledger=ReportedSlots(slots=slots),
    )
