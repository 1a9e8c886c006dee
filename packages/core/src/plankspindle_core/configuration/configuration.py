"""One complete version of the configuration."""

from __future__ import annotations

from ipaddress import ip_network

from attrs import Factory
from attrs import field
from attrs import validators

from plankspindle_core.classes import frozen
from plankspindle_core.configuration.caller import Caller
from plankspindle_core.configuration.distances import Distances
from plankspindle_core.configuration.drain import Drain
from plankspindle_core.configuration.drain import DrainKind
from plankspindle_core.configuration.rollout import Rollout
from plankspindle_core.configuration.route import Route
from plankspindle_core.configuration.service import Service
from plankspindle_core.configuration.shift import Shift
from plankspindle_core.configuration.upstream import Upstream
from plankspindle_core.configuration.workspace import Workspace

MAX_TOTAL_SHIFT_PERCENT = 100.0
_OPTIONAL_POSITIVE = validators.optional(validators.gt(0))


@frozen(kw_only=True)
class FailureDomain:
    """A part of a region whose VMs can fail together.

    Parameters
    ----------
    region : str
        Region that contains it.
    """

    region: str


@frozen(kw_only=True)
class Site:
    """The location that client blocks are steered to first.

    Parameters
    ----------
    failure_domain : str
        Failure domain whose entry VMs come first in the answer to a lookup.
    """

    failure_domain: str


@frozen(kw_only=True)
class CallerLimits:
    """Limits on the requests and connections of callers, set by operators.

    Parameters
    ----------
    max_header_bytes : int, optional
        Longest head of a request, in bytes.
    max_body_bytes : int, optional
        Longest body of a request, in bytes.
    header_timeout_ms : int, optional
        Longest time for the head of a request to arrive, in milliseconds.
    idle_timeout_ms : int, optional
        Longest time for which an idle connection is kept open, in milliseconds.

    Notes
    -----
    The settings of the daemon apply in place of what is not given; they do not limit
    the length of bodies.
    """

    max_header_bytes: int | None = field(default=None, validator=_OPTIONAL_POSITIVE)
    max_body_bytes: int | None = field(
        default=None, validator=validators.optional(validators.ge(0))
    )
    header_timeout_ms: int | None = field(default=None, validator=_OPTIONAL_POSITIVE)
    idle_timeout_ms: int | None = field(default=None, validator=_OPTIONAL_POSITIVE)


