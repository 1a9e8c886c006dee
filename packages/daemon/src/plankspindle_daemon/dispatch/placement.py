"""What it costs to send a request to one upstream rather than another."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import field

from plankspindle_core.configuration.configuration import Configuration

if TYPE_CHECKING:
    from collections.abc import Mapping

    from plankspindle_daemon.admission.ticket import Ticket
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

MISS_SHARE = 1.5
"""Cost of an upstream that has not seen the affinity key, in usual durations."""
SPREAD_SHARE = 0.25
"""Cost of a fully used upstream over an idle one, in usual durations."""
BULKY_DOMAIN_S = 0.25
BULKY_REGION_S = 0.5
"""Cost of a large answer that leaves its failure domain or region, in seconds."""
SILENCE_FROM = 2.0
"""Silence of an upstream that counts against it, in usual durations."""
MAX_KEYS = 4_096
"""Affinity keys whose order of upstreams is remembered."""
_UNKNOWN_RANK = 99


@define(kw_only=True)
class Distances:
    """One-way delays from this entry VM to failure domains, measured or declared.

    Parameters
    ----------
    home_domain : str
        Failure domain of this VM.
    """

    home_domain: str
    _configuration: Configuration | None = None
    _rtt_s_by_domain: dict[str, float] = Factory(dict)

    def use(self, configuration: Configuration) -> None:
        """Take the declared delays of another version."""
        self._configuration = configuration

    def note_connected(self, domain: str, seconds: float) -> None:
        """Take the time that a new connection needed; the shortest one counts."""
        known = self._rtt_s_by_domain.get(domain, seconds)
        self._rtt_s_by_domain[domain] = min(known, seconds)

    def rtt_s(self, domain: str) -> float:
        """Give the time there and back, in seconds."""
        measured = self._rtt_s_by_domain.get(domain)
        if measured is not None:
            return measured
        if self._configuration is None:
            return 0.0
        one_way = self._configuration.distance_ms(self.home_domain, domain)
        return 2 * one_way / 1000

    def region_of(self, domain: str) -> str | None:
        """Name the region of a failure domain."""
        if self._configuration is None:
            return None
        return self._configuration.region_of(domain)


@define(kw_only=True)
class Placement:
    """Order of preference among the upstreams of one service.

    Parameters
    ----------
    distances : Distances
        Delays to failure domains.

    Notes
    -----
    Requests with one affinity key prefer the same upstream in each region, chosen by
    rendezvous hashing, so that all entry VMs agree without talking and a region that
    takes over requests of another finds its upstream warm.
    """

    distances: Distances
    _domain_by_name: dict[str, str] = Factory(dict)
    _ranks_by_key: dict[str, dict[str, int]] = field(factory=dict)

    def use(self, domain_by_name: Mapping[str, str]) -> None:
        """Take the upstreams that stay, with their failure domains."""
        if domain_by_name != self._domain_by_name:
            self._domain_by_name = dict(domain_by_name)
            self._ranks_by_key.clear()

    def cost_s(
        self, upstream: UpstreamState, ticket: Ticket, *, usual_s: float, now: float
    ) -> float:
        """Estimate when an answer would come from an upstream.

        Parameters
        ----------
        upstream : UpstreamState
            The upstream.
        ticket : Ticket
            The request.
        usual_s : float
            Usual duration of such a request, in seconds.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Seconds, with what matters besides time expressed in seconds.
        """
        slots = upstream.upstream.slots
        load = upstream.load(now)
        waiting = max(0.0, load + 1 - slots) / slots
        work = upstream.present_latency(now) + waiting + SPREAD_SHARE * load / slots
        cost = usual_s * work + self._distance_s(upstream, ticket)
        if ticket.affinity is not None and self._rank(upstream, ticket.affinity):
            cost += MISS_SHARE * usual_s
        silent_s = upstream.silent_s(now)
        return cost + silent_s if silent_s > SILENCE_FROM * usual_s else cost

    def _distance_s(self, upstream: UpstreamState, ticket: Ticket) -> float:
        domain = upstream.upstream.failure_domain
        distance = self.distances.rtt_s(domain)
        home = self.distances.home_domain
        if not ticket.bulky or domain == home:
            return distance
        near = self.distances.region_of(domain) == self.distances.region_of(home)
        return distance + (BULKY_DOMAIN_S if near else BULKY_REGION_S)

    def _rank(self, upstream: UpstreamState, key: str) -> int:
        ranks = self._ranks_by_key.get(key)
        if ranks is None:
            if len(self._ranks_by_key) >= MAX_KEYS:
                self._ranks_by_key.clear()
            ranks = self._ranks_by_key[key] = self._rank_all(key)
        return ranks.get(upstream.name, _UNKNOWN_RANK)

    def _rank_all(self, key: str) -> dict[str, int]:
        names_by_region: dict[str | None, list[str]] = {}
        for name, domain in self._domain_by_name.items():
            region = self.distances.region_of(domain)
            names_by_region.setdefault(region, []).append(name)
        ranks = {}
        for names in names_by_region.values():
            names.sort(key=lambda name: _weight(key, name))
            ranks.update({name: rank for rank, name in enumerate(names)})
        return ranks


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest()
