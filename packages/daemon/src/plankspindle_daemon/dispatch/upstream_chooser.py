"""Choice of an upstream for a request, among those that the request may use."""

from __future__ import annotations

from itertools import chain
from random import Random
from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.dispatch.completion_recorder import miss_operation
from plankspindle_daemon.dispatch.duration_averages import DurationAverages
from plankspindle_daemon.dispatch.placement import Placement
from plankspindle_daemon.dispatch.placement_choice import NeedsToken
from plankspindle_daemon.dispatch.placement_choice import PlacementChoice
from plankspindle_daemon.dispatch.upstream_availability import earliest_available_at
from plankspindle_daemon.dispatch.version_gate import UpstreamSet
from plankspindle_daemon.dispatch.version_gate import VersionOption
from plankspindle_daemon.dispatch.version_pools import UpstreamPool
from plankspindle_daemon.dispatch.version_routing import VersionRouting
from plankspindle_daemon.upstreams.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from plankspindle_daemon.admission.ticket import Ticket
    from plankspindle_daemon.dispatch.region_plan import RegionPlan


@frozen(kw_only=True)
class ChosenUpstream:
    """An upstream chosen for a request.

    Parameters
    ----------
    upstream : UpstreamState
        The upstream.
    is_hit : bool
        Whether it is expected to have seen the affinity key.
    pool : UpstreamPool
        Upstreams that it was chosen from.
    option : VersionOption, optional
        Why the request may use its software version; None without a split.
    """

    upstream: UpstreamState
    is_hit: bool
    pool: UpstreamPool
    option: VersionOption | None = None


