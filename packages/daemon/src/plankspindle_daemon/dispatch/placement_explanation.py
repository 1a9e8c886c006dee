"""Explanation of the choice of an upstream, for the request trace."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_daemon.dispatch.placement import Placement
from plankspindle_daemon.traces.steps import Placed

if TYPE_CHECKING:
    from collections.abc import Mapping

    from plankspindle_daemon.admission.ticket import Ticket
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState


def explain_choice(
    placement: Placement | None,
    ticket: Ticket,
    by_name: Mapping[str, UpstreamState],
    chosen: UpstreamState,
    *,
    is_hit: bool,
    now: float,
) -> Placed:
    """Return the values behind a choice, before the request is counted on the upstream.

    Parameters
    ----------
    placement : Placement, optional
        Placement that made the choice; None if the slots are divided among entry VMs.
    ticket : Ticket
        The request.
    by_name : mapping of str to UpstreamState
        All upstreams of the service.
    chosen : UpstreamState
        The chosen upstream.
    is_hit : bool
        Whether it is expected to have seen the affinity key.
    now : float
        Monotonic time in seconds.
    """
    if placement is not None:
        step = PlacementExplanation(placement=placement)
        return step.explain(ticket, by_name, chosen, is_hit=is_hit, now=now)
    return Placed(
        upstream=chosen.name,
        own_load=chosen.ledger.in_flight,
        others_load=0.0,
        slots=chosen.ledger.slots,
        latency=chosen.current_latency(now),
    )


@frozen(kw_only=True)
class PlacementExplanation:
    """Explain the choices of a placement.

    Parameters
    ----------
    placement : Placement
        Placement that made the choices.
    """

    placement: Placement

    def explain(
        self,
        ticket: Ticket,
        by_name: Mapping[str, UpstreamState],
        chosen: UpstreamState,
        *,
        is_hit: bool,
        now: float,
    ) -> Placed:
        """Return the values behind a choice; see :func:`explain_choice`."""
        is_remote = not self.placement.is_local(chosen)
        preferred = None
        if ticket.affinity is not None and (is_remote or not is_hit):
            preferred = self._preferred(ticket, by_name)
        domain = chosen.upstream.failure_domain
        return Placed(
            upstream=chosen.name,
            own_load=chosen.ledger.in_flight,
            others_load=chosen.load(now) - chosen.ledger.in_flight,
            report_age_ms=chosen.report_age_ms(now),
            slots=chosen.upstream.slots,
            latency=chosen.current_latency(now),
            rtt_ms=1000 * self.placement.distances.rtt_s(domain),
            hit=is_hit,
            leaves_region=is_remote,
            preferred=None if preferred is None else preferred.name,
            not_preferred=self._not_preferred_reason(preferred, ticket, now),
        )

    def _preferred(
        self, ticket: Ticket, by_name: Mapping[str, UpstreamState]
    ) -> UpstreamState | None:
        """Return the upstream that the request's key prefers, whether usable or not."""
        names = self.placement.planned_rankings(ticket)[0]
        return by_name.get(names[0]) if names else None

    def _not_preferred_reason(
        self, preferred: UpstreamState | None, ticket: Ticket, now: float
    ) -> str | None:
        """Return why the preferred upstream was not chosen."""
        if preferred is None:
            return None
        if preferred.name in ticket.excluded_upstreams:
            return "an earlier attempt failed there"
        if not preferred.is_usable(now):
            return preferred.status(now).value
        load = preferred.load(now)
        if load >= preferred.upstream.slots:
            return f"full: {load:.1f} of {preferred.upstream.slots} slots"
        return f"costlier: {load:.1f} of {preferred.upstream.slots} slots"
