"""Addresses of the daemons, stand-ins and link proxies of a soak."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define

from plankspindle_core.configuration.drain import Drain
from plankspindle_core.configuration.drain import DrainKind
from plankspindle_core.configuration.operation import Operation
from plankspindle_core.endpoint import Endpoint
from plankspindle_testkit.builders import VmAddresses
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_service
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.loopback_network import loopback_host
from plankspindle_testkit.soak.link_proxy import LinkProxy

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_core.configuration.configuration import Configuration

FIRST_PORT = 20_000
PORTS_PER_VM = 10
SLOTS = 8
UPSTREAMS_PER_DOMAIN = 3
TIMEOUT_MS = 2_000
SERVICE = "registry"


@define(kw_only=True)
class Layout:
    """Addresses and configuration of a soak.

    Parameters
    ----------
    vms : int
        Number of entry VMs, in two failure domains of different regions.
    first_port : int
        First port of the soak.
    slots : int
        Concurrent requests of each upstream.

    Notes
    -----
    There is one proxy for each upstream, and two for each VM: in front of its caller
    listener and between it and the platform. Messages between VMs pass no proxy, since
    VMs announce their own addresses.
    """

    vms: int
    first_port: int = FIRST_PORT
    slots: int = SLOTS
    places: list[VmAddresses] = Factory(list)
    proxies_by_link: dict[str, LinkProxy] = Factory(dict)
    upstream_endpoints: dict[str, Endpoint] = Factory(dict)

    def __attrs_post_init__(self) -> None:
        for number in range(self.vms):
            domain = ("ba-1", "ke-1")[number % 2]
            port = self.first_port + 100 + PORTS_PER_VM * number
            place = VmAddresses(
                name=f"{domain}-{number}",
                failure_domain=domain,
                host=loopback_host(12, 1),
                base_port=port,
            )
            self.places.append(place)
            self._add_proxy("caller", place.name, place.caller)
            self._add_proxy("store", place.name, self.platform)
        for number in range(UPSTREAMS_PER_DOMAIN):
            for domain in ("ba-1", "ke-1"):
                name = f"u{number}-{domain}"
                port = self.first_port + 50 + len(self.upstream_endpoints)
                self.upstream_endpoints[name] = Endpoint(loopback_host(12, 2), port)
                self._add_proxy("upstream", name, self.upstream_endpoints[name])

    @property
    def platform(self) -> Endpoint:
        """Address of the platform stand-in."""
        return Endpoint(loopback_host(12, 3), self.first_port)

    def _add_proxy(self, link: str, name: str, target: Endpoint) -> None:
        port = self.first_port + 5_000 + len(self.proxies_by_link)
        endpoint = Endpoint(loopback_host(12, 4), port)
        proxy = LinkProxy(endpoint=endpoint, target=target)
        self.proxies_by_link[f"{link}:{name}"] = proxy

    def proxy_endpoint(self, link: str, name: str) -> Endpoint:
        """Return the address of the proxy of a link."""
        return self.proxies_by_link[f"{link}:{name}"].endpoint

    def configuration(
        self, version: int = 0, *, drained: Iterable[str] = ()
    ) -> Configuration:
        """Build a configuration; versions differ in the timeout of operations.

        Parameters
        ----------
        version : int
            Milliseconds that are added to the timeout.
        drained : iterable of str
            Drained upstreams.
        """
        operations = [
            Operation(method="GET", timeout_ms=TIMEOUT_MS + version, expected_ms=20),
            Operation(
                method="POST",
                timeout_ms=TIMEOUT_MS + version,
                expected_ms=20,
                idempotent=False,
            ),
        ]
        upstreams = {
            name: build_upstream(
                endpoint=self.proxy_endpoint("upstream", name),
                slots=self.slots,
                failure_domain=name.split("-", 1)[1],
            )
            for name in self.upstream_endpoints
        }
        return build_configuration(
            services_by_name={SERVICE: build_service(operations=operations)},
            upstreams_by_name=upstreams,
            drains_by_id={
                drain_id_of(name): Drain(kind=DrainKind.UPSTREAM, name=name)
                for name in drained
            },
        )


def drain_id_of(upstream: str) -> str:
    """Return the id of the drain of an upstream."""
    return f"soak-{upstream}"
