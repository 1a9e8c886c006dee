"""Choice of an upstream for a request, by the expected time to its response."""

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
from plankspindle_daemon.dispatch.placement_cost import response_cost_s
from plankspindle_daemon.dispatch.placement_cost import silence_cost_s
from plankspindle_daemon.dispatch.region_plan import RegionPlan
from plankspindle_daemon.dispatch.seen_keys import SeenKeys
from plankspindle_daemon.dispatch.spillover_limiter import SpilloverLimiter
from plankspindle_daemon.dispatch.upstream_availability import earliest_available_at
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
"""Duration of an affinity miss over that of a hit, until misses are measured."""
MAX_MISS_LOAD_SHARE = 0.7
"""Load, as a share of the slots, up to which an upstream accepts affinity misses.

A miss occupies an upstream several times as long as a hit and evicts one of the few
keys in its cache. A fleet that sends misses anywhere once it is busy loses most of its
capacity and stays overloaded by that, so a key uses only the next two upstreams of its
ranking. Compared with misses on any idle upstream, this adds 0.02 to the earned worth
of days with faults (over three seeds) and 0.03 to that of the modelled loads.
"""
CANDIDATES_PER_SIDE = 2
"""Upstreams considered per key in the local region, and as many in the remote ones."""


@define(kw_only=True)
class Placement:
    """Preferences among the upstreams of one service.

    Parameters
    ----------
    distances : DomainDistances
        Round-trip times to failure domains.
    limiter : SpilloverLimiter
        Limit on spill-over to other regions, shared by all services of this VM.
    random : Random
        Source of tie-breaks.
    plan : RegionPlan
        Which keys of this service are planned for a remote region.
    seen_keys : SeenKeys
        Keys that upstreams answered lately.

    Notes
    -----
    Requests with the same affinity key prefer the same upstream. It is found by
    rendezvous hashing among the upstreams of the local region or of all others, as the
    plan says, so that the entry VMs of a region agree without communication. Any other
    upstream counts as an affinity miss until it has answered this VM for the key: a key
    that is too hot for one upstream then keeps overflowing to the same second one.
    """

    distances: DomainDistances
    limiter: SpilloverLimiter
    random: Random
    plan: RegionPlan = Factory(RegionPlan)
    rankings: UpstreamRankings = field(init=False)
    seen_keys: SeenKeys = Factory(SeenKeys)

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
        """Choose the upstream with the lowest expected time to a response.

        Parameters
        ----------
        ticket : Ticket
            The request.
        by_name : mapping of str to UpstreamState
            All upstreams of the service.
        fits : callable
            Returns whether an upstream may accept the request now.
        hit_s : float
            Expected duration on an upstream that has seen the affinity key, in seconds.
        miss_s : float, optional
            Expected duration on any other upstream, in seconds; None if not measured.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        PlacementChoice, NeedsToken or None
            None if waiting is better, as for an upstream that has seen the key.

        Notes
        -----
        Only the first upstreams in the key's ranking are considered, so the cost of a
        choice does not grow with the service. A retry ignores the spill-over limit: if
        it waited and were rejected, the outcome of the request would be unknown.
        """
        query = PlacementQuery(
            ticket=ticket,
            hit_s=hit_s,
            miss_s=max(miss_s or 0.0, MISS_DURATION_FACTOR * hit_s),
            now=now,
        )
        best = self._choose(query, by_name, fits)
        if not isinstance(best, PlacementChoice):
            return best
        planned_local = self._is_planned_local(ticket)
        wants_spill = self.is_local(best.upstream) is not planned_local
        if ticket.excluded_upstreams:
            return evolve(best, spills=wants_spill)
        spills = self.limiter.should_spill(now, wants_spill=wants_spill)
        if spills == wants_spill or (spills and ticket.bulky):
            return evolve(best, spills=wants_spill)
        restricted = self._choose(
            query,
            by_name,
            lambda each: (
                (self.is_local(each) is planned_local) is not spills and fits(each)
            ),
        )
        if isinstance(restricted, PlacementChoice):
            return evolve(restricted, spills=spills)
        return evolve(best, spills=wants_spill) if spills else restricted

    def has_candidate(
        self,
        ticket: Ticket,
        by_name: Mapping[str, UpstreamState],
        *,
        fits: Callable[[UpstreamState], bool],
        now: float,
    ) -> bool:
        """Return whether a retry would be placed now, by the rules of :meth:`choose`.

        Parameters
        ----------
        ticket : Ticket
            The request, which excludes the upstreams that it leaves.
        by_name : mapping of str to UpstreamState
            All upstreams of the service.
        fits : callable
            Returns whether an upstream may accept the request now.
        now : float
            Monotonic time in seconds.
        """
        query = PlacementQuery(ticket=ticket, hit_s=0.0, miss_s=0.0, now=now)
        return isinstance(self._choose(query, by_name, fits), PlacementChoice)

    def _is_planned_local(self, ticket: Ticket) -> bool:
        """Return whether the upstream planned for a request is in the local region."""
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
        best = BestChoice()
        if query.ticket.affinity is None:
            for upstream in by_name.values():
                if fits(upstream):
                    self._consider(best, query, upstream, is_hit=True)
            return best.choice or self._upstream_to_wait_for(query, by_name.values())
        key = query.ticket.affinity
        candidates = self._candidates(query.ticket, by_name, query.now)
        for name, is_planned in candidates.items():
            upstream = by_name[name]
            is_hit = is_planned or self.has_seen(key, name, query.now)
            if is_planned and (wait := self._upstream_to_wait_for(query, [upstream])):
                return wait
            if fits(upstream) and (
                is_hit or _load_share(upstream, query.now) <= MAX_MISS_LOAD_SHARE
            ):
                self._consider(best, query, upstream, is_hit=is_hit)
        return best.choice

    def _upstream_to_wait_for(
        self, query: PlacementQuery, upstreams: Iterable[UpstreamState]
    ) -> NeedsToken | None:
        """Return an upstream whose rate limit may grant a token soon, if any.

        A retry does not wait, since a rejected retry has an unknown outcome; nor does a
        request that would be rejected before the token arrives.
        """
        if (
            query.ticket.excluded_upstreams
            or query.ticket.queue_deadline < query.now + TOKEN_WAIT_S
        ):
            return None
        for upstream in upstreams:
            limiter = upstream.fleet_limiter()
            if limiter is None or limiter.has_token(query.now):
                continue
            if not self.is_permitted(upstream, query.ticket):
                continue
            may_come = limiter.has_pending_request(
                query.now
            ) or limiter.may_request_token(query.now)
            if may_come and upstream.is_usable(query.now):
                return NeedsToken(upstream)
        return None

    def is_permitted(self, upstream: UpstreamState, ticket: Ticket) -> bool:
        """Return whether a request may run in the region of an upstream."""
        domain = upstream.upstream.failure_domain
        return (
            not ticket.allowed_regions
            or self.distances.region_of(domain) in ticket.allowed_regions
        )

    def available_at(
        self, ticket: Ticket, by_name: Mapping[str, UpstreamState], now: float
    ) -> float:
        """Return when rate limits and retry-after periods allow a request to be placed.

        Parameters
        ----------
        ticket : Ticket
            The request.
        by_name : mapping of str to UpstreamState
            All upstreams of the service.
        now : float
            Monotonic time in seconds.

        Notes
        -----
        The result is in monotonic seconds; ``now`` if an upstream may be available
        already. Tokens are requested only for the upstream planned for a key. The other
        candidates of the key accept the request only if a token is already available.
        """
        if ticket.affinity is None:
            return earliest_available_at(by_name.values(), now) or now
        names = self._candidates(ticket, by_name, now)
        candidates = [by_name[name] for name in names]
        if not candidates or not all(each.lacks_token(now) for each in candidates[1:]):
            return now
        return candidates[0].available_at(now)

    def has_seen(self, key: str, upstream: str, now: float) -> bool:
        """Return whether an upstream answered this VM for a key within the TTL."""
        return self.seen_keys.has_seen(key, upstream, now)

    def for_subset(self) -> Placement:
        """Return a placement among some of the upstreams of the same service.

        Notes
        -----
        It shares the limiter and the seen keys, and has rankings and a plan of its own;
        the plan begins like this one.
        """
        return Placement(
            distances=self.distances,
            limiter=self.limiter,
            random=self.random,
            plan=RegionPlan(remote_share=self.plan.remote_share),
            seen_keys=self.seen_keys,
        )

    def is_local(self, upstream: UpstreamState) -> bool:
        """Return whether an upstream is in the region of this VM."""
        return self.distances.is_local(upstream.upstream.failure_domain)

    def _consider(
        self,
        best: BestChoice,
        query: PlacementQuery,
        upstream: UpstreamState,
        *,
        is_hit: bool,
    ) -> None:
        work_s = query.hit_s if is_hit else query.miss_s
        tie_break = self.random.random()
        cost_s = response_cost_s(
            upstream, query.ticket, work_s, self.distances, query.now
        )
        if (cost_s, tie_break) >= best.cost:
            return
        cost_s += silence_cost_s(upstream, work_s, query.now)
        if (cost_s, tie_break) < best.cost:
            best.cost = (cost_s, tie_break)
            best.choice = PlacementChoice(upstream=upstream, is_hit=is_hit)

    def _candidates(
        self, ticket: Ticket, by_name: Mapping[str, UpstreamState], now: float
    ) -> dict[str, bool]:
        """Return the usable upstreams of a key, and which one is planned for it.

        The planned side is first. Only the first upstream is planned: all entry VMs
        that follow the plan send the key there, so it is assumed to have seen the key.
        """
        candidates: dict[str, bool] = {}
        for names in self.planned_rankings(ticket):
            rank = 0
            for name in names:
                upstream = by_name.get(name)
                if upstream is None or name in ticket.excluded_upstreams:
                    continue
                if not upstream.is_usable(now):
                    continue
                candidates[name] = not candidates
                rank += 1
                if rank == CANDIDATES_PER_SIDE:
                    break
        return candidates

    def planned_rankings(self, ticket: Ticket) -> tuple[list[str], list[str]]:
        """Return a key's local and remote upstreams by rank, its planned side first.

        Large responses stay local, since their transfer costs more than a miss. So do
        requests that are restricted to named regions, if the local one is among them.
        """
        assert ticket.affinity is not None
        ranking = self.rankings.get(ticket.affinity)
        if ticket.allowed_regions:
            return self._permitted(ranking, ticket.allowed_regions)
        if self.plan.is_remote(ranking.hash_fraction) and not ticket.bulky:
            return ranking.remote, ranking.local
        return ranking.local, ranking.remote

    def _permitted(
        self, ranking: UpstreamRanking, regions: frozenset[str]
    ) -> tuple[list[str], list[str]]:
        """Return a key's ranked upstreams in the named regions only."""
        local, remote = (
            [
                name
                for name in names
                if self.distances.region_of(self.rankings.domain_by_name[name])
                in regions
            ]
            for names in (ranking.local, ranking.remote)
        )
        return (local, remote) if local else (remote, local)


def _load_share(upstream: UpstreamState, now: float) -> float:
    """Return the load of an upstream as a share of its slots."""
    return upstream.load(now) / upstream.upstream.slots
