"""State of one upstream at an entry VM."""

from __future__ import annotations

import math

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.configuration.upstream import Upstream
from plankspindle_daemon.upstreams.cold_limiter import ColdLimiter
from plankspindle_daemon.upstreams.fleet_limiter import FleetLimiter
from plankspindle_daemon.upstreams.fleet_limiter import incarnation_id_of
from plankspindle_daemon.upstreams.health import BackedOff
from plankspindle_daemon.upstreams.health import UpstreamHealth
from plankspindle_daemon.upstreams.load_report import MAX_REPORT_AGE_S
from plankspindle_daemon.upstreams.load_report import LoadReport
from plankspindle_daemon.upstreams.reported_slots import ReportedSlots
from plankspindle_daemon.upstreams.slot_ledger import SlotLedger
from plankspindle_daemon.upstreams.statement_store import StatementStore
from plankspindle_daemon.upstreams.unresponsive_hints import SEND_HINT_AFTER_S
from plankspindle_daemon.upstreams.unresponsive_hints import UnresponsiveHints
from plankspindle_daemon.upstreams.upstream_statement import NO_STATEMENT
from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement
from plankspindle_daemon.upstreams.upstream_status import UpstreamStatus
from plankspindle_daemon.upstreams.upstream_status import status_of

LATENCY_WEIGHT = 0.2
MIN_RELATIVE_LATENCY = 0.1
MAX_RELATIVE_LATENCY = 10.0
LATENCY_DECAY_S = 1.0
REPORT_WEIGHT = 0.5


