"""History of configurations and evacuations, and of disturbances."""

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
from soak.unstalled_clock import UnstalledClock

if TYPE_CHECKING:
    from collections.abc import Iterable

CHECK_STEP_S = 0.1
PROBE_ROUTE_VERSIONS = 4
"""Number of versions for which a route that was added stays."""
MAIN_PREFIXES = ("/m0/", "/m1/", "/m2/", "/m3/")
RUN_ONCE_PREFIXES = ("/m2/", "/m3/")
"""Routes whose requests may run at most once."""
HOST = "desk.example"
WORKSPACE = "depot"
CREDENTIALS = (b"authorization", b"Token soak-key-of-depot")
RATE_PER_S = 5_000
"""Quota of the workspace, far above the load of all callers on one entry VM."""
NO_SERVICE = ""
"""Placeholder for the service where there is no route."""


@define(kw_only=True)
class Version:
    """One version of the configuration.

    Parameters
    ----------
    service_by_prefix : dict of str to str
        Services of its routes.
    sent_at, acked_at : float
        When it was written and when the store acknowledged it, monotonic seconds.
    """

    service_by_prefix: dict[str, str]
    sent_at: float
    acked_at: float = inf

    def allows(self, prefix: str, service: str) -> bool:
        """Return whether a request of a route may be handled by a service."""
        return self.service_by_prefix.get(prefix, NO_SERVICE) == service


@define(kw_only=True)
class Evacuation:
    """An evacuation of a zone.

    Parameters
    ----------
    zone : str
        Name of the zone.
    acked_at, undone_at : float
        When the store acknowledged it and when its end was written, monotonic seconds.
    """

    zone: str
    acked_at: float
    undone_at: float = inf


@define(kw_only=True)
class History:
    """All versions of the configuration in order, and all evacuations.

    Parameters
    ----------
    random : Random
        Source of random choices.
    """

    random: Random
    versions: list[Version] = Factory(list)
    evacuations: list[Evacuation] = Factory(list)

    def draw(self, now: float) -> dict[str, Any]:
        """Draw a version, add it, and return its document."""
        number = len(self.versions)
        previous = self.versions[-1].service_by_prefix if self.versions else {}
        routes = {
            prefix: self.random.choice(SERVICES)
            if prefix not in previous or self.random.random() < 1 / 2
            else previous[prefix]
            for prefix in MAIN_PREFIXES
        }
        for probe in range(max(0, number + 1 - PROBE_ROUTE_VERSIONS), number + 1):
            prefix = f"/p{probe}/"
            routes[prefix] = previous.get(prefix) or self.random.choice(SERVICES)
        self.versions.append(Version(service_by_prefix=routes, sent_at=now))
        return _document(number, routes)

    def draw_prefix(self, random: Random) -> str:
        """Draw a main route or one of a recent version, which may be removed by now."""
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
    """Time span, such as that of a disturbance.

    Parameters
    ----------
    begin, end : float
        Monotonic seconds; an infinite end if it goes on.
    is_planned : bool
        Whether it is planned work, during which no answer may be lost.
    is_of_store : bool
        Whether it is a disturbance of the store.
    """

    begin: float
    end: float = inf
    is_planned: bool = False
    is_of_store: bool = False


@define(kw_only=True)
class Disturbances:
    """Disturbances by VM, and CPU stalls of the machine.

    Parameters
    ----------
    contact_s : float
        Time after a disturbance in which no bounds apply to a VM, in seconds.
    """

    contact_s: float
    _spans_by_vm: dict[str, list[Span]] = Factory(dict)
    _stalls: list[tuple[float, float]] = Factory(list)

    def record_stall(self, now: float, stalled_s: float) -> None:
        """Record how long processes got no CPU time since the last record."""
        before = self._stalls[-1][1] if self._stalls else 0.0
        self._stalls.append((now, before + stalled_s))

    def stalled_s(self, begin: float, end: float) -> float:
        """Return an upper bound of the CPU stalls between two times, in seconds."""
        if not self._stalls:
            return 0.0
        first = bisect_left(self._stalls, (begin, 0.0)) - 1
        last = min(bisect_left(self._stalls, (end, 0.0)), len(self._stalls) - 1)
        return self._stalls[last][1] - (self._stalls[first][1] if first >= 0 else 0.0)

    def begin(
        self,
        vms: list[str],
        now: float,
        *,
        is_planned: bool = False,
        is_of_store: bool = False,
    ) -> Span:
        """Record that VMs are disturbed from now on."""
        span = Span(begin=now, is_planned=is_planned, is_of_store=is_of_store)
        for vm in vms:
            self._spans_by_vm.setdefault(vm, []).append(span)
        return span

    def spans_by_vm(self) -> Iterable[tuple[str, list[Span]]]:
        """Return all disturbances by VM."""
        return self._spans_by_vm.items()

    def unstalled_clock(self) -> UnstalledClock:
        """Return a clock that stands still during the CPU stalls so far."""
        return UnstalledClock.of_stalls(self._stalls)

    def extended_deadline(self, since: float, bound_s: float, now: float) -> float:
        """Return when a bound has passed, extended by the CPU stalls until now."""
        if since + bound_s >= now:
            return since + bound_s
        return since + bound_s + self.stalled_s(since, now)

    def has_been_undisturbed(self, vm: str, begin: float, end: float) -> bool:
        """Return whether the bounds applied to a VM at some time between two times."""
        times = [
            begin + step * CHECK_STEP_S
            for step in range(int((end - begin) / CHECK_STEP_S))
        ]
        return any(self.is_undisturbed(vm, each, each) for each in [*times, end])

    def is_undisturbed(
        self, vm: str, begin: float, end: float, *, include_planned: bool = True
    ) -> bool:
        """Return whether the bounds applied to a VM all the time between two times."""
        return not any(
            span.begin <= end
            and begin <= self.extended_deadline(span.end, self.contact_s, begin)
            for span in self._spans_by_vm.get(vm, ())
            if include_planned or not span.is_planned
        )
