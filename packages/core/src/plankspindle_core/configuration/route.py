"""A route: the services that answer the requests for a host and path."""

from __future__ import annotations

from attrs import Factory
from attrs import field
from attrs import validators

from plankspindle_core.classes import frozen
from plankspindle_core.configuration.operation import DEFAULT_TIMEOUT_MS

DEFAULT_MAX_ATTEMPTS = 2


@frozen(kw_only=True)
class ServicePart:
    """A service of a route, with its weight.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : int
        Share of the route's requests, relative to the weights of the other services.
    """

    service: str
    weight: int = field(default=1, validator=validators.ge(0))


@frozen(kw_only=True)
class Route:
    """Requests for one host and path prefix, with their execution contract.

    Parameters
    ----------
    host : str
        Name in the ``Host`` header, in lower case and without port.
    path_prefix : str
        Prefix of the path; begins and ends with a slash.
    parts : list of ServicePart
        Services that answer, with their weights.
    priority_class : str
        Priority class of all requests on the route.
    idempotent : bool
        Whether a request may be run more than once.
    bulky : bool
        Whether answers are so large that they should not leave their failure domain.
    timeout_ms : int
        Longest time from admission to the last byte, in milliseconds.
    target_ms : int
        Target latency of an answer, in milliseconds.
    max_attempts : int
        Largest number of upstreams that one request may be sent to.
    affinity : bool
        Whether requests with the same affinity key should be placed on the same
        upstream.
    home_regions : list of str
        The only regions that may serve the route; any region if empty.
    public : bool
        Whether it is open to callers without an API key.
    """

    host: str
    path_prefix: str
    parts: list[ServicePart] = field(validator=validators.min_len(1))
    priority_class: str
    idempotent: bool = False
    bulky: bool = False
    timeout_ms: int = field(default=DEFAULT_TIMEOUT_MS, validator=validators.gt(0))
    target_ms: int = field(default=DEFAULT_TIMEOUT_MS, validator=validators.gt(0))
    max_attempts: int = field(default=DEFAULT_MAX_ATTEMPTS, validator=validators.gt(0))
    affinity: bool = False
    home_regions: list[str] = Factory(list)
    public: bool = False

    def problems(self) -> list[str]:
        """Return the problems of the route itself, one sentence per problem."""
        found = []
        if not (self.path_prefix.startswith("/") and self.path_prefix.endswith("/")):
            found.append(f"path_prefix: {self.path_prefix!r} must begin and end with /")
        if self.host != self.host.lower() or not self.host:
            found.append(f"host: {self.host!r} must be a name in lower case")
        if sum(part.weight for part in self.parts) == 0:
            found.append("parts: at least one weight must be more than 0")
        return found
