"""What it costs to send a request to one upstream rather than another."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import evolve
from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.dispatch.domain_distances import DomainDistances
from plankspindle_daemon.dispatch.placement_choice import BestChoice
from plankspindle_daemon.dispatch.placement_choice import NeedsToken
from plankspindle_daemon.dispatch.placement_choice import PlacementChoice
from plankspindle_daemon.dispatch.placement_choice import PlacementQuery
from plankspindle_daemon.dispatch.region_plan import RegionPlan
from plankspindle_daemon.dispatch.spillover_limiter import SpilloverLimiter
from plankspindle_daemon.dispatch.upstream_availability import earliest_available_at
from plankspindle_daemon.dispatch.upstream_rankings import MAX_CACHED_KEYS
from plankspindle_daemon.dispatch.upstream_rankings import UpstreamRanking
from plankspindle_daemon.dispatch.upstream_rankings import UpstreamRankings
from plankspindle_daemon.upstreams.fleet_limiter import TOKEN_WAIT_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from plankspindle_daemon.admission.ticket import Ticket
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState


MISS_DURATION_FACTOR = 2.5
"""Duration at an upstream that has not seen the affinity key, until it is measured."""
MAX_MISS_LOAD_SHARE = 0.7
"""Load, as a share of the slots, up to which an upstream takes keys of others.

Requests that miss keep an upstream busy several times as long, and make it forget one
of the few keys that it remembers. A fleet that sends them anywhere once it is busy
loses most of its capacity, and stays busy by that: no key goes beyond the next two
upstreams of its own order. Beside letting idle upstreams take any key, that keeps 0.02
of the worth of days with trouble, played on three seeds, and 0.03 of that of the
modelled loads.
"""
LOAD_COST_SHARE = 0.25
"""Cost of a fully used upstream over an idle one, in usual durations."""
BULKY_CROSS_DOMAIN_COST_S = 0.25
BULKY_CROSS_REGION_COST_S = 0.5
"""Cost of a large answer that leaves its failure domain or region, in seconds."""
MIN_SILENCE_FACTOR = 2.0
"""Silence of an upstream that counts against it, in usual durations."""
CANDIDATES_PER_SIDE = 2
"""Upstreams of the own region, and of the others, that a key knows by rank."""
SEEN_KEY_TTL_S = 15.0
"""Time for which an upstream that answered for a key is taken to know it, seconds.

