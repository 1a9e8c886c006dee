"""Software versions of one service: who may use them, and how they answer."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import evolve

from plankspindle_core.classes import define
from plankspindle_core.invariants import check_invariant
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.dispatch.version_counts import ListedVersion
from plankspindle_daemon.dispatch.version_counts import VersionCounts
from plankspindle_daemon.dispatch.version_gate import UpstreamSet
from plankspindle_daemon.dispatch.version_gate import VersionGate
from plankspindle_daemon.dispatch.version_gate import VersionOption
from plankspindle_daemon.dispatch.version_outcomes import StartedAttempt
from plankspindle_daemon.dispatch.version_outcomes import VersionTally
from plankspindle_daemon.dispatch.version_pools import UpstreamPool
from plankspindle_daemon.dispatch.version_pools import VersionPools
from plankspindle_daemon.dispatch.version_pools import is_baseline
from plankspindle_daemon.dispatch.version_pools import is_target
from plankspindle_daemon.upstreams.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from plankspindle_daemon.admission.ticket import Ticket
    from plankspindle_daemon.dispatch.messages import AttemptCompleted
    from plankspindle_daemon.dispatch.placement import Placement
    from plankspindle_daemon.dispatch.upstream_chooser import ChosenUpstream
    from plankspindle_daemon.dispatch.version_split import VersionSplit
    from plankspindle_daemon.traces.steps import Placed

BASELINE = "baseline"
TARGET = "target"
OTHER = "other"
"""Roles of software versions, in counts."""
ABANDONED_S = 0.5
"""Time for which an upstream may go on with a request that was given up, in seconds.

