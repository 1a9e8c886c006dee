"""What it costs to send a request to one upstream rather than another."""

from __future__ import annotations

import hashlib
import math
from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import field
from attrs import frozen

from plankspindle_core.configuration.configuration import Configuration
from plankspindle_daemon.dispatch.region_limiter import RegionLimiter
from plankspindle_daemon.upstreams.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from plankspindle_daemon.admission.ticket import Ticket

MISS_FACTOR = 2.5
"""Duration at an upstream that has not seen the affinity key, until it is measured."""
SECOND_LOAD = 0.7
OTHER_LOAD = 0.4
"""Load, as a share of the slots, up to which an upstream takes keys of others.

Requests that miss keep an upstream busy several times as long. A fleet that sends
them anywhere once it is busy loses most of its capacity, and stays busy by that.
"""
SPREAD_SHARE = 0.25
"""Cost of a fully used upstream over an idle one, in usual durations."""
BULKY_DOMAIN_S = 0.25
BULKY_REGION_S = 0.5
"""Cost of a large answer that leaves its failure domain or region, in seconds."""
SILENCE_FROM = 2.0
"""Silence of an upstream that counts against it, in usual durations."""
RANKED = 2
"""Upstreams of a region that a key knows by rank."""
MAX_KEYS = 4_096
"""Affinity keys whose order of upstreams is remembered."""


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


@frozen(kw_only=True)
class Place:
    """An upstream chosen for a request.

    Parameters
    ----------
    upstream : UpstreamState
        The upstream.
    is_hit : bool
        Whether it is the one that the affinity key prefers.
    """

    upstream: UpstreamState
    is_hit: bool


@define(kw_only=True)
class _Choice:
    """The best place so far, and its cost with a tie-break."""

    place: Place | None = None
    cost: tuple[float, float] = (math.inf, 0.0)