A key that overflows to a second upstream does so every few seconds while it is hot.
"""
MAX_SEEN_KEYS = 2 * MAX_CACHED_KEYS
"""Keys at upstreams that are remembered as seen."""


@define(kw_only=True)
class Placement:
    """Order of preference among the upstreams of one service.

    Parameters
    ----------
    distances : DomainDistances
        Delays to failure domains.
    limiter : SpilloverLimiter
        Bound on what leaves the region, for all services of this VM.
    random : Random
        Source of tie-breaks.
    plan : RegionPlan
        Which keys of this service have their upstream in another region.

    Notes
    -----
    Requests with one affinity key prefer one upstream, chosen by rendezvous hashing
    among those of the own region or of all others, as the plan says, so that the entry
    VMs of a region agree without talking. Any other upstream counts as one that has not
    seen the key, until it has answered this VM for it: a key that is too hot for one
    upstream then goes on to the second by which it overflowed before.
    """

    distances: DomainDistances
    limiter: SpilloverLimiter
    random: Random
    plan: RegionPlan = Factory(RegionPlan)
    rankings: UpstreamRankings = field(init=False)
    _seen_at_by_key_and_upstream: dict[tuple[str, str], float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.rankings = UpstreamRankings(distances=self.distances)

    def choose(
        self,
        ticket: Ticket,
        by_name: Mapping[str, UpstreamState],
        *,
        fits: Callable[[UpstreamState], bool],
        hit_s: float,
        miss_s: float | None,
        now: float,
    ) -> PlacementChoice | NeedsToken | None:
        """Choose the upstream whose answer is expected first.

        Parameters
        ----------
        ticket : Ticket
            The request.
        by_name : mapping of str to UpstreamState
            All upstreams of the service.
        fits : callable
            Tells whether an upstream may take the request now.
        hit_s : float
            Usual duration at an upstream that has seen the affinity key, in seconds.
        miss_s : float, optional
            Usual duration at another one, if any was measured.
        now : float
            Monotonic seconds.

        Returns
        -------
        Place, NeedsToken or None
            None if it is better to wait for an upstream that has seen the key.

        Notes
        -----
        Only the next upstreams in the key's order are looked at, so that the choice
        does not grow with the service. A retry goes wherever there is room: it left an
        upstream, and would end as unknown if it waited.
        """
        query = PlacementQuery(
            ticket=ticket,
            hit_s=hit_s,
            miss_s=max(miss_s or 0.0, MISS_DURATION_FACTOR * hit_s),
            now=now,
        )
        free = self._choose(query, by_name, fits)
        if not isinstance(free, PlacementChoice):
            return free
        planned_near = self._is_planned_local(ticket)
        wants = self.is_local(free.upstream) is not planned_near
        if ticket.excluded:
            return evolve(free, spills=wants)
        spills = self.limiter.should_spill(now, wants_spill=wants)
        if spills == wants or (spills and ticket.bulky):
            return evolve(free, spills=wants)
        bound = self._choose(
            query,
            by_name,
            lambda each: (
                (self.is_local(each) is planned_near) is not spills and fits(each)
            ),
        )
        if isinstance(bound, PlacementChoice):
            return evolve(bound, spills=spills)
        return evolve(free, spills=wants) if spills else bound

    def has_candidate(
        self,
        ticket: Ticket,
        by_name: Mapping[str, UpstreamState],
        *,
        fits: Callable[[UpstreamState], bool],
        now: float,
    ) -> bool:
        """Tell whether a retry would be given an upstream now, as :meth:`choose` does.

        Parameters
        ----------
        ticket : Ticket
            The request, with the upstreams that it leaves excluded.
        by_name : mapping of str to UpstreamState
            All upstreams of the service.
        fits : callable
            Tells whether an upstream may take the request now.
        now : float
            Monotonic seconds.
        """
        query = PlacementQuery(ticket=ticket, hit_s=0.0, miss_s=0.0, now=now)
        return isinstance(self._choose(query, by_name, fits), PlacementChoice)

    def _is_planned_local(self, ticket: Ticket) -> bool:
        """Tell whether the upstream planned for a request is in the own region."""
        if ticket.affinity is None:
            return True
        planned = self.planned_rankings(ticket)[0]
        return not planned or self.distances.is_local(
            self.rankings.domain_by_name[planned[0]]
        )

    def _choose(
        self,
        query: PlacementQuery,
        by_name: Mapping[str, UpstreamState],
        fits: Callable[[UpstreamState], bool],
    ) -> PlacementChoice | NeedsToken | None:
        choice = BestChoice()
        if query.ticket.affinity is None:
            for upstream in by_name.values():
                if fits(upstream):
                    self._consider(choice, query, upstream, is_hit=True)
            return choice.choice or self._upstream_to_wait_for(query, by_name.values())
        key = query.ticket.affinity
        known = self._candidates(query.ticket, by_name, query.now)
        for name, is_planned in known.items():
            upstream = by_name[name]
            is_hit = is_planned or self.has_seen(key, name, query.now)
            if is_planned and (needed := self._upstream_to_wait_for(query, [upstream])):
                return needed
            if fits(upstream) and (
                is_hit or _load_share(upstream, query.now) <= MAX_MISS_LOAD_SHARE
            ):
                self._consider(choice, query, upstream, is_hit=is_hit)
        return choice.choice

    def _upstream_to_wait_for(
        self, query: PlacementQuery, upstreams: Iterable[UpstreamState]
    ) -> NeedsToken | None:
        """Give an upstream that a request should wait for, if a token may come soon.

        A retry does not wait, as it would end as unknown; nor does a request that would
        be rejected before the token comes.
        """
        if query.ticket.excluded or query.ticket.hold_until < query.now + TOKEN_WAIT_S:
            return None
        for upstream in upstreams:
            gate = upstream.fleet_limiter()
            if gate is None or gate.has_token(query.now):
                continue
            if not self.is_permitted(upstream, query.ticket):
                continue
            is_open = gate.has_pending_request(query.now) or gate.may_request_token(
                query.now
            )
            if is_open and upstream.is_usable(query.now):
                return NeedsToken(upstream)
        return None

    def is_permitted(self, upstream: UpstreamState, ticket: Ticket) -> bool:
        """Tell whether a request may run in the region of an upstream."""
        domain = upstream.upstream.failure_domain
        return not ticket.regions or self.distances.region_of(domain) in ticket.regions

    def available_at(
        self, ticket: Ticket, by_name: Mapping[str, UpstreamState], now: float
    ) -> float:
        """Give when limits and rests leave an upstream for a request.

        Parameters
        ----------
        ticket : Ticket
            The request.
        by_name : mapping of str to UpstreamState
            All upstreams of the service.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Monotonic seconds; now if there may be one.

        Notes
        -----
        Tokens are asked for at the upstream planned for a key; any other that the key
        knows takes the request only if a token lies ready.
        """
        if ticket.affinity is None:
            return earliest_available_at(by_name.values(), now) or now
        names = self._candidates(ticket, by_name, now)
        known = [by_name[name] for name in names]
        if not known or not all(each.lacks_token(now) for each in known[1:]):
            return now
        return known[0].available_at(now)

    def has_seen(self, key: str, upstream: str, now: float) -> bool:
        """Tell whether an upstream answered this VM for a key a while ago."""
        seen_at = self._seen_at_by_key_and_upstream.get((key, upstream))
        return seen_at is not None and now - seen_at < SEEN_KEY_TTL_S

    def record_seen(self, key: str, upstream: str, now: float) -> None:
        """Record that an upstream answered for a key."""
        if len(self._seen_at_by_key_and_upstream) >= MAX_SEEN_KEYS:
            self._seen_at_by_key_and_upstream = {
                place: at
                for place, at in self._seen_at_by_key_and_upstream.items()
                if now - at < SEEN_KEY_TTL_S
            }
        if len(self._seen_at_by_key_and_upstream) < MAX_SEEN_KEYS:
            self._seen_at_by_key_and_upstream[key, upstream] = now

    def discard_seen(self, upstream: str) -> None:
        """Forget the keys that an upstream has seen."""
        self._seen_at_by_key_and_upstream = {
            place: at
            for place, at in self._seen_at_by_key_and_upstream.items()
            if place[1] != upstream
        }

    def is_local(self, upstream: UpstreamState) -> bool:
        """Tell whether an upstream stands in the region of this VM."""
        return self.distances.is_local(upstream.upstream.failure_domain)

    def _consider(
        self,
        choice: BestChoice,
        query: PlacementQuery,
        upstream: UpstreamState,
        *,
        is_hit: bool,
    ) -> None:
        work_s = query.hit_s if is_hit else query.miss_s
        cost_s = self._cost_s(upstream, query.ticket, work_s, query.now)
        cost = (cost_s, self.random.random())
        if cost < choice.cost:
            choice.cost = cost
            choice.choice = PlacementChoice(upstream=upstream, is_hit=is_hit)

    def _candidates(
        self, ticket: Ticket, by_name: Mapping[str, UpstreamState], now: float
    ) -> dict[str, bool]:
        """Give the usable upstreams that a key knows, and which one is planned for it.

        Those of the region that the plan gives to the key come first; the first of all
        has seen it, as far as everybody goes by the plan.
        """
        known: dict[str, bool] = {}
        for names in self.planned_rankings(ticket):
            rank = 0
            for name in names:
                upstream = by_name.get(name)
                if upstream is None or name in ticket.excluded:
                    continue
                if not upstream.is_usable(now):
                    continue
                known[name] = not known
                rank += 1
                if rank == CANDIDATES_PER_SIDE:
                    break
        return known

    def planned_rankings(self, ticket: Ticket) -> tuple[list[str], list[str]]:
        """Give a key's orders of the upstreams, that of its planned place first.

        Large answers stay in the region, since they cost more on the way than a miss;
        so does what may run in named regions only, if the own one is among them.
        """
        assert ticket.affinity is not None
        orders = self.rankings.get(ticket.affinity)
        if ticket.regions:
            return self._permitted(orders, ticket.regions)
        if self.plan.is_remote(orders.hash_fraction) and not ticket.bulky:
            return orders.remote, orders.local
        return orders.local, orders.remote

    def _permitted(
        self, orders: UpstreamRanking, regions: frozenset[str]
    ) -> tuple[list[str], list[str]]:
        """Leave out the upstreams of other regions than the named ones."""
        near, far = (
            [
                name
                for name in names
                if self.distances.region_of(self.rankings.domain_by_name[name])
                in regions
            ]
            for names in (orders.local, orders.remote)
        )
        return (near, far) if near else (far, near)

    def _cost_s(
        self, upstream: UpstreamState, ticket: Ticket, work_s: float, now: float
    ) -> float:
        slots = upstream.upstream.slots
        load = upstream.load(now)
        waiting = max(0.0, load + 1 - slots) / slots
        work = upstream.current_latency(now) + waiting + LOAD_COST_SHARE * load / slots
        cost = work_s * work + self._distance_s(upstream, ticket)
        silent_s = upstream.unresponsive_s(now)
        return cost + silent_s if silent_s > MIN_SILENCE_FACTOR * work_s else cost

    def _distance_s(self, upstream: UpstreamState, ticket: Ticket) -> float:
        domain = upstream.upstream.failure_domain
        distance = self.distances.rtt_s(domain)
        if not ticket.bulky or domain == self.distances.home_domain:
            return distance
        near = self.distances.is_local(domain)
        return distance + (
            BULKY_CROSS_DOMAIN_COST_S if near else BULKY_CROSS_REGION_COST_S
        )


def _load_share(upstream: UpstreamState, now: float) -> float:
    """Give the load of an upstream as a share of its slots."""
    return upstream.load(now) / upstream.upstream.slots
