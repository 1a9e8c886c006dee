"""What it costs to send a request to one upstream rather than another."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import evolve
from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.dispatch.key_orders import MAX_KEYS
from plankspindle_daemon.dispatch.key_orders import KeyOrder
from plankspindle_daemon.dispatch.key_orders import KeyOrders
from plankspindle_daemon.dispatch.measured_distances import MeasuredDistances
from plankspindle_daemon.dispatch.place import Choice
from plankspindle_daemon.dispatch.place import NeedsToken
from plankspindle_daemon.dispatch.place import Place
from plankspindle_daemon.dispatch.place import Query
from plankspindle_daemon.dispatch.region_limiter import RegionLimiter
from plankspindle_daemon.dispatch.region_plan import RegionPlan
from plankspindle_daemon.dispatch.withheld_upstreams import opening_of
from plankspindle_daemon.upstreams.limit_gate import ASK_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from plankspindle_daemon.admission.ticket import Ticket
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState


MISS_FACTOR = 2.5
"""Duration at an upstream that has not seen the affinity key, until it is measured."""
SECOND_LOAD = 0.7
"""Load, as a share of the slots, up to which an upstream takes keys of others.

Requests that miss keep an upstream busy several times as long, and make it forget one
of the few keys that it remembers. A fleet that sends them anywhere once it is busy
loses most of its capacity, and stays busy by that: no key goes beyond the next two
upstreams of its own order. Beside letting idle upstreams take any key, that keeps 0.02
of the worth of days with trouble, played on three seeds, and 0.03 of that of the
modelled loads.
"""
SPREAD_SHARE = 0.25
"""Cost of a fully used upstream over an idle one, in usual durations."""
BULKY_DOMAIN_S = 0.25
BULKY_REGION_S = 0.5
"""Cost of a large answer that leaves its failure domain or region, in seconds."""
SILENCE_FROM = 2.0
"""Silence of an upstream that counts against it, in usual durations."""
RANKED = 2
"""Upstreams of the own region, and of the others, that a key knows by rank."""
SEEN_S = 15.0
"""Time for which an upstream that answered for a key is taken to know it, seconds.

