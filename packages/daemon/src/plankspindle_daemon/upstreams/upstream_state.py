"""Everything an entry VM knows of one upstream."""

from __future__ import annotations

import math

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.configuration.upstream import Upstream
from plankspindle_daemon.upstreams.cold_gate import ColdGate
from plankspindle_daemon.upstreams.health import BackedOff
from plankspindle_daemon.upstreams.health import UpstreamHealth
from plankspindle_daemon.upstreams.heard_statements import HeardStatements
from plankspindle_daemon.upstreams.limit_gate import LimitGate
from plankspindle_daemon.upstreams.limit_gate import life_of
from plankspindle_daemon.upstreams.load_report import MAX_AGE_S
from plankspindle_daemon.upstreams.load_report import LoadReport
from plankspindle_daemon.upstreams.reported_slots import ReportedSlots
from plankspindle_daemon.upstreams.silence import TOLD_FROM_S
from plankspindle_daemon.upstreams.silence import Silence
from plankspindle_daemon.upstreams.slot_ledger import SlotLedger
from plankspindle_daemon.upstreams.standing import Standing
from plankspindle_daemon.upstreams.standing import standing_of
from plankspindle_daemon.upstreams.upstream_statement import SAYS_NOTHING
from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement

LATENCY_WEIGHT = 0.2
MIN_LATENCY = 0.1
MAX_LATENCY = 10.0
LATENCY_FADES_S = 1.0
REPORT_WEIGHT = 0.5