It stops once it has noticed that its connection was closed.
"""
_ENDED_AT_UPSTREAM = frozenset(
    {
        AttemptOutcome.ANSWERED,
        AttemptOutcome.SHED,
        AttemptOutcome.MISDIRECTED,
        AttemptOutcome.UNREACHABLE,
    }
)


@define(kw_only=True)
class VersionRouting:
    """Software versions of one service's upstreams; inert until a split is set.

    Attributes
    ----------
    gate : VersionGate
        Which versions a request may use.
    pools : VersionPools
        Upstreams by version.
    tally : VersionTally
        Judged answers.
    sent_by_role : Counter of str
        Requests sent to the baseline and the target, over all orders.
    """

    gate: VersionGate = Factory(VersionGate)
    pools: VersionPools = Factory(VersionPools)
    tally: VersionTally = Factory(VersionTally)
    sent_by_role: Counter[str] = Factory(Counter)
    _abandoned_until: list[float] = Factory(list)
    _merged_parts: list[dict[str, UpstreamState]] = Factory(list)
    _merged: dict[str, UpstreamState] = Factory(dict)

    @property
    def is_active(self) -> bool:
        """Whether a split is set."""
        return self.gate.split is not None

    def set_split(
        self,
        split: VersionSplit | None,
        upstreams_by_name: dict[str, UpstreamState],
        placement: Placement | None,
    ) -> None:
        """Set the shares of the software versions; None if they do not matter.

        Parameters
        ----------
        split : VersionSplit, optional
            The shares.
        upstreams_by_name : dict of str to UpstreamState
            All upstreams of the service.
        placement : Placement, optional
            Preferences among all of them.
        """
        before = self.gate.split
        if self.gate.set_split(split):
            self.tally.begin_order()
        if split is None:
            self.sent_by_role.clear()
            self.tally.bad_by_role.clear()
        if before is None or split is None or before.baseline != split.baseline:
            self.tally.discard_usual_times()
        if self.pools.set_split(split):
            self.pools.update(upstreams_by_name, placement)

    def update_rankings(
        self, upstreams_by_name: dict[str, UpstreamState], placement: Placement | None
    ) -> None:
        """Rank the upstreams that are to stay, after a change of the upstreams."""
        if placement is not None:
            placement.rankings.set_upstreams(
                {
                    name: each.upstream.failure_domain
                    for name, each in upstreams_by_name.items()
                    if not each.leaving and each.drained_at is None
                }
            )
        if self.is_active:
            self.pools.update(upstreams_by_name, placement)

    def options(
        self, ticket: Ticket, *, expected_s: float, now: float
    ) -> list[tuple[VersionOption, UpstreamPool]]:
        """Return the pools that a request may use now, the preferred ones first.

        Parameters
        ----------
        ticket : Ticket
            The request.
        expected_s : float
            Its expected duration, in seconds.
        now : float
            Monotonic time in seconds.
        """
        by_set = self.pools.pools_by_set
        options = self.gate.options(
            ticket,
            failed_at_target=not self.pools.target_names.isdisjoint(
                ticket.excluded_upstreams
            ),
            expected_s=expected_s,
            stays=lambda upstreams: by_set[upstreams].stays(now),
            now=now,
        )
        return [(each, by_set[each.upstreams]) for each in options]

    def pools_in_use(self, now: float) -> list[UpstreamPool]:
        """Return the disjoint pools that get requests now."""
        by_set = self.pools.pools_by_set
        in_use = [by_set[each] for each in self.gate.sets_in_use(now)]
        if any(each.stays(now) for each in in_use):
            return in_use
        if not self.gate.may_use_others(now):
            return in_use
        return [by_set[UpstreamSet.ANY]]

    def pool_in_force(self) -> UpstreamPool | None:
        """Return the upstreams of the version in force; None without a split."""
        split = self.gate.split
        if split is None:
            return None
        in_force = UpstreamSet.TARGET if split.is_complete else UpstreamSet.BASELINE
        return self.pools.pools_by_set[in_force]

    def usable_upstreams(self, now: float) -> dict[str, UpstreamState]:
        """Return the upstreams that get requests now, by name."""
        parts = [each.upstreams_by_name for each in self.pools_in_use(now)]
        if len(parts) == 1:
            return parts[0]
        before = self._merged_parts
        if len(before) != len(parts) or any(
            part is not other for part, other in zip(parts, before, strict=True)
        ):
            self._merged_parts = parts
            self._merged = {key: each for part in parts for key, each in part.items()}
        return self._merged

    def rebuild_rankings(self, placement: Placement | None) -> None:
        """Rank all upstreams again, as domains may have moved to another region."""
        if placement is not None:
            placement.rankings.rebuild()
        self.pools.rebuild_rankings()

    def record_assigned(
        self,
        ticket: Ticket,
        choice: ChosenUpstream,
        option: VersionOption,
        *,
        step: Placed,
        now: float,
    ) -> Placed:
        """Check and count the assignment of a request.

        Parameters
        ----------
        ticket : Ticket
            The request.
        choice : ChosenUpstream
            Upstream that it is assigned to, and the pool that it was chosen from.
        option : VersionOption
            Why it may use that one.
        step : Placed
            Values behind the choice, for the request trace.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Placed
            The same values with the software version.
        """
        split = self.gate.split
        assert split is not None
        chosen, pool = choice.upstream, choice.pool
        at_target = is_target(split, chosen)
        check_invariant(
            "software-version-allowed",
            chosen.name in pool.upstreams_by_name
            and self.gate.allows(option, is_target=at_target, now=now),
            f"{chosen.name} as {option.reason.value}",
        )
        self.gate.record_sent(is_target=at_target)
        role = _role(split, chosen)
        self.sent_by_role[role] += 1
        if role != OTHER and chosen.accepts_keys(now):
            started = StartedAttempt(
                upstream=chosen.name,
                failure_domain=chosen.upstream.failure_domain,
                is_target=at_target,
                is_comparable=_is_comparable(ticket, chosen, pool.placement, now),
                operation=ticket.operation,
                started_at=math.inf if ticket.is_upload else now,
            )
            self.tally.record_started(ticket.id, started)
        return evolve(
            step,
            software_version=chosen.upstream.software_version,
            software_version_reason=option.reason.value,
        )

    def record_completed(self, completed: AttemptCompleted, now: float) -> None:
        """Judge the answer of a completed attempt, if a split is set."""
        split = self.gate.split
        if split is not None:
            is_at_target = completed.upstream in self.pools.target_names
            if not is_at_target and completed.outcome not in _ENDED_AT_UPSTREAM:
                self._abandoned_until.append(now + ABANDONED_S)
            is_capped = split.max_exposure_share is not None
            self.tally.record_completed(completed, is_capped=is_capped)

    def tick(self, now: float) -> None:
        """Judge attempts that take longer than a slow answer, if a roll-out runs."""
        if self._abandoned_until:
            self._abandoned_until = [
                each for each in self._abandoned_until if each > now
            ]
        split = self.gate.split
        if split is not None and split.target is not None:
            is_capped = split.max_exposure_share is not None
            self.tally.record_overdue(now, is_capped=is_capped)

    def counts(self, upstreams: Iterable[UpstreamState]) -> VersionCounts:
        """Return the counts since the order.

        Parameters
        ----------
        upstreams : iterable of UpstreamState
            All upstreams of the service.
        """
        split = self.gate.split
        return VersionCounts(
            requests=self.gate.requests,
            exposed=self.gate.exposed,
            outcomes=self.tally.outcomes(),
            bad_upstreams=self.tally.bad_upstreams(),
            baseline_in_flight=sum(
                each.ledger.in_flight
                for each in upstreams
                if split is None or not is_target(split, each)
            )
            + len(self._abandoned_until),
        )


def _role(split: VersionSplit, upstream: UpstreamState) -> str:
    if is_target(split, upstream):
        return TARGET
    return BASELINE if is_baseline(split, upstream) else OTHER


def count_listed(
    upstreams: Iterable[UpstreamState], now: float
) -> dict[str, ListedVersion]:
    """Count the upstreams that stay, by software version.

    Parameters
    ----------
    upstreams : iterable of UpstreamState
        All upstreams of a service.
    now : float
        Monotonic time in seconds.
    """
    listed: Counter[str] = Counter()
    warm: Counter[str] = Counter()
    for each in upstreams:
        if each.rejects_new_work(now) or each.leaves_at is not None:
            continue
        listed[each.upstream.software_version] += 1
        warm[each.upstream.software_version] += each.accepts_keys(now)
    return {
        software_version: ListedVersion(listed=count, warm=warm[software_version])
        for software_version, count in listed.items()
    }


def _is_comparable(
    ticket: Ticket, chosen: UpstreamState, placement: Placement | None, now: float
) -> bool:
    """Return whether a request takes about as long as others of its operation."""
    if ticket.affinity is None:
        return True
    return placement is not None and placement.has_seen(
        ticket.affinity, chosen.name, now
    )