@define(kw_only=True)
class UpstreamState:
    """Limits, health and latency of one upstream.

    Parameters
    ----------
    name : str
        Name of the upstream.
    upstream : Upstream
        Its declaration.
    health : UpstreamHealth
        Its health.
    ledger : SlotLedger or ReportedSlots
        Its slots.
    incarnation : int
        Number of its current incarnation; zero if the platform does not report it.
    relative_latency : float
        Moving average of its latency over that of all upstreams; 1 is average.
    leaving : bool
        Whether it takes no new work.
    leaves_at : float, optional
        Planned time of leaving, monotonic seconds.
    is_unconfirmed : bool
        Whether this process was paused since it was last confirmed that the upstream
        stays; the upstream gets no new work until the next probe or list.
    cold_limiter : ColdLimiter, optional
        Limit of the request rate while it is cold.
    limiter_by_incarnation : dict of str to FleetLimiter
        Limits over all entry VMs that upstreams of any service announce.
    statements : StatementStore
        Statements of upstreams of any service.
    drained_at : float, optional
        Time from which a confirmed drain blocks new work, monotonic seconds.
    is_misdirected : bool
        Whether another upstream answered at its address. This incarnation is then gone
        for good; another upstream of the same name has its own state.
    answered_at : float
        When it last answered, monotonic seconds.
    last_statement : UpstreamStatement
        Statements of its last answer.
    evidence : str, optional
        Last observation of it other than an answer.
    evidence_at : float
        Time of that observation, monotonic seconds.
    """

    name: str
    upstream: Upstream
    health: UpstreamHealth
    ledger: SlotLedger | ReportedSlots
    incarnation: int = 0
    relative_latency: float = 1.0
    leaving: bool = False
    leaves_at: float | None = None
    is_unconfirmed: bool = False
    drained_at: float | None = None
    cold_limiter: ColdLimiter | None = None
    is_misdirected: bool = False
    limiter_by_incarnation: dict[str, FleetLimiter] = Factory(dict)
    statements: StatementStore = Factory(StatementStore)
    answered_at: float = 0.0
    unresponsive_hints: UnresponsiveHints = Factory(UnresponsiveHints)
    last_statement: UpstreamStatement = NO_STATEMENT
    evidence: str | None = None
    evidence_at: float = 0.0
    _report: LoadReport | None = None
    _reported_at: float = 0.0
    _latency_at: float = 0.0
    _listed_leaving: bool = False

    def is_same_incarnation(self, declared: Upstream, incarnation: int) -> bool:
        """Return whether a declaration is of the incarnation of this state.

        Notes
        -----
        A restarted upstream has empty caches, and latency, failures and requests of its
        previous incarnation do not apply. If the platform reports the number only
        later, the incarnation stays the same.
        """
        if self.upstream.endpoint != declared.endpoint:
            return False
        return 0 in (self.incarnation, incarnation) or self.incarnation == incarnation

    def rejects_new_work(self, now: float) -> bool:
        """Return whether the upstream is leaving, drained or misdirected."""
        drained = self.drained_at is not None and now >= self.drained_at
        return self.leaving or drained or self.is_misdirected

    def can_start(self, *, now: float, deadline: float, expected_end: float) -> bool:
        """Return whether a request may start here.

        Parameters
        ----------
        now, deadline : float
            Monotonic seconds.
        expected_end : float
            Expected end, monotonic seconds; a leave or drain must not be earlier.
        """
        if (
            self.is_unconfirmed
            or self.rejects_new_work(now)
            or (self.leaves_at is not None and expected_end > self.leaves_at)
            or (self.drained_at is not None and expected_end > self.drained_at)
            or not self._cold_limiter_allows(now)
            or self.lacks_token(now)
        ):
            return False
        allowed = self.ledger.allowance(now, deadline)
        return self.ledger.in_flight < self.health.usable_share(allowed, now)

    @property
    def incarnation_id(self) -> str:
        """Name of the current incarnation, the same at all entry VMs."""
        return incarnation_id_of(self.name, self.incarnation)

    def apply_statement(self, statement: UpstreamStatement, now: float) -> None:
        """Apply the statements of the upstream in an answer."""
        self.last_statement = statement
        if statement.is_leaving:
            self.statements.record_leaving(self.incarnation_id)
            if not self.leaving:
                self.record_evidence("announced that it is leaving", now)
            self.leaving = True
        if statement.retry_after_s is not None:
            until = self.statements.record_retry_after(
                self.incarnation_id, now + statement.retry_after_s
            )
            self.health.record_retry_after(until)
            self.record_evidence(f"retry-after of {statement.retry_after_s:.3g} s", now)

    def apply_earlier_statements(self, now: float) -> None:
        """Apply what this incarnation stated before this state was created."""
        self.leaving = self.leaving or self.statements.is_leaving(self.incarnation_id)
        retry_at = self.statements.retry_at(self.incarnation_id)
        if retry_at > now:
            self.health.record_retry_after(retry_at)

    def fleet_limiter(self) -> FleetLimiter | None:
        """Return the limiter of the announced limit; None if none is announced."""
        if not self.limiter_by_incarnation:
            return None
        return self.limiter_by_incarnation.get(self.incarnation_id)

    def lacks_token(self, now: float) -> bool:
        """Return whether a limit is announced for which this VM has no token."""
        limiter = self.fleet_limiter()
        return limiter is not None and limiter.lacks_token(now)

    def available_at(self, now: float) -> float:
        """Return when the next request is accepted, as far as known, monotonic s."""
        limiter = self.fleet_limiter()
        retry_at = self.health.retry_at(now)
        return (
            retry_at if limiter is None else max(retry_at, limiter.next_token_at(now))
        )

    def _cold_limiter_allows(self, now: float) -> bool:
        return self.cold_limiter is None or self.cold_limiter.allows(now)

    def start(
        self, *, ticket: int, now: float, deadline: float, is_upload: bool = False
    ) -> None:
        """Record the start of a request."""
        self.ledger.start(
            ticket=ticket, now=now, deadline=deadline, is_upload=is_upload
        )
        if self.cold_limiter is not None:
            self.cold_limiter.record_sent(now)
        limiter = self.fleet_limiter()
        if limiter is not None:
            limiter.use_token(now)

    def accepts_keys(self, now: float) -> bool:
        """Return whether keys may be assigned: the upstream stays and is not cold."""
        is_warm = self.cold_limiter is None or now >= self.cold_limiter.until
        return is_warm and not self.rejects_new_work(now)

    def is_usable(self, now: float) -> bool:
        """Return whether new work is accepted at all, however busy the upstream is."""
        if self.is_unconfirmed or not self.accepts_keys(now):
            return False
        return self.health.usable_share(1, now) > 0

    def record_evidence(self, observation: str, now: float) -> None:
        """Record an observation, for the log."""
        self.evidence = observation
        self.evidence_at = now

    def status(self, now: float) -> UpstreamStatus:
        """Return the most severe status that applies to the upstream."""
        return status_of(self, now)

    def report_age_ms(self, now: float) -> int | None:
        """Return the age of the load that answers reported, in ms; None if none."""
        match self.ledger:
            case ReportedSlots(reported_at=at) if at is not None:
                return round(1000 * (now - at))
            case _:
                return None

    def load(self, now: float) -> float:
        """Return the requests that run or wait there, as far as known."""
        match self.ledger:
            case ReportedSlots() as reported:
                return reported.load(now)
            case SlotLedger() as own:
                return float(own.in_flight)

    def record_reported_load(self, total_load: int, now: float) -> None:
        """Record the load that an answer reported; a ``SlotLedger`` ignores it."""
        if isinstance(self.ledger, ReportedSlots):
            self.ledger.record_reported_load(total_load, now)

    def record_shed(self, reported_load: int | None, now: float) -> None:
        """Record that the upstream shed a request: it is full, or asks for a pause.

        Parameters
        ----------
        reported_load : int, optional
            Requests that ran and waited there, as its answer reported.
        now : float
            Monotonic seconds.

        Notes
        -----
        An upstream that sheds although it reports free slots does so for another
        reason. It still serves the remaining requests, whose keys are cache misses
        elsewhere: where all upstreams shed half of their requests, counting them as
        full costs 0.02 of the earned worth of a day, and 0.09 under a modelled load.
        """
        match self.ledger:
            case ReportedSlots() as reported:
                if reported_load is None or reported_load >= reported.slots:
                    reported.record_shed(now)
            case SlotLedger():
                self.health.record_failure(now)

    def mark_misdirected(self) -> None:
        """Record that another upstream answered at this upstream's address."""
        self.is_misdirected = True

    def record_connection_loss(self, now: float) -> None:
        """Record that a connection was lost during a request."""
        match self.ledger:
            case ReportedSlots():
                self.health.record_connection_loss(now)
            case SlotLedger():
                self.health.record_failure(now)

    def record_hint(self, domain: str, now: float) -> None:
        """Record a VM's hint that the upstream answers nobody in a failure domain."""
        self.unresponsive_hints.record_hint(domain, now)

    def should_send_hint(self, now: float) -> bool:
        """Return whether to hint to other VMs that the upstream is unresponsive."""
        is_backed_off = isinstance(self.health.state, BackedOff)
        unanswered_s = now - self.answered_at if is_backed_off else 0.0
        return max(unanswered_s, self._own_unresponsive_s(now)) > SEND_HINT_AFTER_S

    def unresponsive_s(self, now: float) -> float:
        """Return the time for which the upstream seems to answer no VM, in seconds."""
        hinted_s = self.unresponsive_hints.hinted_unresponsive_s(self.answered_at, now)
        return max(self._own_unresponsive_s(now), hinted_s)

    def _own_unresponsive_s(self, now: float) -> float:
        """Return the time for which own requests run without an answer, in seconds."""
        match self.ledger:
            case ReportedSlots() as reported:
                oldest = reported.oldest_start()
                if oldest is None:
                    return 0.0
                return max(0.0, now - max(oldest, self.answered_at))
            case SlotLedger():
                return 0.0

    def usable_slots(self, now: float) -> int:
        """Return how many requests may run here now."""
        if self.rejects_new_work(now) or self.is_unconfirmed:
            return 0
        return self.health.usable_share(self.ledger.own_allowance(now), now)

    def score(self, now: float) -> float:
        """Return the expected cost of one more request; the lowest is chosen.

        Notes
        -----
        Own counts and measured latency decide. A fresh report can only raise the cost,
        so an upstream that falsely reports to be idle gains nothing.
        """
        limit = max(1, self.usable_slots(now))
        load = (self.ledger.in_flight + 1) / limit
        return self.current_latency(now) * load * self._report_penalty(now)

    def current_latency(self, now: float) -> float:
        """Return the latency relative to the average.

        Notes
        -----
        An old latency decays, so that one slow answer does not count forever.
        """
        age_s = max(0.0, now - self._latency_at)
        decay = math.exp(-age_s / LATENCY_DECAY_S)
        return 1.0 + (self.relative_latency - 1.0) * decay

    def _report_penalty(self, now: float) -> float:
        if self._report is None or now - self._reported_at > MAX_REPORT_AGE_S:
            return 1.0
        own = self.ledger.in_flight / max(1, self.upstream.slots)
        excess = max(0.0, self._report.utilisation - own)
        return 1.0 + REPORT_WEIGHT * excess

    def record_latency(self, latency: float, now: float) -> None:
        """Record the latency of one answer, relative to the operation's average."""
        bounded = min(MAX_RELATIVE_LATENCY, max(MIN_RELATIVE_LATENCY, latency))
        current = self.current_latency(now)
        self.relative_latency = current + LATENCY_WEIGHT * (bounded - current)
        self._latency_at = now

    def record_probe_report(
        self, report: LoadReport, *, now: float, wall_time: float
    ) -> None:
        """Record the load report of a probe.

        Parameters
        ----------
        report : LoadReport
            The report.
        now : float
            Monotonic seconds.
        wall_time : float
            Seconds since the Unix epoch, to convert a planned time of leaving.
        """
        self.is_unconfirmed = False
        self._report = report
        self._reported_at = now
        self._set_leaving(now=now, wall=wall_time, leaves_at=report.leaves_at)
        self.health.record_probe_success(now)

    def record_probe_failure(self, *, reached: bool, now: float) -> None:
        """Record that a probe returned no readable report.

        Parameters
        ----------
        reached : bool
            Whether a connection was established.
        now : float
            Monotonic seconds.
        """
        self.is_unconfirmed = False
        self.record_evidence("probe returned no load report", now)
        self.health.record_probe_failure(reached=reached, now=now)

    def apply_listing(
        self, *, leaving: bool, leaves_at: float | None, now: float, wall_time: float
    ) -> None:
        """Apply what the platform's list reports about leaving."""
        self._listed_leaving = leaving
        self.is_unconfirmed = False
        self._set_leaving(now=now, wall=wall_time, leaves_at=leaves_at)

    def _set_leaving(self, *, now: float, wall: float, leaves_at: float | None) -> None:
        reported = self._report is not None and self._report.leaving
        announced = self.statements.is_leaving(self.incarnation_id)
        self.leaving = reported or announced or self._listed_leaving
        if leaves_at is not None:
            self.leaves_at = now + (leaves_at - wall)
        elif self._report is None or self._report.leaves_at is None:
            self.leaves_at = None
