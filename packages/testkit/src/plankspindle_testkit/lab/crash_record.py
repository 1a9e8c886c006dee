"""Record of crashes of upstreams and of the requests that caused them."""

from __future__ import annotations

from collections import defaultdict

from attrs import Factory
from attrs import define

CRASH_THRESHOLD = 3
"""Upstreams that a request crashes before it must be quarantined."""


@define(kw_only=True)
class CrashRecord:
    """Records crashes by request, and the times at which such requests were sent.

    Attributes
    ----------
    crashed_at_by_identity, sent_at_by_identity : dict of int to list of float
        Times at which a request crashed an upstream, and at which it was sent to one,
        in seconds, by the identity of the request.
    """

    crashed_at_by_identity: dict[int, list[float]] = Factory(lambda: defaultdict(list))
    sent_at_by_identity: dict[int, list[float]] = Factory(lambda: defaultdict(list))

    def record_sent(self, identity: int, now: float) -> None:
        """Record that a crashing request is sent to an upstream."""
        self.sent_at_by_identity[identity].append(now)

    def record_crash(self, identity: int, now: float) -> None:
        """Record that a request crashed an upstream."""
        self.crashed_at_by_identity[identity].append(now)

    def count_late_sends(self, identity: int, *, within_s: float) -> int:
        """Return how often a request was sent although it should be quarantined.

        Parameters
        ----------
        identity : int
            Identity of the request.
        within_s : float
            Time after the crash of the third upstream within which sends are not
            counted, in seconds.
        """
        crashed_at = self.crashed_at_by_identity[identity]
        if len(crashed_at) < CRASH_THRESHOLD:
            return 0
        quarantined_by = crashed_at[CRASH_THRESHOLD - 1] + within_s
        return sum(at > quarantined_by for at in self.sent_at_by_identity[identity])