@define(kw_only=True)
class Placement:
    """Order of preference among the upstreams of one service.

    Parameters
    ----------
    distances : Distances
        Delays to failure domains.
    limiter : RegionLimiter
        Bound on what leaves the region, for all services of this VM.
    random : Random
        Source of tie-breaks.

    Notes
    -----
    Requests with one affinity key prefer the same upstream in each region, chosen by
    rendezvous hashing, so that all entry VMs agree without talking and a region that
    takes over requests of another finds its upstream warm.
    """

    distances: Distances
    limiter: RegionLimiter
    random: Random
    _domain_by_name: dict[str, str] = Factory(dict)
    _orders_by_key: dict[str, list[list[str]]] = field(factory=dict)

    def use(self, domain_by_name: Mapping[str, str]) -> None:
        """Take the upstreams that stay, with their failure domains."""
        if domain_by_name != self._domain_by_name:
            self._domain_by_name = dict(domain_by_name)
            self._orders_by_key.clear()

    def choose(
        self,
        ticket: Ticket,
        by_name: Mapping[str, UpstreamState],
        *,
        fits: Callable[[UpstreamState], bool],
        usual_s: float,
        miss_s: float | None,
        now: float,
    ) -> Place | None:
        """Choose the upstream whose answer is expected first.

        Parameters
        ----------
        ticket : Ticket
            The request.
        by_name : mapping of str to UpstreamState
            All upstreams of the service.
        fits : callable
            Tells whether an upstream may take the request now.
        usual_s : float
            Usual duration at an upstream that has seen the affinity key, in seconds.
        miss_s : float, optional
            Usual duration at another one, if any was measured.
        now : float
            Monotonic seconds.

        Returns
        -------
        Place or None
            None if it is better to wait for an upstream that has seen the key.

        Notes
        -----
        The others are looked at only if the wait at those that know the key costs
        more than a miss, so that the usual choice does not grow with the service.
        """

        def choose(fits: Callable[[UpstreamState], bool]) -> Place | None:
            return self._choose(
                ticket, by_name, fits=fits, usual_s=usual_s, miss_s=miss_s, now=now
            )

        free = choose(fits)
        if free is None:
            return None
        wants = not self.is_near(free.upstream)
        leaves = self.limiter.leaves(now, wants=wants)
        if leaves == wants or (leaves and ticket.bulky):
            return free
        bound = choose(lambda each: self.is_near(each) is not leaves and fits(each))
        return free if bound is None and leaves else bound

    def _choose(
        self,
        ticket: Ticket,
        by_name: Mapping[str, UpstreamState],
        *,
        fits: Callable[[UpstreamState], bool],
        usual_s: float,
        miss_s: float | None,
        now: float,
    ) -> Place | None:
        if ticket.affinity is None:
            choice = _Choice()
            for upstream in by_name.values():
                if fits(upstream):
                    self._weigh(choice, upstream, ticket, usual_s, now, is_hit=True)
            return choice.place
        missed_s = max(miss_s or 0.0, MISS_FACTOR * usual_s)
        ranks = self._present_ranks(ticket.affinity, by_name, now)
        choice = _Choice()
        for name, rank in ranks.items():
            upstream = by_name[name]
            if fits(upstream) and (rank == 0 or _load(upstream, now) <= SECOND_LOAD):
                work_s = usual_s if rank == 0 else missed_s
                is_hit = rank == 0
                self._weigh(choice, upstream, ticket, work_s, now, is_hit=is_hit)
        if choice.cost[0] <= missed_s:
            return choice.place
        for upstream in by_name.values():
            idle = upstream.name not in ranks and _load(upstream, now) <= OTHER_LOAD
            if idle and fits(upstream):
                self._weigh(choice, upstream, ticket, missed_s, now, is_hit=False)
        return choice.place

    def is_near(self, upstream: UpstreamState) -> bool:
        """Tell whether an upstream stands in the region of this VM."""
        home = self.distances.region_of(self.distances.home_domain)
        return self.distances.region_of(upstream.upstream.failure_domain) == home

    def _weigh(
        self,
        choice: _Choice,
        upstream: UpstreamState,
        ticket: Ticket,
        work_s: float,
        now: float,
        *,
        is_hit: bool,
    ) -> None:
        cost = (self._cost_s(upstream, ticket, work_s, now), self.random.random())
        if cost < choice.cost:
            choice.cost = cost
            choice.place = Place(upstream=upstream, is_hit=is_hit)

    def _present_ranks(
        self, key: str, by_name: Mapping[str, UpstreamState], now: float
    ) -> dict[str, int]:
        """Rank the first two usable upstreams of each region."""
        ranks: dict[str, int] = {}
        for order in self._orders(key):
            rank = 0
            for name in order:
                upstream = by_name.get(name)
                if upstream is None or not upstream.is_usable(now):
                    continue
                ranks[name] = rank
                rank += 1
                if rank == RANKED:
                    break
        return ranks

    def _cost_s(
        self, upstream: UpstreamState, ticket: Ticket, work_s: float, now: float
    ) -> float:
        slots = upstream.upstream.slots
        load = upstream.load(now)
        waiting = max(0.0, load + 1 - slots) / slots
        work = upstream.present_latency(now) + waiting + SPREAD_SHARE * load / slots
        cost = work_s * work + self._distance_s(upstream, ticket)
        silent_s = upstream.silent_s(now)
        return cost + silent_s if silent_s > SILENCE_FROM * work_s else cost

    def _distance_s(self, upstream: UpstreamState, ticket: Ticket) -> float:
        domain = upstream.upstream.failure_domain
        distance = self.distances.rtt_s(domain)
        home = self.distances.home_domain
        if not ticket.bulky or domain == home:
            return distance
        near = self.distances.region_of(domain) == self.distances.region_of(home)
        return distance + (BULKY_DOMAIN_S if near else BULKY_REGION_S)

    def _orders(self, key: str) -> list[list[str]]:
        orders = self._orders_by_key.get(key)
        if orders is None:
            if len(self._orders_by_key) >= MAX_KEYS:
                self._orders_by_key.clear()
            orders = self._orders_by_key[key] = self._order_all(key)
        return orders

    def _order_all(self, key: str) -> list[list[str]]:
        names_by_region: dict[str | None, list[str]] = {}
        for name, domain in self._domain_by_name.items():
            region = self.distances.region_of(domain)
            names_by_region.setdefault(region, []).append(name)
        for names in names_by_region.values():
            names.sort(key=lambda name: _weight(key, name))
        return list(names_by_region.values())


def _load(upstream: UpstreamState, now: float) -> float:
    """Give the load of an upstream as a share of its slots."""
    return upstream.load(now) / upstream.upstream.slots


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest()