@define(kw_only=True)
class UpstreamChooser:
    """Choose upstreams for the requests of one service.

    Parameters
    ----------
    upstreams_by_name : mapping of str to UpstreamState
        All upstreams of the service.
    placement : Placement, optional
        Preferences among them; None if the slots are divided among the entry VMs.
    versions : VersionRouting
        Which software versions a request may use.
    durations : DurationAverages
        Average durations of the service's operations.
    random : Random
        Source of tie-breaks.
    """

    upstreams_by_name: dict[str, UpstreamState]
    placement: Placement | None
    versions: VersionRouting
    durations: DurationAverages
    random: Random
    _everything: list[tuple[VersionOption | None, UpstreamPool]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        pool = UpstreamPool(
            upstreams_by_name=self.upstreams_by_name, placement=self.placement
        )
        self._everything = [(None, pool)]

    def choose(self, ticket: Ticket, now: float) -> ChosenUpstream | NeedsToken | None:
        """Choose an upstream that may accept a request now.

        Parameters
        ----------
        ticket : Ticket
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        ChosenUpstream, NeedsToken or None
            None if the request is to wait.
        """
        chosen: ChosenUpstream | NeedsToken | None = None
        for option, pool in self._pools(ticket, now):
            chosen = self._choose_from(pool, option, ticket, now)
            if isinstance(chosen, ChosenUpstream):
                return chosen
        # Only the last pool is worth waiting for, and so are its tokens.
        return chosen

    def _pools(
        self, ticket: Ticket, now: float
    ) -> list[tuple[VersionOption | None, UpstreamPool]]:
        """Return the pools that a request may use, the preferred ones first."""
        if self.versions.is_active:
            expected_s = max(ticket.expected_s, self._expected_s(ticket))
            return [*self.versions.options(ticket, expected_s=expected_s, now=now)]
        return self._everything

    def _choose_from(
        self,
        pool: UpstreamPool,
        option: VersionOption | None,
        ticket: Ticket,
        now: float,
    ) -> ChosenUpstream | NeedsToken | None:
        fits = self._can_start(ticket, option, now)
        if pool.placement is None:
            accepting = [each for each in pool.upstreams_by_name.values() if fits(each)]
            if not accepting:
                return None
            scored = [(each.score(now), self.random.random()) for each in accepting]
            upstream = accepting[scored.index(min(scored))]
            return ChosenUpstream(
                upstream=upstream, is_hit=True, pool=pool, option=option
            )
        choice = pool.placement.choose(
            ticket,
            pool.upstreams_by_name,
            fits=fits,
            hit_s=self._expected_s(ticket),
            miss_s=self.durations.total_s_by_operation.get(miss_operation(ticket)),
            now=now,
        )
        if not isinstance(choice, PlacementChoice):
            return choice
        pool.placement.limiter.record_sent(spills=choice.spills)
        return ChosenUpstream(
            upstream=choice.upstream, is_hit=choice.is_hit, pool=pool, option=option
        )

    def waits_for(self, ticket: Ticket, now: float) -> UpstreamSet | None:
        """Return the upstreams that a request waits for; None without a split."""
        option = self._pools(ticket, now)[-1][0]
        return None if option is None else option.upstreams

    def could_place_elsewhere(self, ticket: Ticket, upstream: str, now: float) -> bool:
        """Return whether another upstream could accept a request now."""
        excluding = ticket.excluding(ticket.excluded_upstreams | {upstream})
        return any(
            self._has_candidate(pool, option, excluding, now)
            for option, pool in self._pools(excluding, now)
        )

    def _has_candidate(
        self,
        pool: UpstreamPool,
        option: VersionOption | None,
        ticket: Ticket,
        now: float,
    ) -> bool:
        fits = self._can_start(ticket, option, now)
        if pool.placement is None:
            return any(map(fits, pool.upstreams_by_name.values()))
        return pool.placement.has_candidate(
            ticket, pool.upstreams_by_name, fits=fits, now=now
        )

    def _can_start(
        self, ticket: Ticket, option: VersionOption | None, now: float
    ) -> Callable[[UpstreamState], bool]:
        """Return a check whether an upstream may accept a request now.

        Cold upstreams get no canary requests: their answers tell nothing of a version.
        """
        end = now + max(ticket.expected_s, self._expected_s(ticket))
        is_canary = option is not None and option.upstreams is UpstreamSet.CANARY
        return lambda each: (
            self._may_run_at(ticket, each)
            and each.can_start(now=now, deadline=ticket.deadline, expected_end=end)
            and (not is_canary or each.accepts_keys(now))
        )

    def _may_run_at(self, ticket: Ticket, upstream: UpstreamState) -> bool:
        if upstream.name in ticket.excluded_upstreams:
            return False
        return self.placement is None or self.placement.is_permitted(upstream, ticket)

    def first_available_at(self, ticket: Ticket, now: float) -> float | None:
        """Return when the first upstream accepts a request; None if none ever will.

        Parameters
        ----------
        ticket : Ticket
            The request.
        now : float
            Monotonic time in seconds.
        """
        upstreams = chain.from_iterable(
            pool.upstreams_by_name.values() for _, pool in self._pools(ticket, now)
        )
        allowed = (each for each in upstreams if self._may_run_at(ticket, each))
        return earliest_available_at(allowed, now)

    def placeable_at(self, ticket: Ticket, now: float) -> float:
        """Return when rate limits and retry-after periods allow a request to be placed.

        Parameters
        ----------
        ticket : Ticket
            The request.
        now : float
            Monotonic time in seconds.
        """
        return min(
            now
            if pool.placement is None
            else pool.placement.available_at(ticket, pool.upstreams_by_name, now)
            for _, pool in self._pools(ticket, now)
        )

    def usable_upstreams(self, now: float) -> Mapping[str, UpstreamState]:
        """Return the upstreams that get requests now."""
        if not self.versions.is_active:
            return self.upstreams_by_name
        return self.versions.usable_upstreams(now)

    def region_plan(self) -> RegionPlan | None:
        """Return the plan of the keys at the version in force; None without plans."""
        pool = self.versions.pool_in_force() or self._everything[0][1]
        return None if pool.placement is None else pool.placement.plan

    def pools(self, now: float) -> list[tuple[UpstreamPool, bool]]:
        """Return all pools, and whether each gets requests now."""
        if not self.versions.is_active:
            return [(self._everything[0][1], True)]
        in_use = self.versions.pools_in_use(now)
        return [
            (pool, any(pool is used for used in in_use))
            for pool in self.versions.pools.pools_by_set.values()
        ]

    def _expected_s(self, ticket: Ticket) -> float:
        return self.durations.expected_total_s(
            operation=ticket.operation, declared_s=ticket.expected_s
        )
