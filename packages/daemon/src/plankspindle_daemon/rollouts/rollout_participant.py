"""State machine of one entry VM that takes part in the roll-outs of a service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import evolve

from plankspindle_core.classes import define
from plankspindle_daemon.dispatch.version_split import VersionSplit
from plankspindle_daemon.peer_messages.rollout_messages import RolloutReport
from plankspindle_daemon.rollouts.canary_share import CanaryBudget
from plankspindle_daemon.rollouts.rollout_order import RolloutOrder
from plankspindle_daemon.rollouts.stage import Stage

if TYPE_CHECKING:
    from plankspindle_core.configuration.rollout import Rollout
    from plankspindle_daemon.dispatch.version_counts import ListedVersion
    from plankspindle_daemon.dispatch.version_counts import VersionCounts
    from plankspindle_daemon.peer_messages.rollout_messages import RolloutDirective
    from plankspindle_daemon.rollouts.rollout_record import RolloutRecord

LEASE_S = 2.0
"""Time for which a directive holds, in seconds."""
CANARY_SHARE = 0.05
"""Share of the requests, and of the target's upstreams, that the canary gets."""
SETTLE_S = 0.5
"""Time before the planned end by which all requests go to the target, in seconds.

Those that were sent to the baseline before then end meanwhile, and answers of the
target show how it bears all requests.
"""
RESUMED_SETTLE_S = 2.0
"""The same after an interruption, in which no answers came while the share grew."""
ALONE_S = 1.25
"""Time after which an order for the only listed version has nothing to move, in s."""
KNOWN_AFTER_S = 5.0
"""Time for which a version must be the only listed one to be known as in force, in s.

A process may start while the entries of the version in force have lapsed.
"""
MOVE_POWER = 3
"""Power of the time in which the share grows: its first part exposes few requests."""
FIRST_READ_S = 3.0
"""Time without a directive after which a VM reads the record, in seconds."""
MOVING_READ_PERIOD_S = 1.0
"""Pause between reads of a VM that has no lease in the stage ``MOVING``, in seconds."""
MAX_READ_PERIOD_S = 30.0
"""Longest pause between reads in other stages, in seconds."""


