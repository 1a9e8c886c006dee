"""State machine that assigns the requests of one service to its upstreams."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import field

from plankspindle_core.classes import define
from plankspindle_core.invariants import check_invariant
from plankspindle_daemon.admission.priority_queue import PriorityQueue
from plankspindle_daemon.admission.priority_queue import Queued
from plankspindle_daemon.dispatch.cached_capacity import CachedCapacity
from plankspindle_daemon.dispatch.completion_recorder import CompletionRecorder
from plankspindle_daemon.dispatch.duration_averages import DurationAverages
from plankspindle_daemon.dispatch.messages import Assign
from plankspindle_daemon.dispatch.messages import AttemptCompleted
from plankspindle_daemon.dispatch.messages import DispatchEffect
from plankspindle_daemon.dispatch.messages import DispatchEvent
from plankspindle_daemon.dispatch.messages import ProbeCompleted
from plankspindle_daemon.dispatch.messages import ProcessPaused
from plankspindle_daemon.dispatch.messages import Reject
from plankspindle_daemon.dispatch.messages import RejectReason
from plankspindle_daemon.dispatch.messages import RequestArrived
from plankspindle_daemon.dispatch.messages import RequestToken
from plankspindle_daemon.dispatch.messages import RequestWithdrawn
from plankspindle_daemon.dispatch.messages import SlotsGranted
from plankspindle_daemon.dispatch.messages import SlotsRequested
from plankspindle_daemon.dispatch.messages import StatementReceived
from plankspindle_daemon.dispatch.messages import TimePassed
from plankspindle_daemon.dispatch.messages import UpstreamsUnreachable
from plankspindle_daemon.dispatch.placement import Placement
from plankspindle_daemon.dispatch.placement_choice import NeedsToken
from plankspindle_daemon.dispatch.placement_explanation import explain_choice
from plankspindle_daemon.dispatch.probe_schedule import ProbeSchedule
from plankspindle_daemon.dispatch.probe_schedule import apply_probe
from plankspindle_daemon.dispatch.rejections import Rejections
from plankspindle_daemon.dispatch.slot_lending import SlotLending
from plankspindle_daemon.dispatch.time_limits import TimeLimits
from plankspindle_daemon.dispatch.upstream_availability import request_token
from plankspindle_daemon.dispatch.upstream_chooser import UpstreamChooser
from plankspindle_daemon.dispatch.version_routing import VersionRouting
from plankspindle_daemon.upstreams.average_use import AverageUse
from plankspindle_daemon.upstreams.fleet_limiter import FleetLimiter
from plankspindle_daemon.upstreams.upstream_state import UpstreamState

if TYPE_CHECKING:
    from plankspindle_daemon.admission.ticket import Ticket
    from plankspindle_daemon.dispatch.region_plan import RegionPlan
    from plankspindle_daemon.dispatch.version_gate import UpstreamSet
    from plankspindle_daemon.dispatch.version_pools import UpstreamPool
    from plankspindle_daemon.dispatch.version_split import VersionSplit

MAX_SCANNED_REQUESTS = 16
"""Waiting requests that are matched against free upstreams in one pass.