@define(kw_only=True)
class UpstreamState:
    """Limits, health and latency of one upstream.

    Parameters
    ----------
    name : str
        Its name.
    upstream : Upstream
        Its declaration.
    health : UpstreamHealth
        Its health.
    ledger : SlotLedger or ReportedSlots
        Its slots.
    incarnation : int
        Number of its present life; zero where the platform does not tell it.
    relative_latency : float
        Moving average of its latency over that of all upstreams; 1 is average.
    leaving : bool
        Whether it takes no new work.
    leaves_at : float, optional
        Planned time of leaving, monotonic seconds.
    is_unconfirmed : bool
        Whether this process stood still since it last heard that the upstream stays;
        until the next probe or list it gets no new work.
    cold : ColdGate, optional
        Bound on requests while it is cold.
    gate_by_life : dict of str to LimitGate
        Limits that upstreams name over all entry VMs, of any service.
    heard : HeardStatements
        What upstreams said of themselves, of any service.
    drained_at : float, optional
        Time from which a confirmed drain keeps new work away, monotonic seconds.
    is_misplaced : bool
        Whether another one answered at its address. This life of it is gone for good
        then; another one under its name has a state of its own.
    answered_at : float
        When it last answered, monotonic seconds.
    stated : UpstreamStatement
        What it said of itself in its last answer.
    evidence : str, optional
        What was last seen of it other than an answer.
    evidence_at : float
        When that was, monotonic seconds.
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
    cold: ColdGate | None = None
    is_misplaced: bool = False
    gate_by_life: dict[str, LimitGate] = Factory(dict)
    heard: HeardStatements = Factory(HeardStatements)
    answered_at: float = 0.0
    silence: Silence = Factory(Silence)
    stated: UpstreamStatement = SAYS_NOTHING
    evidence: str | None = None
    evidence_at: float = 0.0
    _report: LoadReport | None = None
    _reported_at: float = 0.0
    _latency_at: float = 0.0
    _listed_leaving: bool = False

    def is_same_life(self, declared: Upstream, incarnation: int) -> bool:
        """Tell whether a declaration is of the life that this is the state of.

        Notes
        -----
        An upstream that has started again has empty caches, and none of the latency,
        failures and requests of before are its own. A number is learned late where the
        platform did not tell it at first; that starts no other life.
        """
        if self.upstream.endpoint != declared.endpoint:
            return False
        return 0 in (self.incarnation, incarnation) or self.incarnation == incarnation

    def takes_nothing_new(self, now: float) -> bool:
        """Tell whether it is leaving, drained or gone."""
        drained = self.drained_at is not None and now >= self.drained_at
        return self.leaving or drained or self.is_misplaced

    def can_take(self, *, now: float, deadline: float, ends_by: float) -> bool:
        """Tell whether a request may start here.

        Parameters
        ----------
        now, deadline : float
            Monotonic seconds.
        ends_by : float
            When the request is expected to end; a planned leave must be later.
        """
        if (
            self.is_unconfirmed
            or self.takes_nothing_new(now)
            or (self.leaves_at is not None and ends_by > self.leaves_at)
            or (self.drained_at is not None and ends_by > self.drained_at)
            or not self._is_warm_enough(now)
            or self.lacks_token(now)
        ):
            return False
        allowed = self.ledger.allowance(now, deadline)
        return self.ledger.in_flight < self.health.limit(allowed, now)

    @property
    def life(self) -> str:
        """Name of its present life."""
        return life_of(self.name, self.incarnation)

    def note_statement(self, statement: UpstreamStatement, now: float) -> None:
        """Take what it said of itself in an answer."""
        self.stated = statement
        if statement.is_leaving:
            self.heard.note_leaving(self.life)
            if not self.leaving:
                self.note_evidence("it says that it leaves", now)
            self.leaving = True
        if statement.rest_s is not None:
            until = self.heard.note_rest(self.life, now + statement.rest_s)
            self.health.note_rest(until)
            self.note_evidence(f"it wants {statement.rest_s:.3g} s of rest", now)

    def take_heard(self, now: float) -> None:
        """Take what its life said before this state of it was made."""
        self.leaving = self.leaving or self.heard.is_leaving(self.life)
        rests_until = self.heard.rests_until(self.life)
        if rests_until > now:
            self.health.note_rest(rests_until)

    def limit_gate(self) -> LimitGate | None:
        """Give the gate of the limit that it names; None if it names none."""
        if not self.gate_by_life:
            return None
        return self.gate_by_life.get(self.life)

    def lacks_token(self, now: float) -> bool:
        """Tell whether it names a limit of which this VM has no token."""
        gate = self.limit_gate()
        return gate is not None and not gate.has_token(now)

    def opens_at(self, now: float) -> float:
        """Give when it wants another request, as far as it said so, monotonic s."""
        gate = self.limit_gate()
        rests_until = self.health.rests_until(now)
        return rests_until if gate is None else max(rests_until, gate.opens_at(now))

    def _is_warm_enough(self, now: float) -> bool:
        return self.cold is None or self.cold.allows(now)

    def start(self, *, ticket: int, now: float, deadline: float) -> None:
        """Count a request that starts."""
        self.ledger.start(ticket=ticket, now=now, deadline=deadline)
        if self.cold is not None:
            self.cold.take(now)
        gate = self.limit_gate()
        if gate is not None:
            gate.take(now)

    def stays(self, now: float) -> bool:
        """Tell whether keys may be given to it: it is neither going nor cold."""
        is_warm = self.cold is None or now >= self.cold.until
        return is_warm and not self.takes_nothing_new(now)

    def is_usable(self, now: float) -> bool:
        """Tell whether it takes new work at all, however busy it is."""
        if self.is_unconfirmed or not self.stays(now):
            return False
        return self.health.limit(1, now) > 0

    def note_evidence(self, seen: str, now: float) -> None:
        """Keep what was seen of it, for the log."""
        self.evidence = seen
        self.evidence_at = now

    def standing(self, now: float) -> Standing:
        """Say what is believed of it, the gravest first."""
        return standing_of(self, now)

    def report_age_ms(self, now: float) -> int | None:
        """Give the age of the load that its answers told; None if there is none."""
        match self.ledger:
            case ReportedSlots(reported_at=at) if at is not None:
                return round(1000 * (now - at))
            case _:
                return None

    def load(self, now: float) -> float:
        """Requests that run or wait there, as far as known."""
        match self.ledger:
            case ReportedSlots() as reported:
                return reported.load(now)
            case SlotLedger() as own:
                return float(own.in_flight)

    def note_reported(self, total: int, now: float) -> None:
        """Take the load that an answer told, where it counts."""
        if isinstance(self.ledger, ReportedSlots):
            self.ledger.note_reported(total, now)

    def note_shed(self, reported_load: int | None, now: float) -> None:
        """Record that it shed a request: it is full, or asks for a pause.

        Parameters
        ----------
        reported_load : int, optional
            Requests that ran and waited there, as its answer told.
        now : float
            Monotonic seconds.

        Notes
        -----
        One that tells of room sheds a part of its requests for another reason. It still
        serves the rest, and its keys miss anywhere else: where all upstreams shed a
        half, taking them for full costs 0.02 of the worth of a day, and 0.09 of the
        worth of a modelled load.
        """
        match self.ledger:
            case ReportedSlots() as reported:
                if reported_load is None or reported_load >= reported.slots:
                    reported.note_full(now)
            case SlotLedger():
                self.health.note_refusal(now)

    def note_misplaced(self) -> None:
        """Record that another upstream answered at its address."""
        self.is_misplaced = True

    def note_lost(self, now: float) -> None:
        """Record that a connection to it was lost during a request."""
        match self.ledger:
            case ReportedSlots():
                self.health.note_break(now)
            case SlotLedger():
                self.health.note_refusal(now)

    def note_hint(self, domain: str, now: float) -> None:
        """Take the word of a VM of a failure domain that it answers nobody there."""
        self.silence.note_hint(domain, now)

    def is_worth_a_hint(self, now: float) -> bool:
        """Tell whether other entry VMs should know that it answers nobody here."""
        is_backed_off = isinstance(self.health.state, BackedOff)
        unanswered_s = now - self.answered_at if is_backed_off else 0.0
        return max(unanswered_s, self._own_silence_s(now)) > TOLD_FROM_S

    def silent_s(self, now: float) -> float:
        """Time for which it seems to answer nobody, in seconds."""
        hinted_s = self.silence.hinted_s(self.answered_at, now)
        return max(self._own_silence_s(now), hinted_s)

    def _own_silence_s(self, now: float) -> float:
        """Time for which own requests run there without any answer, in seconds."""
        match self.ledger:
            case ReportedSlots() as reported:
                oldest = reported.oldest_start()
                if oldest is None:
                    return 0.0
                return max(0.0, now - max(oldest, self.answered_at))
            case SlotLedger():
                return 0.0

    def limit(self, now: float) -> int:
        """Requests that may run here at this moment."""
        if self.takes_nothing_new(now) or self.is_unconfirmed:
            return 0
        return self.health.limit(self.ledger.own_allowance(now), now)

    def score(self, now: float) -> float:
        """Expected cost of one more request; the lowest is chosen.

        Notes
        -----
        Own counts and measured latency decide. A fresh report can only make the
        upstream less attractive, so one that claims to be idle gains nothing.
        """
        limit = max(1, self.limit(now))
        load = (self.ledger.in_flight + 1) / limit
        return self.present_latency(now) * load * self._report_penalty(now)

    def present_latency(self, now: float) -> float:
        """Give its latency relative to the average.

        Notes
        -----
        An old latency fades, so that an unlucky answer is not held for ever.
        """
        age_s = max(0.0, now - self._latency_at)
        fading = math.exp(-age_s / LATENCY_FADES_S)
        return 1.0 + (self.relative_latency - 1.0) * fading

    def _report_penalty(self, now: float) -> float:
        if self._report is None or now - self._reported_at > MAX_AGE_S:
            return 1.0
        own = self.ledger.in_flight / max(1, self.upstream.slots)
        excess = max(0.0, self._report.utilisation - own)
        return 1.0 + REPORT_WEIGHT * excess

    def note_latency(self, relative: float, now: float) -> None:
        """Take the latency of one answer, relative to the operation's average."""
        bounded = min(MAX_LATENCY, max(MIN_LATENCY, relative))
        present = self.present_latency(now)
        self.relative_latency = present + LATENCY_WEIGHT * (bounded - present)
        self._latency_at = now

    def note_report(self, report: LoadReport, *, now: float, wall: float) -> None:
        """Take a load report.

        Parameters
        ----------
        report : LoadReport
            What the upstream says.
        now : float
            Monotonic seconds.
        wall : float
            Seconds since the Unix epoch, to place a planned leave.
        """
        self.is_unconfirmed = False
        self._report = report
        self._reported_at = now
        self._set_leaving(now=now, wall=wall, leaves_at=report.leaves_at)
        self.health.note_report(now)

    def note_unreported(self, *, reached: bool, now: float) -> None:
        """Record that a probe brought no report that can be read.

        Parameters
        ----------
        reached : bool
            Whether a connection was made.
        now : float
            Monotonic seconds.
        """
        self.is_unconfirmed = False
        self.note_evidence("a probe brought no report", now)
        self.health.note_silence(reached=reached, now=now)

    def note_listed(
        self, *, leaving: bool, leaves_at: float | None, now: float, wall: float
    ) -> None:
        """Take what the platform's list says of leaving."""
        self._listed_leaving = leaving
        self.is_unconfirmed = False
        self._set_leaving(now=now, wall=wall, leaves_at=leaves_at)

    def _set_leaving(self, *, now: float, wall: float, leaves_at: float | None) -> None:
        reported = self._report is not None and self._report.leaving
        said = self.heard.is_leaving(self.life)
        self.leaving = reported or said or self._listed_leaving
        if leaves_at is not None:
            self.leaves_at = now + (leaves_at - wall)
        elif self._report is None or self._report.leaves_at is None:
            self.leaves_at = None
