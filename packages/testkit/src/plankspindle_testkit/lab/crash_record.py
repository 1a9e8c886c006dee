"""What is known of the requests under which upstreams of a run end."""

from __future__ import annotations

from collections import defaultdict

from attrs import Factory
from attrs import define

CRASH_THRESHOLD = 3
"""Upstreams that end under a request before it is to be held back."""


@define(kw_only=True)
class CrashRecord:
    """Ends of upstreams under requests, and where such requests were sent.

    Attributes
    ----------
    crashed_at_by_identity, sent_at_by_identity : dict of int to list of float
        When upstreams ended under a request, and when it was sent to one, in seconds.
    """

    crashed_at_by_identity: dict[int, list[float]] = Factory(lambda: defaultdict(list))
    sent_at_by_identity: dict[int, list[float]] = Factory(lambda: defaultdict(list))

    def record_sent(self, identity: int, now: float) -> None:
        """Note that such a request is sent to an upstream."""
        self.sent_at_by_identity[identity].append(now)

    def record_crash(self, identity: int, now: float) -> None:
        """Note that an upstream ended under it."""
        self.crashed_at_by_identity[identity].append(now)

    def count_late_sends(self, identity: int, *, within_s: float) -> int:
        """Count how often it was sent on, long after the third upstream had ended.

        Parameters
        ----------
        identity : int
            The request.
        within_s : float
            Time after the end of the third upstream that does not count, in seconds.
        """
        crashed_at = self.crashed_at_by_identity[identity]
        if len(crashed_at) < CRASH_THRESHOLD:
            return 0
        due = crashed_at[CRASH_THRESHOLD - 1] + within_s
        return sum(at > due for at in self.sent_at_by_identity[identity])
