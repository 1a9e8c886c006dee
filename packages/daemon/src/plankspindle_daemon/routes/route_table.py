"""Lookup of routes by host and path, and distribution of requests among services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.configuration.route import Route
from plankspindle_core.configuration.route import ServicePart

if TYPE_CHECKING:
    from collections.abc import Mapping


@frozen(kw_only=True)
class RouteMatch:
    """A route and the service selected for one request."""

    name: str
    route: Route
    service: str


@define(kw_only=True)
class _WeightedRoundRobin:
    """Smooth weighted round robin over the parts of one route."""

    parts: list[ServicePart]
    credits: list[float]

    @classmethod
    def of(cls, parts: list[ServicePart]) -> _WeightedRoundRobin:
        return cls(parts=parts, credits=[0.0] * len(parts))

    def next_service(self) -> str:
        total = 0
        for index, part in enumerate(self.parts):
            self.credits[index] += part.weight
            total += part.weight
        chosen = max(range(len(self.parts)), key=self.credits.__getitem__)
        self.credits[chosen] -= total
        return self.parts[chosen].service


class RouteTable:
    """Routes of one version of the configuration.

    Parameters
    ----------
    routes_by_name : mapping of str to Route
        Routes by name.

    Notes
    -----
    Each prefix ends with a slash, so the longest match is found by cutting the path
    at one slash after the other; the cost does not depend on the number of routes.
    """

    def __init__(self, *, routes_by_name: Mapping[str, Route]) -> None:
        self._by_host: dict[str, dict[str, tuple[str, Route]]] = {}
        self._round_robins_by_name: dict[str, _WeightedRoundRobin] = {}
        for name, route in routes_by_name.items():
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = (name, route)
            if len(route.parts) > 1:
                self._round_robins_by_name[name] = _WeightedRoundRobin.of(route.parts)

    def __len__(self) -> int:
        return sum(len(by_prefix) for by_prefix in self._by_host.values())

    def with_routes(self, routes_by_name: Mapping[str, Route]) -> RouteTable:
        """Return the table of another configuration version.

        Routes with unchanged parts keep the state of their round robin.
        """
        table = RouteTable(routes_by_name=routes_by_name)
        for name, round_robin in table._round_robins_by_name.items():
            previous = self._round_robins_by_name.get(name)
            if previous is not None and previous.parts == round_robin.parts:
                round_robin.credits = previous.credits
        return table

    def has_host(self, host: str) -> bool:
        """Return whether any route is for a host."""
        return _host_name(host) in self._by_host

    def find(self, *, host: str, path: str) -> RouteMatch | None:
        """Find the route of a request.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header.
        path : str
            Path without query.

        Returns
        -------
        RouteMatch or None
            The route with the longest matching prefix; None if no route matches.
        """
        by_prefix = self._by_host.get(_host_name(host))
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = by_prefix.get(path[: end + 1])
            if found is not None:
                return self._select_service(*found)
        return None

    def _select_service(self, name: str, route: Route) -> RouteMatch:
        round_robin = self._round_robins_by_name.get(name)
        if round_robin is None:
            return RouteMatch(name=name, route=route, service=route.parts[0].service)
        return RouteMatch(name=name, route=route, service=round_robin.next_service())


def _host_name(host: str) -> str:
    """Return the host name, in lower case and without port, of a ``Host`` header."""
    return host.partition(":")[0].lower()
