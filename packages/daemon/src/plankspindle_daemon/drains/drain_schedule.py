"""Times from which drained VMs and upstreams get no new requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.configuration.drain import DrainKind
from plankspindle_core.lookup_ttl import LOOKUP_TTL_S

if TYPE_CHECKING:
    from plankspindle_core.configuration.drain import Drain

LINGER_S = float(LOOKUP_TTL_S)
"""Time for which a drained location still accepts requests, in seconds.

Callers cache lookup answers for so long.
"""

_UPSTREAM_KINDS = (DrainKind.UPSTREAM, DrainKind.UPSTREAMS_OF_DOMAIN)


@define(kw_only=True)
class DrainSchedule:
    """Drains of the version in force, and when each took effect.

    Notes
    -----
    A drained upstream stops getting new requests at once. A drained VM, failure domain
    or region is left out of lookup answers at once, but its entry VMs and upstreams
    continue to serve for ``LINGER_S``, so that callers with cached answers are served.
    """

    configuration: Configuration | None = None
    _started_at_by_id: dict[str, float] = field(factory=dict)

    @property
    def has_drains(self) -> bool:
        """Whether the version in force drains anything."""
        return self.configuration is not None and bool(self.configuration.drains_by_id)

    def apply_configuration(self, configuration: Configuration, now: float) -> None:
        """Apply the drains of a new version; known ones keep their start time."""
        self.configuration = configuration
        self._started_at_by_id = {
            drain_id: self._started_at_by_id.get(drain_id, now)
            for drain_id in configuration.drains_by_id
        }

    def upstream_drained_at(
        self, name: str, failure_domain: str, *, now: float, wall: float
    ) -> float | None:
        """Return the time from which an upstream gets no new requests.

        Parameters
        ----------
        name, failure_domain : str
            The upstream and its failure domain.
        now : float
            Monotonic seconds.
        wall : float
            Seconds since the Unix epoch.

        Returns
        -------
        float or None
            Monotonic seconds; None if it is not drained.
        """
        if self.configuration is None:
            return None
        drains = self.configuration.drains_of(
            failure_domain=failure_domain, upstream=name
        )
        return self._earliest(drains, now=now, wall=wall)

    def vm_refusal_at(
        self, name: str, failure_domain: str, *, now: float, wall: float
    ) -> float | None:
        """Return when an entry VM begins to refuse requests.

        Parameters and result are as in :meth:`upstream_drained_at`.
        """
        if self.configuration is None:
            return None
        drains = self.configuration.drains_of(failure_domain=failure_domain, vm=name)
        return self._earliest(drains, now=now, wall=wall)

    def vm_is_drained(self, name: str, failure_domain: str, *, wall: float) -> bool:
        """Return whether lookup answers must leave out an entry VM."""
        if self.configuration is None:
            return False
        drains = self.configuration.drains_of(failure_domain=failure_domain, vm=name)
        return any(each.at is None or each.at <= wall for each in drains.values())

    def _earliest(
        self, drains: dict[str, Drain], *, now: float, wall: float
    ) -> float | None:
        times = [
            self._start_of(drain_id, drain, now=now, wall=wall)
            for drain_id, drain in drains.items()
        ]
        return min(times, default=None)

    def _start_of(
        self, drain_id: str, drain: Drain, *, now: float, wall: float
    ) -> float:
        if drain.at is not None:
            return now + (drain.at - wall)
        linger = 0.0 if drain.kind in _UPSTREAM_KINDS else LINGER_S
        return self._started_at_by_id[drain_id] + linger
