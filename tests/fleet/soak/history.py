"""What the operator put in force, and what was disturbed when."""

from __future__ import annotations

from bisect import bisect_left
from math import inf
from random import Random
from typing import TYPE_CHECKING
from typing import Any

from attrs import Factory
from attrs import define
from builders import build_operator_document
from builders import build_path

from soak.layout import SERVICES

if TYPE_CHECKING:
    from collections.abc import Iterable

PROBE_ROUTE_VERSIONS = 4
"""Versions for which a route that one of them added stays."""
MAIN_PREFIXES = ("/m0/", "/m1/", "/m2/", "/m3/")
RUN_ONCE_PREFIXES = ("/m2/", "/m3/")
"""Routes whose requests may run once."""
HOST = "desk.example"
WORKSPACE = "depot"
CREDENTIALS = (b"authorization", b"Token soak-key-of-depot")
RATE_PER_S = 5_000
"""Quota of the workspace, which callers stay far below even at one entry VM."""
NO_SERVICE = ""
"""Stands in place of a service where there is no route."""


@define(kw_only=True)
class Version:
    """One version of the configuration.

    Parameters
    ----------
    service_by_prefix : dict of str to str
        Its routes.
    sent_at, acked_at : float
        When it was sent and acknowledged, monotonic seconds.
    """

    service_by_prefix: dict[str, str]
    sent_at: float
    acked_at: float = inf

    def allows(self, prefix: str, ran_at: str) -> bool:
        """Tell whether a request of a route may be handled so."""
        return self.service_by_prefix.get(prefix, NO_SERVICE) == ran_at


@define(kw_only=True)
class Evacuation:
    """An evacuation of a zone.

    Parameters
    ----------
    zone : str
        Its name.
    acked_at, undone_at : float
        When it was acknowledged and when its end was sent, monotonic seconds.
    """

    zone: str
    acked_at: float
    undone_at: float = inf


@define(kw_only=True)
class History:
    """All versions, in order, and evacuations.

    Parameters
    ----------
    random : Random
        Source of choices.
    """

    random: Random
    versions: list[Version] = Factory(list)
    evacuations: list[Evacuation] = Factory(list)

    def draw(self, now: float) -> dict[str, Any]:
        """Add a version and give its document."""
        number = len(self.versions)
        old = self.versions[-1].service_by_prefix if self.versions else {}
        routes = {
            prefix: self.random.choice(SERVICES)
            if prefix not in old or self.random.random() < 1 / 2
            else old[prefix]
            for prefix in MAIN_PREFIXES
        }
        for probe in range(max(0, number + 1 - PROBE_ROUTE_VERSIONS), number + 1):
            prefix = f"/p{probe}/"
            routes[prefix] = old.get(prefix) or self.random.choice(SERVICES)
        self.versions.append(Version(service_by_prefix=routes, sent_at=now))
        return _document(number, routes)

    def draw_prefix(self, random: Random) -> str:
        """Choose a route that is there, was, or never will be."""
        if random.random() < 1 / 2:
            return random.choice(MAIN_PREFIXES)
        newest = len(self.versions) - 1
        return f"/p{random.choice((newest, *range(max(0, newest - 6), newest + 1)))}/"


def _document(number: int, routes: dict[str, str]) -> dict[str, Any]:
    paths = [
        build_path(
            name=prefix.strip("/"),
            path_prefix=prefix,
            service=service,
            type="non_idempotent" if prefix in RUN_ONCE_PREFIXES else "idempotent",
            timeout="2s",
        )
        for prefix, service in routes.items()
    ]
    return build_operator_document(
        config_version=f"{number:08x}",
        services=[{"name": each, "health_check": "/up"} for each in SERVICES],
        hosts=[{"host": HOST, "paths": paths}],
        tenants=[
            {
                "name": WORKSPACE,
                "api_keys": [CREDENTIALS[1].split()[1].decode()],
                "rate_per_s": RATE_PER_S,
                "burst": RATE_PER_S,
            }
        ],
    )


@define(kw_only=True)
class Span:
    """A disturbance.

    Parameters
    ----------
    begin, end : float
        When it was, monotonic seconds.
    is_planned : bool
        Whether it is planned work, during which nothing may be lost.
    """

    begin: float
    end: float = inf
    is_planned: bool = False


@define(kw_only=True)
class Disturbances:
    """When what was disturbed.

    Parameters
    ----------
    contact_s : float
        Time after each for which a VM isn't held to bounds.
    """

    contact_s: float
    _spans_by_vm: dict[str, list[Span]] = Factory(dict)
    _stalls: list[tuple[float, float]] = Factory(list)

    def record_stall(self, now: float, held_s: float) -> None:
        """Note how long the machine gave no processor since the last note."""
        before = self._stalls[-1][1] if self._stalls else 0.0
        self._stalls.append((now, before + held_s))

    def stalled_s(self, begin: float, end: float) -> float:
        """Tell how long at most the machine gave no processor from then to then."""
        if not self._stalls:
            return 0.0
        first = bisect_left(self._stalls, (begin, 0.0)) - 1
        last = min(bisect_left(self._stalls, (end, 0.0)), len(self._stalls) - 1)
        return self._stalls[last][1] - (self._stalls[first][1] if first >= 0 else 0.0)

    def begin(self, vms: list[str], now: float, *, is_planned: bool = False) -> Span:
        """Note that VMs are disturbed from now on."""
        span = Span(begin=now, is_planned=is_planned)
        for vm in vms:
            self._spans_by_vm.setdefault(vm, []).append(span)
        return span

    def spans_by_vm(self) -> Iterable[tuple[str, list[Span]]]:
        """Give all disturbances by VM."""
        return self._spans_by_vm.items()

    def extended_deadline(self, since: float, bound_s: float, now: float) -> float:
        """Give when a bound has passed, of the time that the machine gave."""
        if since + bound_s >= now:
            return since + bound_s
        return since + bound_s + self.stalled_s(since, now)

    def is_undisturbed(
        self, vm: str, begin: float, end: float, *, include_planned: bool = True
    ) -> bool:
        """Tell whether a VM was in touch from one time to another."""
        return not any(
            span.begin <= end
            and begin <= self.extended_deadline(span.end, self.contact_s, begin)
            for span in self._spans_by_vm.get(vm, ())
            if include_planned or not span.is_planned
        )
