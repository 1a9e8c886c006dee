"""Record of the connections of this VM to upstreams."""

from __future__ import annotations

import math

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.http.errors import ConnectFailed


@define(kw_only=True)
class ContactRecord:
    """When upstreams answered or accepted connections, and which did not since.

    An upstream is counted once, however many connections to it failed.

    Attributes
    ----------
    answered_at, connected_at : float
        When any upstream last answered a request, and when a new connection to one was
        last established, monotonic seconds; minus infinity if never.
    failed_at_by_upstream : dict of str to float
        When the first connection to each upstream failed since then.
    connects, failed_connects : int
        Number of new connections that were established, and that were not.
    last_failure : ConnectFailed, optional
        How the last one failed.
    """

    answered_at: float = -math.inf
    connected_at: float = -math.inf
    failed_at_by_upstream: dict[str, float] = Factory(dict)
    connects: int = 0
    failed_connects: int = 0
    last_failure: ConnectFailed | None = None

    def record_answered(self, now: float) -> None:
        """Record that an upstream answered a request.

        Notes
        -----
        Connections that are open may live on while new ones fail, so an answer does not
        clear the failures.
        """
        self.answered_at = now

    def record_connected(self, now: float) -> None:
        """Record that a new connection to an upstream was established."""
        self.connects += 1
        self.connected_at = now
        self.failed_at_by_upstream.clear()

    def record_connect_failed(
        self, upstream: str, failure: ConnectFailed, now: float
    ) -> None:
        """Record that a new connection to an upstream was not established."""
        self.failed_connects += 1
        self.last_failure = failure
        self.failed_at_by_upstream.setdefault(upstream, now)

    @property
    def last_failure_text(self) -> str | None:
        """How the last connection failed, for the log."""
        return None if self.last_failure is None else self.last_failure.detail

    @property
    def fails_at_once(self) -> bool:
        """Whether the last connection failed without a wait."""
        return self.last_failure is not None and not self.last_failure.is_timeout

    def failing_for_s(self, now: float) -> float:
        """Return the time since the first of the failures, in seconds; zero if none."""
        first = min(self.failed_at_by_upstream.values(), default=now)
        return now - first