@define(kw_only=True)
class RolloutParticipant:
    """Follow the directives of a roll-out, or send the target nothing without one.

    Parameters
    ----------
    vm, failure_domain : str
        Name of this VM, and the failure domain that it is located in.
    incarnation : int
        Random number that identifies this process.
    service : str
        The service.
    canary_share : float
        Share of the requests that the canary gets at any traffic.
    exposure_slack : float
        Requests that a bad version may get beyond its share.

    Attributes
    ----------
    baseline : str or None
        Software version in force before the order; None while no upstream is listed.
    is_baseline_confirmed : bool
        Whether a record or a directive named the baseline.
    was_baseline_alone : bool
        Whether the baseline has ever been the only listed version.
    is_baseline_known : bool
        Whether the baseline was confirmed, or the only listed version for long.
    order : RolloutOrder or None
        The last order.
    is_withdrawn : bool
        Whether the operator has withdrawn it.
    stage : Stage
        Latest stage of the order that this VM knows.
    reason : str
        What decided the stage.
    moving_at, ends_at : float
        Start and planned end of the stage ``MOVING``, in monotonic seconds.
    directed_at : float
        When the last directive of this order came, in monotonic seconds.
    """

    vm: str
    failure_domain: str
    incarnation: int
    service: str
    canary_share: float = CANARY_SHARE
    exposure_slack: float = 0.0
    baseline: str | None = None
    is_baseline_confirmed: bool = False
    was_baseline_alone: bool = False
    is_baseline_known: bool = False
    order: RolloutOrder | None = None
    is_withdrawn: bool = False
    stage: Stage = Stage.PREPARING
    reason: str = ""
    moving_at: float = math.inf
    ends_at: float = math.inf
    directed_at: float = -math.inf
    _directed_share: float | None = None
    _alone_since: float | None = None
    _all_moved_at: float = math.inf
    _was_interrupted: bool = False
    _lease_until: float = -math.inf
    _next_read_at: float = math.inf
    _read_period_s: float = FIRST_READ_S

    @property
    def is_running(self) -> bool:
        """Whether an order has not reached its end as far as this VM knows."""
        return self.order is not None and not self.stage.is_final

    @property
    def version_in_force(self) -> str | None:
        """Software version in force."""
        if self.order is not None and self.stage is Stage.COMPLETE:
            return self.order.target_version
        return self.baseline

    def observe_versions(self, listed: dict[str, ListedVersion], *, now: float) -> None:
        """Take the only listed version as the baseline, or the likeliest of several.

        Parameters
        ----------
        listed : dict of str to ListedVersion
            Upstreams of the service by software version.
        now : float
            Monotonic seconds.

        Notes
        -----
        Without a record, the version of most upstreams that no order names as its
        target is the likeliest. A known baseline is never replaced because others are
        listed, and a guess only if it turns out to be what is only ordered.
        """
        target = self.order.target_version if self.order is not None else None
        is_wrong = (
            self.baseline == target and len(listed) > 1 and not self.is_baseline_known
        )
        if listed and (self.baseline is None or is_wrong):
            self.baseline = min(
                listed, key=lambda name: (name == target, -listed[name].listed, name)
            )
            self.was_baseline_alone = False
        self._observe_alone(is_alone=listed.keys() == {self.baseline}, now=now)

    def is_baseline_alone(self, now: float) -> bool:
        """Return whether the baseline has been the only listed version for a while."""
        since = self._alone_since
        return since is not None and now - since >= ALONE_S

    def _observe_alone(self, *, is_alone: bool, now: float) -> None:
        if is_alone and self._alone_since is None:
            self._alone_since = now
        # Lists change seldom: the time counts up to the change that ends it.
        since = self._alone_since
        if since is not None and now - since >= KNOWN_AFTER_S:
            self.is_baseline_known = True
        if is_alone:
            self.was_baseline_alone = True
        else:
            self._alone_since = None

    def take_order(
        self, rollout: Rollout | None, *, is_restoring: bool, now: float
    ) -> bool:
        """Take the operator's order as configured; return whether it is a new one.

        Parameters
        ----------
        rollout : Rollout, optional
            The order; None if there is none.
        is_restoring : bool
            Whether the platform's store returned from a copy just before.
        now : float
            Monotonic seconds.
        """
        self.is_withdrawn = rollout is None
        if rollout is None or self._is_known(rollout, is_restoring=is_restoring):
            return False
        self.baseline = self.version_in_force
        self.order = RolloutOrder.first_seen(rollout, now)
        self.stage = Stage.PREPARING
        self.reason = ""
        self.moving_at = self.ends_at = math.inf
        self._directed_share = None
        self._all_moved_at = math.inf
        self._was_interrupted = False
        self.directed_at = self._lease_until = -math.inf
        self._read_period_s = FIRST_READ_S
        self._next_read_at = now + FIRST_READ_S
        return True

    def _is_known(self, rollout: Rollout, *, is_restoring: bool) -> bool:
        if self.order is None:
            return False
        if rollout.number == self.order.number:
            return True
        is_same = self.order.has_content_of(rollout) and is_restoring
        if is_same or rollout.number in self.order.aliases:
            self.order = self.order.renumbered(rollout.number)
            return True
        return False

    def apply_directive(self, directive: RolloutDirective, now: float) -> bool:
        """Follow a directive; return whether the stage changed.

        Directives of another order and of earlier stages are ignored, so that late and
        repeated messages do no harm.
        """
        stage = parse_stage(directive.stage)
        if stage is None or not self._is_of_order(directive.order):
            return False
        if later_stage(self.stage, stage) is not stage:
            return False
        self.directed_at = now
        self._lease_until = now + LEASE_S
        self._read_period_s = FIRST_READ_S
        self._next_read_at = self._lease_until + (
            0.0 if stage is Stage.MOVING else FIRST_READ_S
        )
        if directive.baseline_version:
            self.baseline = directive.baseline_version
            self.is_baseline_confirmed = self.is_baseline_known = True
        if stage is Stage.CANARY and directive.canary_share > 0:
            self._directed_share = directive.canary_share
        if stage is Stage.MOVING:
            self.moving_at = min(self.moving_at, now - directive.moving_ms / 1000)
            self.ends_at = min(self.ends_at, now + directive.ends_in_ms / 1000)
        changed = stage is not self.stage
        self.stage, self.reason = stage, directive.reason
        return changed

    def _is_of_order(self, number: int) -> bool:
        return self.order is not None and number in self.order.aliases

    def apply_record(
        self, record: RolloutRecord, *, read_at: float, store_ahead_s: float
    ) -> None:
        """Follow the record of the service as read.

        Parameters
        ----------
        record : RolloutRecord
            The record.
        read_at : float
            Monotonic time before the read, in seconds.
        store_ahead_s : float
            Time by which the store's clock is ahead of the monotonic one, in seconds.
        """
        if self.order is None or record.order not in self.order.aliases:
            if not self.is_baseline_confirmed and self.stage is Stage.PREPARING:
                self.baseline = record.version_in_force
                self.is_baseline_confirmed = self.is_baseline_known = True
            return
        self.order = self.order.given_at(record.ordered_at_s - store_ahead_s)
        self.baseline = record.baseline_version
        self.is_baseline_confirmed = self.is_baseline_known = True
        if later_stage(self.stage, record.stage) is not record.stage:
            return
        if record.stage is Stage.MOVING:
            self.moving_at = min(self.moving_at, record.moving_at_s - store_ahead_s)
            self.ends_at = min(self.ends_at, record.ends_at_s - store_ahead_s)
            self._lease_until = max(self._lease_until, read_at + LEASE_S)
        if record.stage is not self.stage:
            self.stage, self.reason = record.stage, "record"

    def has_lease(self, now: float) -> bool:
        """Return whether a directive, or the record, still holds."""
        return now < self._lease_until

    def take_due_read(self, now: float) -> bool:
        """Return once whether this VM must read the record for itself now."""
        if not self.is_running or self.has_lease(now) or now < self._next_read_at:
            return False
        if self.stage is Stage.MOVING:
            self._next_read_at = now + MOVING_READ_PERIOD_S
        else:
            self._next_read_at = now + self._read_period_s
            self._read_period_s = min(MAX_READ_PERIOD_S, 2 * self._read_period_s)
        return True

    @property
    def directed_share(self) -> float:
        """Share of the requests that the canary gets, as the coordinator chose it."""
        directed = self._directed_share
        return self.canary_share if directed is None else directed

    def canary_budget(self) -> CanaryBudget:
        """Return the budget of a coordinator that takes over here."""
        budget = CanaryBudget(
            base_share=self.canary_share, exposure_slack=self.exposure_slack
        )
        budget.share = self.directed_share
        return budget

    def moved_share(self, now: float) -> float:
        """Return the share of the keys that have moved, in the stage ``MOVING``."""
        all_moved_at = self.ends_at - SETTLE_S
        if now >= all_moved_at:
            return 1.0
        part = max(0.0, now - self.moving_at) / (all_moved_at - self.moving_at)
        first = self.directed_share
        return min(1.0, first + (1 - first) * part**MOVE_POWER)

    def split(self, now: float) -> VersionSplit | None:
        """Return how requests are divided now; None if no version is known."""
        if self.baseline is None:
            return None
        if self.order is None or self.order.target_version == self.baseline:
            return VersionSplit(
                baseline=self.baseline, is_baseline_known=self.is_baseline_known
            )
        baseline_only = VersionSplit(
            baseline=self.baseline,
            target=self.order.target_version,
            order=self.order.first_number,
            is_baseline_known=self.is_baseline_known,
        )
        if self.stage is Stage.COMPLETE:
            return evolve(baseline_only, target_share=1.0, is_complete=True)
        if self.stage is Stage.CANARY and self.has_lease(now):
            return evolve(
                baseline_only,
                target_share=self.directed_share,
                upstream_share=self.directed_share,
                max_exposure_share=self.directed_share,
            )
        if self.stage is Stage.MOVING and self.has_lease(now):
            return evolve(
                baseline_only,
                target_share=self.moved_share(now),
                baseline_ends_at=self.ends_at,
            )
        return baseline_only

    def report(self, counts: VersionCounts, now: float) -> RolloutReport | None:
        """Return the counts of this VM; None if no order runs."""
        if self.order is None or self.stage.is_final:
            return None
        has_moved_all = self._track_move(now)
        is_emptied = has_moved_all and counts.baseline_in_flight == 0
        return RolloutReport(
            sender=self.vm,
            incarnation=self.incarnation,
            failure_domain=self.failure_domain,
            is_of_domain=False,
            service=self.service,
            order=self.order.number,
            stage=self.stage.value,
            emptied_vms=int(is_emptied),
            requests=counts.requests,
            exposed=counts.exposed,
            outcomes=counts.outcomes,
            bad_upstreams=counts.bad_upstreams,
        )

    def _track_move(self, now: float) -> bool:
        """Note interruptions of a move, and return whether it has ended.

        It has once all requests have gone to the target for long enough. The share
        grows with time. After an interruption, such as a pause of all VMs, it may have
        grown without any answers by which the target is judged.
        """
        if self.stage is not Stage.MOVING:
            return False
        if not self.has_lease(now):
            self._was_interrupted = True
        if not self.has_lease(now) or self.moved_share(now) < 1.0:
            self._all_moved_at = math.inf
            return False
        self._all_moved_at = min(self._all_moved_at, now)
        settle_s = RESUMED_SETTLE_S if self._was_interrupted else 0.0
        return now - self._all_moved_at >= settle_s


def later_stage(known: Stage, other: Stage) -> Stage:
    """Return the later of two stages; an acknowledged end is never replaced."""
    return known if known.is_final else known.merged(other)


def parse_stage(name: str) -> Stage | None:
    """Return the stage of a name; None if this release does not know it."""
    try:
        return Stage(name)
    except ValueError:
        return None
