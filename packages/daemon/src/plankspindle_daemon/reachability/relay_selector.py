"""Choice of the entry VM that serves a request for one that reaches no upstream."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.configuration.configuration import Configuration
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_daemon.reachability.version_floor import VersionFloor

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_daemon.peer_messages.heartbeat import Heartbeat
    from plankspindle_daemon.versions.configuration_version import ConfigurationVersion


DECLINED_S = 0.5
"""Time for which a VM that declined a relay is not asked again, in seconds."""
REFRESH_PERIOD_S = 1.0
"""Longest time for which a pass through the members is kept, in seconds.

Only their silence shows by time alone; all else that they report ends it at once.
"""


@frozen(kw_only=True)
class RelayTarget:
    """An entry VM that may serve a request for this one.

    Parameters
    ----------
    vm : str
        Its name.
    endpoint : Endpoint
        Its listener for callers.
    """

    vm: str
    endpoint: Endpoint


@define(kw_only=True)
class RelaySelector:
    """Choose entry VMs for relayed requests, and keep account of them.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this VM.
    membership : Membership
        The other entry VMs.
    random : Random
        Source of random choices.

    Attributes
    ----------
    drained_vms : set of str
        Entry VMs that get no new requests.
    sent, declined : int
        Requests that were relayed, and relays that were declined.
    version_floor : VersionFloor
        Lowest version that relayed requests may be served by.
    """

    failure_domain: str
    membership: Membership
    random: Random
    drained_vms: set[str] = Factory(set)
    sent: int = 0
    declined: int = 0
    version_floor: VersionFloor = Factory(VersionFloor)
    _in_flight_by_vm: Counter[str] = Factory(Counter)
    _declined_until_by_vm: dict[str, float] = Factory(dict)
    _tiers_by_regions: dict[frozenset[str], list[list[RelayTarget]]] = Factory(dict)
    _tiers_expire_at: float = 0.0
    _tiers_of: tuple[int, Configuration] | None = None

    def choose(
        self,
        *,
        configuration: Configuration,
        allowed_regions: frozenset[str],
        excluded: frozenset[str],
        now: float,
    ) -> RelayTarget | None:
        """Choose an entry VM; None if none may serve the request.

        Parameters
        ----------
        configuration : Configuration
            Configuration in force.
        allowed_regions : frozenset of str
            The only regions that may serve the request; any region if empty.
        excluded : frozenset of str
            Entry VMs that have been asked already.
        now : float
            Monotonic seconds.

        Notes
        -----
        The less loaded of two random VMs of the nearest tier is taken, so that VMs that
        are cut off do not all choose the same one.
        """
        for tier in self._tiers(configuration, allowed_regions, now):
            permitted = [
                each
                for each in tier
                if each.vm not in excluded
                and now >= self._declined_until_by_vm.get(each.vm, 0.0)
            ]
            if permitted:
                drawn = self.random.sample(permitted, min(2, len(permitted)))
                return min(drawn, key=lambda each: self._in_flight_by_vm[each.vm])
        return None

    def _tiers(
        self, configuration: Configuration, regions: frozenset[str], now: float
    ) -> list[list[RelayTarget]]:
        """Return the entry VMs that may serve, in tiers of rising distance."""
        state = (self.membership.change_count, configuration)
        is_current = self._tiers_of is not None and (
            self._tiers_of[0] == state[0] and self._tiers_of[1] is state[1]
        )
        if not is_current or now >= self._tiers_expire_at:
            self._tiers_by_regions.clear()
            self._tiers_of = state
            self._tiers_expire_at = now + REFRESH_PERIOD_S
        tiers = self._tiers_by_regions.get(regions)
        if tiers is None:
            targets_by_distance: dict[float, list[RelayTarget]] = {}
            for domain, target in self._serving(now):
                if regions and configuration.region_of(domain) not in regions:
                    continue
                distance_ms = configuration.distance_ms(self.failure_domain, domain)
                targets_by_distance.setdefault(distance_ms, []).append(target)
            tiers = [targets for _, targets in sorted(targets_by_distance.items())]
            self._tiers_by_regions[regions] = tiers
        return tiers

    def _serving(self, now: float) -> Iterator[tuple[str, RelayTarget]]:
        """Yield failure domain and address of each member that may serve."""
        silence_s = self.membership.suspect_after_s()
        for member in self.membership.members_by_name.values():
            if (
                member.caller_endpoint is not None
                and member.readiness is Readiness.READY
                and not member.is_cut_off
                and not member.listed_leaving
                and member.name not in self.drained_vms
                and not member.is_suspected(now=now, suspect_after_s=silence_s)
            ):
                domain = member.failure_domain or self.failure_domain
                yield (
                    domain,
                    RelayTarget(vm=member.name, endpoint=member.caller_endpoint),
                )

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record the version that a VM has in force, monotonic time in seconds."""
        version = heartbeat.configuration_version
        if self._in_flight_by_vm[heartbeat.sender]:
            self.version_floor.record_observed(version, now)
        else:
            self.version_floor.record(version, now)

    def is_overtaken(self, version: ConfigurationVersion, now: float) -> bool:
        """Return whether callers were served by a later version than one in force here.

        This VM must not answer them by that one any more.
        """
        return version < self.version_floor.observed_at(now)

    def record_answered(self, vm: str, now: float) -> None:
        """Record that a VM answered a caller, by the version that it last announced."""
        member = self.membership.members_by_name.get(vm)
        if member is not None:
            self.version_floor.record_observed(member.configuration_version, now)

    def record_started(self, vm: str) -> None:
        """Record that a request is relayed to a VM."""
        self.sent += 1
        self._in_flight_by_vm[vm] += 1

    def record_ended(self, vm: str) -> None:
        """Record that a relay ended."""
        self._in_flight_by_vm[vm] -= 1
        if self._in_flight_by_vm[vm] <= 0:
            del self._in_flight_by_vm[vm]

    def record_declined(self, vm: str, now: float) -> None:
        """Record that a VM declined a relay, or could not be reached."""
        self.declined += 1
        until = now + DECLINED_S * self.random.uniform(0.5, 1.0)
        self._declined_until_by_vm[vm] = until
        expired = [name for name, at in self._declined_until_by_vm.items() if at <= now]
        for name in expired:
            del self._declined_until_by_vm[name]

    def in_flight_by_vm(self) -> dict[str, int]:
        """Return the requests that are relayed now, by the VM that serves them."""
        return dict(self._in_flight_by_vm)
