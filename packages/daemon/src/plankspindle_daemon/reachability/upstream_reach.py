"""State machine: whether this VM reaches any upstream."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.dispatch.service_registry import ServiceRegistry
from plankspindle_daemon.reachability.contact_record import ContactRecord

if TYPE_CHECKING:
    from plankspindle_core.configuration.upstream import Upstream
    from plankspindle_core.http.errors import ConnectFailed

MIN_FAILED = 3
MIN_FAILED_WHILE_ANSWERED = 6
"""Upstreams that must not be reached, where requests are answered no more, and where
they are: upstreams that are full reset new connections, too."""
MIN_FAILING_WHILE_ANSWERED_S = 1.0
MIN_DOMAINS = 2
"""Failure domains of these upstreams: one alone may be down or out of reach."""
MIN_REGAINED = 2
"""Upstreams that must be reached again; fewer if fewer are listed."""
ANSWER_VALID_S = 0.5
"""Time for which an answer shows that open connections live, in seconds."""
VERIFY_AFTER_S = 0.25
"""Time from a first failure to the probes, in which a request may settle it."""
PROBE_PERIOD_S = 0.25
"""Period of the probes while no upstream is reached, in seconds.

Callers are refused, or relayed, for this long after a partition has ended.
"""
REGAINED_WITHIN_S = 1.0
"""Time within which the upstreams must be reached that show its end, in seconds."""
VERIFY_PERIOD_S = 1.0
"""Period of the probes of a verification, in seconds.