As many are matched for each set of upstreams, so that requests that wait for a busy
software version do not block those for another one.
"""


@define(kw_only=True)
class Dispatcher:
    """Queue and upstreams of one service on one entry VM.

    Parameters
    ----------
    vm : str
        Name of this VM.
    incarnation : int
        Incarnation number of this process.
    random : Random
        Source of tie-breaks and jitter.
    queue : PriorityQueue
        Waiting requests.
    probe_period_s : float
        Period at which load reports are read, in seconds.
    upstreams_by_name : dict of str to UpstreamState
        Upstreams of the service that this VM may use.
    placement : Placement, optional
        Preferences among upstreams that every entry VM may use. None if the slots are
        divided among the entry VMs instead.
    average_use : AverageUse
        Average use of such upstreams by other entry VMs.
    shares_slots : bool
        Whether entry VMs divide the slots of any upstream that was ever in use.
    fleet_limiter_by_incarnation : dict of str to FleetLimiter
        Rate limits over all entry VMs that upstreams of any service stated.
    versions : VersionRouting
        Software versions that requests may use.
    """

    vm: str
    incarnation: int
    random: Random
    queue: PriorityQueue
    probe_period_s: float
    upstreams_by_name: dict[str, UpstreamState] = Factory(dict)
    placement: Placement | None = None
    average_use: AverageUse = Factory(AverageUse)
    shares_slots: bool = True
    fleet_limiter_by_incarnation: dict[str, FleetLimiter] = Factory(dict)
    durations: DurationAverages = Factory(DurationAverages)
    rejections: Rejections = field(init=False)
    assigned: int = 0
    statements_unreadable: int = 0
    _probe_schedule: ProbeSchedule = field(init=False)
    lending: SlotLending = field(init=False)
    versions: VersionRouting = Factory(VersionRouting)
    _limits: TimeLimits = field(init=False)
    _cached_chooser: UpstreamChooser | None = field(init=False, default=None)
    _miss_ids: set[int] = field(factory=set)
    _capacity: CachedCapacity = Factory(CachedCapacity)

    def __attrs_post_init__(self) -> None:
        self.rejections = Rejections(
            queue=self.queue, durations=self.durations, random=self.random
        )
        self._limits = TimeLimits(durations=self.durations)
        self.versions.gate.vm = self.vm
        self._probe_schedule = ProbeSchedule(
            random=self.random, probe_period_s=self.probe_period_s
        )
        self.lending = SlotLending(
            vm=self.vm,
            incarnation=self.incarnation,
            random=self.random,
            queue=self.queue,
        )

    def handle(self, event: DispatchEvent, now: float) -> list[DispatchEffect]:
        """Apply an event; return the effects that the caller must carry out, in order.

        Parameters
        ----------
        event : DispatchEvent
            What happened.
        now : float
            Monotonic time in seconds.
        """
        match event:
            case RequestArrived(ticket=ticket):
                return self._admit(ticket, now)
            case RequestWithdrawn(ticket_id=ticket_id):
                self.queue.remove(ticket_id)
                return []
            case AttemptCompleted():
                self._record_completion(event, now)
                return self._assign_all(now)
            case StatementReceived():
                self.apply_statement(event, now)
                return []
            case ProbeCompleted():
                apply_probe(event, self.upstreams_by_name, now)
                return self._assign_all(now)
            case SlotsRequested():
                return [*self.lending.lend(event, self.upstreams_by_name, now)]
            case SlotsGranted(grant=grant):
                self.lending.borrow(grant, self.upstreams_by_name, now)
                return self._assign_all(now)
            case TimePassed() | ProcessPaused() | UpstreamsUnreachable():
                return self._handle_time(event, now)

    def _handle_time(
        self, event: TimePassed | ProcessPaused | UpstreamsUnreachable, now: float
    ) -> list[DispatchEffect]:
        if isinstance(event, ProcessPaused):
            return self._resume_after_pause(now)
        if isinstance(event, UpstreamsUnreachable):
            return self._expire(now, is_cut_off=True)
        self.versions.tick(now)
        return [*self._expire(now), *self._assign_all(now), *self._probes(now)]

    def _resume_after_pause(self, now: float) -> list[DispatchEffect]:
        """Mark the status of all upstreams as unconfirmed after a pause."""
        self._capacity.invalidate()
        self.versions.tally.discard_running()
        for upstream in self.upstreams_by_name.values():
            upstream.ledger.release_all()
            upstream.is_unconfirmed = True
        return [*self._expire(now), *self._probes(now, at_once=True)]

    def free_slots(self, now: float) -> int:
        """Return the number of requests that could start now."""
        return sum(
            max(0, each.usable_slots(now) - each.ledger.in_flight)
            for each in self._chooser().usable_upstreams(now).values()
        )

    def capacity(self, now: float) -> int:
        """Return the number of requests that may run at once, from a cache."""
        return self._capacity.get(self._chooser().usable_upstreams(now), now)

    def set_version_split(self, split: VersionSplit | None) -> None:
        """Set the shares of the software versions; None if they do not matter."""
        self._capacity.invalidate()
        self.versions.set_split(split, self.upstreams_by_name, self.placement)

    def update_rankings(self) -> None:
        """Rank the upstreams that are to stay, after a change of the upstreams."""
        self.versions.update_rankings(self.upstreams_by_name, self.placement)

    def rebuild_rankings(self) -> None:
        """Rank all upstreams again, as domains may have moved to another region."""
        self.versions.rebuild_rankings(self.placement)

    def pools(self, now: float) -> list[tuple[UpstreamPool, bool]]:
        """Return pools with a region plan each, and whether they get requests now."""
        return self._chooser().pools(now)

    def region_plan(self) -> RegionPlan | None:
        """Return the region plan in force; None if the service has none."""
        return self._chooser().region_plan()

    def handle_upstream_restart(self, name: str) -> None:
        """Discard the affinity keys recorded for an upstream that restarted."""
        if self.placement is not None:
            self.placement.seen_keys.discard(name)

    def in_flight(self) -> int:
        """Return the number of requests that run on upstreams."""
        return sum(each.ledger.in_flight for each in self.upstreams_by_name.values())

    def _admit(self, ticket: Ticket, now: float) -> list[DispatchEffect]:
        available_at = self._chooser().first_available_at(ticket, now)
        if available_at is None:
            return [self._reject(ticket, RejectReason.NO_UPSTREAM, now)]
        assigned = None if self.queue else self._assign(ticket, now)
        if isinstance(assigned, Assign):
            return [assigned]
        withheld = self._check_limits(ticket, available_at, now)
        if withheld is not None:
            return [withheld]
        if self._limits.would_be_late(
            ticket,
            ahead=self.queue.count_ahead(ticket.rank),
            capacity=self.capacity(now),
            now=now,
        ):
            return [self._reject(ticket, RejectReason.TOO_LATE, now)]
        offered = self.queue.offer(ticket)
        if not isinstance(offered, Queued):
            return [self._reject(ticket, RejectReason.QUEUE_FULL, now)]
        effects: list[DispatchEffect] = [] if assigned is None else [assigned]
        if offered.evicted is not None:
            effects.append(self._reject(offered.evicted, RejectReason.EVICTED, now))
        return [*effects, *self._assign_all(now)]

    def could_place_elsewhere(self, ticket: Ticket, upstream: str, now: float) -> bool:
        """Return whether another upstream could accept a request now."""
        return self._chooser().could_place_elsewhere(ticket, upstream, now)

    def _chooser(self) -> UpstreamChooser:
        if (
            self._cached_chooser is None
            or self._cached_chooser.placement is not self.placement
        ):
            self._cached_chooser = UpstreamChooser(
                upstreams_by_name=self.upstreams_by_name,
                placement=self.placement,
                versions=self.versions,
                durations=self.durations,
                random=self.random,
            )
        return self._cached_chooser

    def _assign_all(self, now: float) -> list[DispatchEffect]:
        effects: list[DispatchEffect] = []
        scanned: Counter[UpstreamSet | None] = Counter()
        for ticket in self.queue:
            waits_for = self._chooser().waits_for(ticket, now)
            if scanned[waits_for] >= MAX_SCANNED_REQUESTS:
                if waits_for is None:
                    break
                continue
            reason = self._limits.give_up_reason(ticket, now)
            if reason is not None:
                self.queue.remove(ticket.id)
                effects.append(self._reject(ticket, reason, now))
                continue
            scanned[waits_for] += 1
            assigned = self._assign(ticket, now)
            effect = assigned or self._check_limits(ticket, now, now)
            if isinstance(effect, Assign | Reject):
                self.queue.remove(ticket.id)
            if effect is not None:
                effects.append(effect)
        if self.queue and self.placement is None:
            effects += self.lending.request(self._chooser().usable_upstreams(now), now)
        return effects

    def _check_limits(
        self, ticket: Ticket, available_at: float, now: float
    ) -> Reject | None:
        """Reject a request if limits or retry-after periods block all upstreams."""
        if self.placement is not None and self.fleet_limiter_by_incarnation:
            choice_at = self._chooser().placeable_at(ticket, now)
            available_at = max(available_at, choice_at)
        if available_at <= now:
            return None
        return self._reject(ticket, RejectReason.WITHHELD, now, retry_at=available_at)

    def _assign(self, ticket: Ticket, now: float) -> Assign | RequestToken | None:
        choice = self._chooser().choose(ticket, now)
        if choice is None:
            return None
        if isinstance(choice, NeedsToken):
            return request_token(choice.upstream, now)
        if not choice.is_hit:
            self._miss_ids.add(ticket.id)
        chosen, pool = choice.upstream, choice.pool
        check_invariant(
            "leaving-gets-nothing-new", not chosen.rejects_new_work(now), chosen.name
        )
        step = explain_choice(
            pool.placement,
            ticket,
            pool.upstreams_by_name,
            chosen,
            is_hit=ticket.id not in self._miss_ids,
            now=now,
        )
        if choice.option is not None:
            step = self.versions.record_assigned(
                ticket, choice, choice.option, step=step, now=now
            )
        chosen.start(
            ticket=ticket.id,
            now=now,
            deadline=ticket.deadline,
            is_upload=ticket.is_upload,
        )
        self.assigned += 1
        return Assign(
            ticket=ticket,
            upstream=chosen.name,
            endpoint=chosen.upstream.endpoint,
            incarnation=chosen.incarnation,
            step=step,
        )

    def expected_duration_s(self, ticket: Ticket) -> float:
        """Return the expected duration of a request, in seconds."""
        return self._limits.expected_duration_s(ticket)

    def _expire(self, now: float, *, is_cut_off: bool = False) -> list[DispatchEffect]:
        rejected: list[DispatchEffect] = []
        for ticket in self.queue:
            reason = self._limits.give_up_reason(ticket, now)
            if is_cut_off:
                reason = RejectReason.CUT_OFF
            if reason is not None:
                self.queue.remove(ticket.id)
                rejected.append(self._reject(ticket, reason, now))
        return rejected

    def _reject(
        self,
        ticket: Ticket,
        reason: RejectReason,
        now: float,
        *,
        retry_at: float | None = None,
    ) -> Reject:
        return self.rejections.reject(
            ticket,
            reason,
            capacity=self.capacity(now),
            in_flight=self.in_flight(),
            available_at=retry_at,
            now=now,
        )

    def _record_completion(self, completed: AttemptCompleted, now: float) -> None:
        self.versions.record_completed(completed, now)
        upstream = self.upstreams_by_name.get(completed.upstream)
        if upstream is not None and completed.incarnation in (0, upstream.incarnation):
            upstream.ledger.finish(ticket=completed.ticket.id)
            missed = completed.ticket.id in self._miss_ids
            recorder = CompletionRecorder(
                durations=self.durations, placement=self.placement
            )
            recorder.record(completed, upstream, missed=missed, now=now)
        self._miss_ids.discard(completed.ticket.id)

    def apply_statement(self, stated: StatementReceived, now: float) -> None:
        """Apply a statement of an upstream, if the upstream belongs to this service."""
        upstream = self.upstreams_by_name.get(stated.upstream)
        if upstream is not None and stated.incarnation in (0, upstream.incarnation):
            upstream.apply_statement(stated.statement, now)
            self.statements_unreadable += len(stated.statement.unreadable)

    def _probes(self, now: float, *, at_once: bool = False) -> list[DispatchEffect]:
        if self.placement is not None:
            return []
        select = self._probe_schedule.all if at_once else self._probe_schedule.due
        return [*select(self.upstreams_by_name, now)]