@frozen(kw_only=True)
class Configuration:
    """Services, upstreams, callers, routes, shifts and drains of one version.

    Parameters
    ----------
    failure_domains_by_name : dict of str to FailureDomain
        All failure domains.
    priority_classes : list of str
        Names of the classes, highest priority first.
    services_by_name : dict of str to Service
        All services.
    upstreams_by_name : dict of str to Upstream
        All upstreams.
    callers_by_name : dict of str to Caller
        Callers with an API key.
    workspaces_by_name : dict of str to Workspace
        Customers with API keys, quotas and home regions. If there are any, requests on
        routes that are not public need a key of one of them.
    sites_by_name : dict of str to Site
        Targets of client blocks.
    site_by_prefix : dict of str to str
        Site name by client block, such as ``10.1.0.0/16``.
    shifts_by_id : dict of str to Shift
        Confirmed shifts.
    drains_by_id : dict of str to Drain
        Confirmed drains.
    distances : Distances
        Declared one-way delays.
    routes_by_name : dict of str to Route
        Services that answer the requests for a host and path.
    rollouts_by_service : dict of str to Rollout
        Orders to move a service to another software version.
    caller_limits : CallerLimits
        Limits on the requests and connections of callers.
    """

    failure_domains_by_name: dict[str, FailureDomain]
    priority_classes: list[str]
    services_by_name: dict[str, Service] = Factory(dict)
    upstreams_by_name: dict[str, Upstream] = Factory(dict)
    callers_by_name: dict[str, Caller] = Factory(dict)
    sites_by_name: dict[str, Site] = Factory(dict)
    site_by_prefix: dict[str, str] = Factory(dict)
    shifts_by_id: dict[str, Shift] = Factory(dict)
    drains_by_id: dict[str, Drain] = Factory(dict)
    distances: Distances = Factory(Distances)
    routes_by_name: dict[str, Route] = Factory(dict)
    workspaces_by_name: dict[str, Workspace] = Factory(dict)
    rollouts_by_service: dict[str, Rollout] = Factory(dict)
    caller_limits: CallerLimits = Factory(CallerLimits)

    def region_of(self, failure_domain: str) -> str | None:
        """Return the region of a failure domain, or None if it is not declared."""
        found = self.failure_domains_by_name.get(failure_domain)
        return found.region if found else None

    def drains_of(
        self, *, failure_domain: str, vm: str | None = None, upstream: str | None = None
    ) -> dict[str, Drain]:
        """Return the drains that apply to an entry VM or an upstream, by id.

        Parameters
        ----------
        failure_domain : str
            Failure domain of the entry VM or upstream.
        vm, upstream : str, optional
            Name of the entry VM, or of the upstream.
        """
        if not self.drains_by_id:
            return {}
        names_by_kind = {
            DrainKind.REGION: self.region_of(failure_domain),
            DrainKind.FAILURE_DOMAIN: failure_domain,
            DrainKind.UPSTREAMS_OF_DOMAIN: None if upstream is None else failure_domain,
            DrainKind.VM: vm,
            DrainKind.UPSTREAM: upstream,
        }
        return {
            drain_id: drain
            for drain_id, drain in self.drains_by_id.items()
            if names_by_kind[drain.kind] == drain.name
        }

    def domains_of(self, region: str) -> set[str]:
        """Return the names of the failure domains of a region."""
        return {
            name
            for name, domain in self.failure_domains_by_name.items()
            if domain.region == region
        }

    def distance_ms(self, one: str, other: str) -> float:
        """Return the declared one-way delay between two failure domains.

        Parameters
        ----------
        one, other : str
            Names of failure domains.

        Returns
        -------
        float
            Delay in milliseconds; zero within one failure domain.
        """
        if one == other:
            return 0.0
        if self.region_of(one) == self.region_of(other):
            return self.distances.between_failure_domains_ms
        return self.distances.between_regions_ms

    def problems(self) -> list[str]:
        """Return all invalid references and limits.

        Returns
        -------
        list of str
            One sentence per problem, with the key; empty if the version is valid.
        """
        return [
            *self._class_problems(),
            *self._upstream_problems(),
            *self._block_problems(),
            *self._shift_problems(),
            *self._drain_problems(),
            *self._route_problems(),
            *self._workspace_problems(),
            *self._rollout_problems(),
        ]

    def _class_problems(self) -> list[str]:
        known = self.priority_classes
        found = [
            f"services.{name}.default_class: {service.default_class!r} is not declared"
            " in priority_classes"
            for name, service in self.services_by_name.items()
            if service.default_class not in (None, *known)
        ]
        found += [
            f"callers.{name}.priority_class: {caller.priority_class!r} is not declared"
            " in priority_classes"
            for name, caller in self.callers_by_name.items()
            if caller.priority_class not in known
        ]
        if len(set(known)) != len(known) or not known:
            found.append("priority_classes: name at least one class, each once")
        hashes = [each.key_sha256 for each in self.callers_by_name.values()]
        if len(set(hashes)) != len(hashes):
            found.append("callers: two callers have the same key_sha256")
        return found

    def _upstream_problems(self) -> list[str]:
        found = []
        for name, upstream in self.upstreams_by_name.items():
            if upstream.service not in self.services_by_name:
                found.append(
                    f"upstreams.{name}.service: {upstream.service!r} is not declared"
                )
            if upstream.failure_domain not in self.failure_domains_by_name:
                found.append(
                    f"upstreams.{name}.failure_domain: "
                    f"{upstream.failure_domain!r} is not declared"
                )
        return found

    def _block_problems(self) -> list[str]:
        found = []
        for name, site in self.sites_by_name.items():
            if site.failure_domain not in self.failure_domains_by_name:
                found.append(
                    f"sites.{name}.failure_domain: "
                    f"{site.failure_domain!r} is not declared"
                )
        for prefix, name in self.site_by_prefix.items():
            if name not in self.sites_by_name:
                found.append(f"client_blocks.{prefix}: site {name!r} is not declared")
            try:
                ip_network(prefix)
            except ValueError as error:
                found.append(f"client_blocks.{prefix}: {error}")
        return found

    def _shift_problems(self) -> list[str]:
        regions = {each.region for each in self.failure_domains_by_name.values()}
        found = []
        total_by_source: dict[tuple[str, str], float] = {}
        for name, shift in self.shifts_by_id.items():
            if shift.service not in self.services_by_name:
                found.append(
                    f"shifts.{name}.service: {shift.service!r} is not declared"
                )
            if {shift.from_region, shift.to_region} - regions:
                found.append(f"shifts.{name}: both regions must have a failure domain")
            if shift.from_region == shift.to_region:
                found.append(f"shifts.{name}: from_region and to_region are the same")
            source = (shift.service, shift.from_region)
            total = total_by_source.get(source, 0.0) + shift.cap_percent
            total_by_source[source] = total
            if total > MAX_TOTAL_SHIFT_PERCENT:
                found.append(f"shifts.{name}: shifts of one source pass 100 percent")
        return found

    def _drain_problems(self) -> list[str]:
        regions = {each.region for each in self.failure_domains_by_name.values()}
        known_by_kind = {
            DrainKind.REGION: regions,
            DrainKind.FAILURE_DOMAIN: set(self.failure_domains_by_name),
            DrainKind.UPSTREAMS_OF_DOMAIN: set(self.failure_domains_by_name),
            DrainKind.UPSTREAM: set(self.upstreams_by_name),
        }
        return [
            f"drains.{drain_id}.name: {drain.name!r} is not declared"
            for drain_id, drain in self.drains_by_id.items()
            if drain.kind in known_by_kind
            and drain.name not in known_by_kind[drain.kind]
        ]

    def _route_problems(self) -> list[str]:
        regions = {each.region for each in self.failure_domains_by_name.values()}
        found = []
        name_by_place: dict[tuple[str, str], str] = {}
        for name, route in self.routes_by_name.items():
            problems = route.problems()
            for part in route.parts:
                if part.service not in self.services_by_name:
                    problems.append(f"parts: service {part.service!r} is not declared")
            if route.priority_class not in self.priority_classes:
                problems.append(
                    f"priority_class: {route.priority_class!r} is not declared"
                )
            if set(route.home_regions) - regions:
                problems.append("home_regions: each must have a failure domain")
            other = name_by_place.setdefault((route.host, route.path_prefix), name)
            if other != name:
                problems.append(f"host and path_prefix are those of route {other!r}")
            found += [f"routes.{name}.{problem}" for problem in problems]
        return found

    def _workspace_problems(self) -> list[str]:
        regions = {each.region for each in self.failure_domains_by_name.values()}
        found = []
        name_by_digest = {
            caller.key_sha256: f"caller {name!r}"
            for name, caller in self.callers_by_name.items()
        }
        for name, workspace in self.workspaces_by_name.items():
            if workspace.priority_class not in (None, *self.priority_classes):
                found.append(
                    f"workspaces.{name}.priority_class: {workspace.priority_class!r} is"
                    " not declared in priority_classes"
                )
            if set(workspace.home_regions) - regions:
                found.append(
                    f"workspaces.{name}.home_regions: each must have a failure domain"
                )
            if name in self.callers_by_name:
                found.append(f"workspaces.{name}: a caller has the same name")
            for digest in workspace.key_sha256s:
                holder = name_by_digest.setdefault(digest, f"workspace {name!r}")
                if holder != f"workspace {name!r}":
                    found.append(
                        f"workspaces.{name}.key_sha256s: one key is that of {holder}"
                    )
        return found

    def _rollout_problems(self) -> list[str]:
        found = []
        for service, rollout in self.rollouts_by_service.items():
            if service not in self.services_by_name:
                found.append(f"rollouts.{service}: the service is not declared")
            if not rollout.target_version:
                found.append(f"rollouts.{service}.target_version: must not be empty")
        return found