It is longer than a connect timeout: the probes of one round must all have failed.
"""
SILENCE_S = 1.0
"""Time without any answer or new connection after which a VM with requests under way
probes an upstream, in seconds. It doubles while upstreams prove to be only slow."""
VERIFYING_PROBES, CUT_OFF_PROBES, SILENCE_PROBES = 3, 2, 1


@frozen
class Reaching:
    """Upstreams accept connections, as far as known."""


@frozen
class Verifying:
    """Connections fail, and it is being verified whether all do."""


@frozen(kw_only=True)
class CutOff:
    """No upstream is reached.

    Parameters
    ----------
    since : float
        Monotonic seconds.
    """

    since: float


ReachState = Reaching | Verifying | CutOff


@frozen(kw_only=True)
class ProbeConnection:
    """Open a connection to an upstream, and close it again.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    endpoint : Endpoint
        Its address.
    """

    upstream: str
    endpoint: Endpoint


@define(kw_only=True)
class UpstreamReach:
    """Conclude from connections whether this VM is cut off from all upstreams.

    Parameters
    ----------
    services : ServiceRegistry
        Upstreams of all services.
    random : Random
        Source of the choice of upstreams that are probed.

    Attributes
    ----------
    state : Reaching, Verifying or CutOff
        The present conclusion.
    contact : ContactRecord
        The connections that it follows from.

    Notes
    -----
    New connections decide, not answers: those are slow for many reasons, and open
    connections may live on while new ones are refused. Probes of upstreams that have
    not failed must fail, too: several upstreams that crash at once are no cut.
    """

    services: ServiceRegistry
    random: Random
    state: ReachState = Reaching()
    contact: ContactRecord = Factory(ContactRecord)
    _regained_at_by_upstream: dict[str, float] = Factory(dict)
    _next_probe_at: float = 0.0
    _unanswered_since: float | None = None
    _awaited_probes: set[str] = Factory(set)
    _was_probed: bool = False

    @property
    def is_cut_off(self) -> bool:
        """Whether this VM reaches no upstream."""
        return isinstance(self.state, CutOff)

    @property
    def is_doubtful(self) -> bool:
        """Whether this VM reaches no upstream, or may not."""
        return not isinstance(self.state, Reaching)

    def allows_attempt(self, now: float) -> bool:
        """Return whether a request may be tried here although this VM is cut off.

        It may if requests on open connections are answered, or if connections fail at
        once, so that an attempt costs its caller no time.
        """
        return self.is_answered(now) or self.contact.fails_at_once

    def is_answered(self, now: float) -> bool:
        """Return whether requests on open connections are still answered."""
        return now - self.contact.answered_at < ANSWER_VALID_S

    def record_sent(self, now: float) -> None:
        """Record that a request was sent to an upstream."""
        if self._unanswered_since is None:
            self._unanswered_since = now
            if not self.is_doubtful:
                self._next_probe_at = now + SILENCE_S

    def record_answered(self, now: float) -> None:
        """Record that an upstream answered a request."""
        self.contact.record_answered(now)
        self._unanswered_since = None

    def record_connected(self, upstream: str, now: float) -> None:
        """Record that an upstream accepted a new connection."""
        self.contact.record_connected(now)
        match self.state:
            case CutOff():
                self._record_regained(upstream, now)
            case Verifying():
                self._end_verification()
            case Reaching():
                pass

    def _end_verification(self) -> None:
        self.state = Reaching()
        self._awaited_probes.clear()
        self._was_probed = False

    def _record_regained(self, upstream: str, now: float) -> None:
        regained = self._regained_at_by_upstream
        regained[upstream] = now
        recent = [at for at in regained.values() if now - at <= REGAINED_WITHIN_S]
        if len(recent) >= min(MIN_REGAINED, len(self._candidates(now))):
            self._end_verification()
            regained.clear()

    def record_connect_failed(
        self, upstream: str, failure: ConnectFailed, now: float
    ) -> None:
        """Record that a new connection to an upstream was not established."""
        self.contact.record_connect_failed(upstream, failure, now)
        if isinstance(self.state, Reaching):
            self.state = Verifying()
            self._next_probe_at = now + VERIFY_AFTER_S
        self._awaited_probes.discard(upstream)
        is_verified = self._was_probed and not self._awaited_probes
        if isinstance(self.state, Verifying) and is_verified and self._all_fail(now):
            self.state = CutOff(since=now)
            self._next_probe_at = now + PROBE_PERIOD_S

    def _all_fail(self, now: float) -> bool:
        """Return whether the failures show that no upstream is reached."""
        is_answered = self.is_answered(now)
        needed = MIN_FAILED_WHILE_ANSWERED if is_answered else MIN_FAILED
        failed = self.contact.failed_at_by_upstream
        if is_answered and self.contact.failing_for_s(now) < (
            MIN_FAILING_WHILE_ANSWERED_S
        ):
            return False
        candidates = self._candidates(now)
        failed_domains = [
            each.failure_domain for name, each in candidates.items() if name in failed
        ]
        domains = {each.failure_domain for each in candidates.values()}
        return bool(failed_domains) and (
            len(failed_domains) >= min(needed, len(candidates))
            and len(set(failed_domains)) >= min(MIN_DOMAINS, len(domains))
        )

    def recover_from_pause(self) -> None:
        """Forget failures that may be due to a pause of this process."""
        self.contact.failed_at_by_upstream.clear()
        self._unanswered_since = None
        if isinstance(self.state, Verifying):
            self._end_verification()

    def tick(self, now: float) -> list[ProbeConnection]:
        """Return the probes that are due."""
        if now < self._next_probe_at:
            return []
        match self.state:
            case CutOff():
                self._next_probe_at = now + PROBE_PERIOD_S
                return self._choose_probes(CUT_OFF_PROBES, now)
            case Verifying():
                self._next_probe_at = now + VERIFY_PERIOD_S
                probes = self._choose_probes(VERIFYING_PROBES, now)
                self._awaited_probes = {probe.upstream for probe in probes}
                self._was_probed = True
                return probes
            case Reaching():
                return self._probe_silence(now)

    def _probe_silence(self, now: float) -> list[ProbeConnection]:
        """Probe an upstream if requests are under way and nothing comes back."""
        if self._unanswered_since is None:
            return []
        silent_s = now - max(self._unanswered_since, self.contact.connected_at)
        if silent_s < SILENCE_S:
            self._next_probe_at = now + SILENCE_S - silent_s
            return []
        self._next_probe_at = now + max(SILENCE_S, now - self._unanswered_since)
        return self._choose_probes(SILENCE_PROBES, now)

    def choose_others(self, endpoint: Endpoint, now: float) -> list[ProbeConnection]:
        """Choose upstreams at other addresses, to verify that they are reached."""
        probes = self._choose_probes(len(self._candidates(now)), now)
        others = [probe for probe in probes if probe.endpoint != endpoint]
        return others[:VERIFYING_PROBES]

    def _choose_probes(self, count: int, now: float) -> list[ProbeConnection]:
        """Choose upstreams at random, first in domains without a failure."""
        candidates = self._candidates(now)
        failed = self.contact.failed_at_by_upstream
        failed_domains = {
            candidates[name].failure_domain for name in failed if name in candidates
        }
        names = sorted(candidates)
        self.random.shuffle(names)
        names.sort(
            key=lambda name: (
                name in failed,
                candidates[name].failure_domain in failed_domains,
            )
        )
        return [
            ProbeConnection(upstream=name, endpoint=candidates[name].endpoint)
            for name in names[:count]
        ]

    def _candidates(self, now: float) -> dict[str, Upstream]:
        """Return the declarations of all upstreams that may get requests, by name."""
        return {
            name: upstream.upstream
            for dispatcher in self.services.dispatchers_by_service.values()
            for name, upstream in dispatcher.upstreams_by_name.items()
            if not upstream.rejects_new_work(now)
        }
