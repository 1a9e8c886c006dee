"""Effects of a completed attempt on the health and the measurements of its upstream."""

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
"""Expected durations that a caller must wait before its leaving counts as a timeout."""


@frozen(kw_only=True)
class CompletionRecorder:
    """Record the outcome of an attempt in the upstream, the averages and the placement.

    Parameters
    ----------
    durations : DurationAverages
        Average durations of the service's operations.
    placement : Placement, optional
        Preferences among the upstreams, if every entry VM may use them.
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
        """Record a completed attempt.

        Parameters
        ----------
        completed : AttemptCompleted
            The attempt and its outcome.
        upstream : UpstreamState
            Upstream that the attempt ran on.
        missed : bool
            Whether the upstream was assumed not to have seen the affinity key.
        now : float
            Monotonic time in seconds.
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
        self, upstream: UpstreamState, completed: AttemptCompleted, now: float
    ) -> None:
        """Record an outcome other than an answer in the health of the upstream."""
        match completed.outcome:
            case AttemptOutcome.SHED:
                upstream.record_shed(completed.reported_load, now)
            case AttemptOutcome.MISDIRECTED:
                upstream.mark_misdirected()
            case AttemptOutcome.FAILED:
                upstream.record_connection_loss(now)
            case AttemptOutcome.UNREACHABLE:
                upstream.health.record_failure(now)
            case AttemptOutcome.TIMED_OUT:
                upstream.health.record_timeout(now)
            case AttemptOutcome.CANCELLED if self._is_unanswered_wait(
                upstream, completed, now
            ):
                upstream.record_evidence(
                    f"caller left after an unanswered wait: {completed.cause}", now
                )
                upstream.health.record_timeout(now)
            case _:
                pass

    def _is_unanswered_wait(
        self, upstream: UpstreamState, completed: AttemptCompleted, now: float
    ) -> bool:
        """Return whether an upstream answered nobody while a caller waited."""
        waited_s = completed.waited_s
        if waited_s is None or upstream.answered_at > now - waited_s:
            return False
        expected_s = self.durations.expected_total_s(
            operation=completed.ticket.operation, declared_s=completed.ticket.expected_s
        )
        return waited_s > max(UNRESPONSIVE_S, ABANDONED_WAIT_FACTOR * expected_s)

    def _record_measurements(
        self, upstream: UpstreamState, completed: AttemptCompleted, now: float
    ) -> None:
        """Record the reported load and the connect time, whatever the outcome."""
        if completed.reported_load is not None:
            upstream.record_reported_load(completed.reported_load, now)
        if self.placement is not None and completed.connect_s is not None:
            domain = upstream.upstream.failure_domain
            self.placement.distances.record_connect_time(domain, completed.connect_s)

    def _record_durations(
        self,
        upstream: UpstreamState,
        completed: AttemptCompleted,
        *,
        missed: bool,
        now: float,
    ) -> None:
        if completed.head_s is None or completed.total_s is None:
            return
        rtt_s = self._rtt_s(upstream)
        relative = self.durations.record(
            operation=miss_operation(completed.ticket)
            if missed
            else completed.ticket.operation,
            head_s=max(MIN_DURATION_S, completed.head_s - rtt_s),
            total_s=max(MIN_DURATION_S, completed.total_s - rtt_s),
        )
        upstream.record_latency(relative, now)

    def _record_seen_key(
        self, upstream: UpstreamState, completed: AttemptCompleted, now: float
    ) -> None:
        key = completed.ticket.affinity
        if key is not None and self.placement is not None:
            self.placement.seen_keys.record_seen(key, upstream.name, now)

    def _rtt_s(self, upstream: UpstreamState) -> float:
        """Return the round-trip time within a measured duration, in seconds."""
        if self.placement is None:
            return 0.0
        return self.placement.distances.rtt_s(upstream.upstream.failure_domain)


def miss_operation(ticket: Ticket) -> str:
    """Return the name under which durations of affinity misses are averaged."""
    return f"{ticket.operation} miss"
