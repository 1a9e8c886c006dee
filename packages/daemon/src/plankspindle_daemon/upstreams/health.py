"""Health of an upstream, which limits how much of its share may be used."""

from __future__ import annotations

import math
from random import Random

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen

RAMP_S = 2.0
BACK_OFF_S = 0.2
MAX_BACK_OFF_S = 10.0
TIMEOUTS_TO_BACK_OFF = 3
UNRESPONSIVE_S = 1.0
LOST_CONNECTIONS_TO_BACK_OFF = 3
"""Connections lost in a row, without an answer in between, that cause a back-off."""
_MAX_DOUBLINGS = 10


@frozen
class Warm:
    """The whole share may be used."""


@frozen
class Ramping:
    """Slow start: the usable part of the share grows from one slot.

    Parameters
    ----------
    since : float
        Start of the ramp, monotonic seconds.
    """

    since: float


@frozen
class BackedOff:
    """No request may be sent until a later probe succeeds.

    Parameters
    ----------
    until : float
        Earliest time of the probe, monotonic seconds.
    failures : int
        Consecutive failures.
    """

    until: float
    failures: int


HealthState = Warm | Ramping | BackedOff


@define(kw_only=True)
class UpstreamHealth:
    """State machine of one upstream's health.

    Parameters
    ----------
    random : Random
        Source of the jitter that keeps entry VMs from returning at the same time.
    state : HealthState
        Current state.
    needs_probe : bool
        Whether only a probe ends a back-off; otherwise a single request is let through
        as a probe attempt.
    """

    random: Random
    state: HealthState
    needs_probe: bool = True
    _failures: int = 0
    _lost_connections: int = 0
    _timeouts: int = 0
    _answered_at: float = float("-inf")
    _is_probing: bool = False
    _retry_at: float = float("-inf")

    def usable_share(self, share: int, now: float) -> int:
        """Return the usable part of a share.

        Parameters
        ----------
        share : int
            Slots that may be used when warm.
        now : float
            Monotonic seconds.

        Returns
        -------
        int
            At most ``share``; zero while backed off.
        """
        if now < self._retry_at:
            return 0
        match self.state:
            case Warm():
                return share
            case BackedOff(until=until) if self.needs_probe or now < until:
                return 0
            case BackedOff():
                self.state = Ramping(now)
                self._is_probing = True
                return min(share, 1)
            case Ramping() if self._is_probing:
                return min(share, 1)
            case Ramping(since=since):
                if now - since >= RAMP_S:
                    self.state = Warm()
                    return share
                ramped = 1 + math.floor((share - 1) * (now - since) / RAMP_S)
                return min(share, ramped)

    def record_success(self, now: float) -> None:
        """Record that a request was answered."""
        if self._is_probing:
            self._is_probing = False
            self.state = Ramping(now)
        self._failures = 0
        self._timeouts = 0
        self._lost_connections = 0
        self._answered_at = now

    def record_timeout(self, now: float) -> None:
        """Record that a request was not answered before its deadline.

        Notes
        -----
        A single timeout is weak evidence, since callers choose the deadlines. Several
        in a row, without any answer for ``UNRESPONSIVE_S``, mean that the upstream
        hangs. During a probe attempt after a back-off, one timeout is enough: with
        twelve unresponsive upstreams of 36, nine entry VMs lost one request each per
        second to probe attempts.
        """
        if self._is_probing:
            self.record_failure(now)
            return
        self._timeouts += 1
        is_unresponsive = now - self._answered_at >= UNRESPONSIVE_S
        if is_unresponsive and self._timeouts >= TIMEOUTS_TO_BACK_OFF:
            self._timeouts = 0
            self.record_failure(now)

    def record_connection_loss(self, now: float) -> None:
        """Record that a connection was lost before the answer was complete.

        Notes
        -----
        One lost answer is weak evidence against an upstream that keeps answering
        others.
        """
        if self._is_probing:
            self.record_failure(now)
            return
        self._lost_connections += 1
        if self._lost_connections >= LOST_CONNECTIONS_TO_BACK_OFF:
            self._lost_connections = 0
            self.record_failure(now)

    def record_failure(self, now: float) -> None:
        """Record that the upstream failed or shed a request."""
        if isinstance(self.state, BackedOff):
            return
        self._back_off(now)

    def retry_at(self, now: float) -> float:
        """Return the end of the retry-after period, monotonic seconds; now if none."""
        return max(now, self._retry_at)

    def record_retry_after(self, until: float) -> None:
        """Record that the upstream accepts no request until a time, monotonic seconds.

        Notes
        -----
        Afterwards one request is let through as a probe attempt, since the upstream may
        extend the period.
        """
        self._retry_at = max(self._retry_at, until)
        self._is_probing = False
        self.state = BackedOff(self._retry_at, self._failures)

    def record_probe_success(self, now: float) -> None:
        """Record a probe report, which ends a back-off but not a retry-after period."""
        if isinstance(self.state, BackedOff) and now >= self._retry_at:
            self.state = Ramping(now)

    def record_probe_failure(self, *, reached: bool, now: float) -> None:
        """Record that a probe returned no report.

        Parameters
        ----------
        reached : bool
            Whether a connection was established. If so, an upstream that is not backed
            off stays in use: reports may stop arriving while requests are still served.
        now : float
            Monotonic seconds.
        """
        if not reached or isinstance(self.state, BackedOff):
            self._back_off(now)

    def is_probe_due(self, now: float) -> bool:
        """Return whether a backed-off upstream is due for a probe."""
        is_due = isinstance(self.state, BackedOff) and now >= self.state.until
        return is_due and now >= self._retry_at

    def _back_off(self, now: float) -> None:
        doublings = min(self._failures, _MAX_DOUBLINGS)
        self._failures += 1
        max_delay_s = min(MAX_BACK_OFF_S, BACK_OFF_S * 2.0**doublings)
        delay_s = max_delay_s * self.random.uniform(0.5, 1.0)
        self._is_probing = False
        self.state = BackedOff(now + delay_s, self._failures)