A key that overflows to a second upstream does so every few seconds while it is hot.
"""
MAX_SEEN = 2 * MAX_KEYS
"""Keys at upstreams that are remembered as seen."""


@define(kw_only=True)
class Placement:
    """Order of preference among the upstreams of one service.

    Parameters
    ----------
    distances : MeasuredDistances
        Delays to failure domains.
    limiter : RegionLimiter
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

    distances: MeasuredDistances
    limiter: RegionLimiter
    random: Random
    plan: RegionPlan = Factory(RegionPlan)
    orders: KeyOrders = field(init=False)
    _seen_at_by_place: dict[tuple[str, str], float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.orders = KeyOrders(distances=self.distances)

    def choose(
        self,
        ticket: Ticket,
        by_name: Mapping[str, UpstreamState],
        *,
        fits: Callable[[UpstreamState], bool],
        usual_s: float,
        miss_s: float | None,
        now: float,
    ) -> Place | NeedsToken | None:
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
        Place, NeedsToken or None
            None if it is better to wait for an upstream that has seen the key.

        Notes
        -----
        Only the next upstreams in the key's order are looked at, so that the choice
        does not grow with the service. A retry goes wherever there is room: it left an
        upstream, and would end as unknown if it waited.
        """
        query = Query(
            ticket=ticket,
            usual_s=usual_s,
            missed_s=max(miss_s or 0.0, MISS_FACTOR * usual_s),
            now=now,
        )
        free = self._choose(query, by_name, fits)
        if not isinstance(free, Place):
            return free
        planned_near = self._is_planned_near(ticket)
        wants = self.is_near(free.upstream) is not planned_near
        if ticket.excluded:
            return evolve(free, spills=wants)
        spills = self.limiter.spills(now, wants=wants)
        if spills == wants or (spills and ticket.bulky):
            return evolve(free, spills=wants)
        bound = self._choose(
            query,
            by_name,
            lambda each: (
                (self.is_near(each) is planned_near) is not spills and fits(each)
            ),
        )
        if isinstance(bound, Place):
            return evolve(bound, spills=spills)
        return evolve(free, spills=wants) if spills else bound

    def has_place(
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
        query = Query(ticket=ticket, usual_s=0.0, missed_s=0.0, now=now)
        return isinstance(self._choose(query, by_name, fits), Place)

    def _is_planned_near(self, ticket: Ticket) -> bool:
        """Tell whether the upstream planned for a request is in the own region."""
        if ticket.affinity is None:
            return True
        planned = self.planned_orders(ticket)[0]
        return not planned or self.distances.is_near(
            self.orders.domain_by_name[planned[0]]
        )

    def _choose(
        self,
        query: Query,
        by_name: Mapping[str, UpstreamState],
        fits: Callable[[UpstreamState], bool],
    ) -> Place | NeedsToken | None:
        choice = Choice()
        if query.ticket.affinity is None:
            for upstream in by_name.values():
                if fits(upstream):
                    self._weigh(choice, query, upstream, is_hit=True)
            return choice.place or self._needed_token(query, by_name.values())
        key = query.ticket.affinity
        known = self._present_order(query.ticket, by_name, query.now)
        for name, is_planned in known.items():
            upstream = by_name[name]
            is_hit = is_planned or self.has_seen(key, name, query.now)
            if is_planned and (needed := self._needed_token(query, [upstream])):
                return needed
            if fits(upstream) and (is_hit or _load(upstream, query.now) <= SECOND_LOAD):
                self._weigh(choice, query, upstream, is_hit=is_hit)
        return choice.place

    def _needed_token(
        self, query: Query, upstreams: Iterable[UpstreamState]
    ) -> NeedsToken | None:
        """Give an upstream that a request should wait for, if a token may come soon.

        A retry does not wait, as it would end as unknown; nor does a request that would
        be rejected before the token comes.
        """
        if query.ticket.excluded or query.ticket.hold_until < query.now + ASK_S:
            return None
        for upstream in upstreams:
            gate = upstream.limit_gate()
            if gate is None or gate.has_token(query.now):
                continue
            if not self.is_permitted(upstream, query.ticket):
                continue
            is_open = gate.is_asking(query.now) or gate.may_ask(query.now)
            if is_open and upstream.is_usable(query.now):
                return NeedsToken(upstream)
        return None

    def is_permitted(self, upstream: UpstreamState, ticket: Ticket) -> bool:
        """Tell whether a request may run in the region of an upstream."""
        domain = upstream.upstream.failure_domain
        return not ticket.regions or self.distances.region_of(domain) in ticket.regions

    def opens_at(
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
            return opening_of(by_name.values(), now) or now
        names = self._present_order(ticket, by_name, now)
        known = [by_name[name] for name in names]
        if not known or not all(each.lacks_token(now) for each in known[1:]):
            return now
        return known[0].opens_at(now)

    def has_seen(self, key: str, upstream: str, now: float) -> bool:
        """Tell whether an upstream answered this VM for a key a while ago."""
        seen_at = self._seen_at_by_place.get((key, upstream))
        return seen_at is not None and now - seen_at < SEEN_S

    def note_seen(self, key: str, upstream: str, now: float) -> None:
        """Record that an upstream answered for a key."""
        if len(self._seen_at_by_place) >= MAX_SEEN:
            self._seen_at_by_place = {
                place: at
                for place, at in self._seen_at_by_place.items()
                if now - at < SEEN_S
            }
        if len(self._seen_at_by_place) < MAX_SEEN:
            self._seen_at_by_place[key, upstream] = now

    def forget_seen(self, upstream: str) -> None:
        """Forget the keys that an upstream has seen."""
        self._seen_at_by_place = {
            place: at
            for place, at in self._seen_at_by_place.items()
            if place[1] != upstream
        }

    def is_near(self, upstream: UpstreamState) -> bool:
        """Tell whether an upstream stands in the region of this VM."""
        return self.distances.is_near(upstream.upstream.failure_domain)

    def _weigh(
        self, choice: Choice, query: Query, upstream: UpstreamState, *, is_hit: bool
    ) -> None:
        work_s = query.usual_s if is_hit else query.missed_s
        cost_s = self._cost_s(upstream, query.ticket, work_s, query.now)
        cost = (cost_s, self.random.random())
        if cost < choice.cost:
            choice.cost = cost
            choice.place = Place(upstream=upstream, is_hit=is_hit)

    def _present_order(
        self, ticket: Ticket, by_name: Mapping[str, UpstreamState], now: float
    ) -> dict[str, bool]:
        """Give the usable upstreams that a key knows, and which one is planned for it.

        Those of the region that the plan gives to the key come first; the first of all
        has seen it, as far as everybody goes by the plan.
        """
        known: dict[str, bool] = {}
        for names in self.planned_orders(ticket):
            rank = 0
            for name in names:
                upstream = by_name.get(name)
                if upstream is None or name in ticket.excluded:
                    continue
                if not upstream.is_usable(now):
                    continue
                known[name] = not known
                rank += 1
                if rank == RANKED:
                    break
        return known

    def planned_orders(self, ticket: Ticket) -> tuple[list[str], list[str]]:
        """Give a key's orders of the upstreams, that of its planned place first.

        Large answers stay in the region, since they cost more on the way than a miss;
        so does what may run in named regions only, if the own one is among them.
        """
        assert ticket.affinity is not None
        orders = self.orders.of(ticket.affinity)
        if ticket.regions:
            return self._permitted(orders, ticket.regions)
        if self.plan.leaves(orders.fraction) and not ticket.bulky:
            return orders.far, orders.near
        return orders.near, orders.far

    def _permitted(
        self, orders: KeyOrder, regions: frozenset[str]
    ) -> tuple[list[str], list[str]]:
        """Leave out the upstreams of other regions than the named ones."""
        near, far = (
            [
                name
                for name in names
                if self.distances.region_of(self.orders.domain_by_name[name]) in regions
            ]
            for names in (orders.near, orders.far)
        )
        return (near, far) if near else (far, near)

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
        if not ticket.bulky or domain == self.distances.home_domain:
            return distance
        near = self.distances.is_near(domain)
        return distance + (BULKY_DOMAIN_S if near else BULKY_REGION_S)


def _load(upstream: UpstreamState, now: float) -> float:
    """Give the load of an upstream as a share of its slots."""
    return upstream.load(now) / upstream.upstream.slots
