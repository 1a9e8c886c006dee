"""What the end of a request says of its upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_daemon.dispatch.duration_averages import DurationAverages
from plankspindle_daemon.dispatch.messages import AttemptOutcome
from plankspindle_daemon.dispatch.placement import Placement
from plankspindle_daemon.upstreams.health import UNRESPONSIVE_S

if TYPE_CHECKING:
    from plankspindle_daemon.admission.ticket import Ticket
    from plankspindle_daemon.dispatch.messages import AttemptCompleted
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState

MIN_DURATION_S = 0.001
ABANDONED_WAIT_FACTOR = 2.0
"""Usual durations after which a caller that leaves says something of the upstream."""


@frozen(kw_only=True)
class CompletionRecorder:
    """Tell an upstream, the averages and the placement how a request ended.

    Parameters
    ----------
    durations : DurationAverages
        Averages of the service.
    placement : Placement, optional
        Order of preference among its upstreams, if any entry VM may use them.
    """

    durations: DurationAverages
    placement: Placement | None

    def record(
        self,
        completed: AttemptCompleted,
        upstream: UpstreamState,
        *,
        missed: bool,
        now: float,
    ) -> None:
        """Take the end of a request.

        Parameters
        ----------
        completed : AttemptCompleted
            How it ended.
        upstream : UpstreamState
            Where it ran.
        missed : bool
            Whether the upstream was taken for one that had not seen its key.
        now : float
            Monotonic seconds.
        """
        self._record_measurements(upstream, completed, now)
        if completed.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.SHED):
            upstream.answered_at = now
        if completed.outcome not in (AttemptOutcome.ANSWERED, AttemptOutcome.CANCELLED):
            upstream.record_evidence(
                f"{completed.outcome.value}: {completed.cause}", now
            )
        match completed.outcome:
            case AttemptOutcome.ANSWERED:
                upstream.health.record_success(now)
                self._record_durations(upstream, completed, missed=missed, now=now)
                self._record_seen_key(upstream, completed, now)
            case _:
                self._record_failure(upstream, completed, now)

    def _record_failure(
        self, upstream: UpstreamState, ended: AttemptCompleted, now: float
    ) -> None:
        """Tell the health of an upstream that a request had no good end there."""
        match ended.outcome:
            case AttemptOutcome.SHED:
                upstream.record_shed(ended.reported_load, now)
            case AttemptOutcome.MISDIRECTED:
                upstream.mark_misdirected()
            case AttemptOutcome.FAILED:
                upstream.record_connection_loss(now)
            case AttemptOutcome.UNREACHABLE:
                upstream.health.record_failure(now)
            case AttemptOutcome.TIMED_OUT:
                upstream.health.record_timeout(now)
            case AttemptOutcome.CANCELLED if self._is_unanswered_wait(
                upstream, ended, now
            ):
                upstream.record_evidence(f"a caller left it: {ended.cause}", now)
                upstream.health.record_timeout(now)
            case _:
                pass

    def _is_unanswered_wait(
        self, upstream: UpstreamState, ended: AttemptCompleted, now: float
    ) -> bool:
        """Tell whether a caller left an upstream that answers nobody."""
        waited_s = ended.waited_s
        if waited_s is None or upstream.answered_at > now - waited_s:
            return False
        usual_s = self.durations.expected_total_s(
            operation=ended.ticket.operation, declared_s=ended.ticket.expected_s
        )
        return waited_s > max(UNRESPONSIVE_S, ABANDONED_WAIT_FACTOR * usual_s)

    def _record_measurements(
        self, upstream: UpstreamState, ended: AttemptCompleted, now: float
    ) -> None:
        """Take what is learned whatever the end: load, and the way to a domain."""
        if ended.reported_load is not None:
            upstream.record_reported_load(ended.reported_load, now)
        if self.placement is not None and ended.connect_s is not None:
            domain = upstream.upstream.failure_domain
            self.placement.distances.record_connect_time(domain, ended.connect_s)

    def _record_durations(
        self,
        upstream: UpstreamState,
        ended: AttemptCompleted,
        *,
        missed: bool,
        now: float,
    ) -> None:
        if ended.head_s is None or ended.total_s is None:
            return
        rtt_s = self._rtt_s(upstream)
        relative = self.durations.record(
            operation=miss_operation(ended.ticket)
            if missed
            else ended.ticket.operation,
            head_s=max(MIN_DURATION_S, ended.head_s - rtt_s),
            total_s=max(MIN_DURATION_S, ended.total_s - rtt_s),
        )
        upstream.record_latency(relative, now)

    def _record_seen_key(
        self, upstream: UpstreamState, ended: AttemptCompleted, now: float
    ) -> None:
        key = ended.ticket.affinity
        if key is not None and self.placement is not None:
            self.placement.record_seen(key, upstream.name, now)

    def _rtt_s(self, upstream: UpstreamState) -> float:
        """Give the part of a duration that is the way there and back, in seconds."""
        if self.placement is None:
            return 0.0
        return self.placement.distances.rtt_s(upstream.upstream.failure_domain)


def miss_operation(ticket: Ticket) -> str:
    """Name the durations of requests at upstreams that have not seen their key."""
    return f"{ticket.operation} miss"
