"""Record of upstreams' statements, and of requests that arrived in spite of them."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define

if TYPE_CHECKING:
    from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement

WINDOW_S = 4.0
"""Window in which requests to a rate-limited upstream are counted, in seconds."""
OVERAGE_FACTOR = 1.5
SLACK_REQUESTS = 5
"""Tolerated excess over the limit in a window: a factor, and a number of requests."""
STATEMENT_DELAY_S = 0.5
"""Time after which an entry VM must comply with a statement it relayed, in seconds."""


def max_allowed_requests(limit_per_s: float) -> float:
    """Return the requests that an upstream with a limit may get in a window."""
    return OVERAGE_FACTOR * limit_per_s * WINDOW_S + SLACK_REQUESTS


@define(kw_only=True)
class StatementRecord:
    """Records statements of upstreams, and the requests that reached them.

    Attributes
    ----------
    arrivals_by_upstream : dict of str to list of (float, str)
        Times in seconds at which requests reached an upstream, and their entry VMs.
    limit_by_upstream : dict of str to float
        Stated rate limits, in requests a second.
    """

    arrivals_by_upstream: dict[str, list[tuple[float, str]]] = Factory(
        lambda: defaultdict(list)
    )
    limit_by_upstream: dict[str, float] = Factory(dict)
    _limited_from: dict[str, float] = Factory(dict)
    _limited_until: dict[str, float] = Factory(dict)
    _limit_reported_at: dict[tuple[str, str], float] = Factory(dict)
    _leaving_at: dict[tuple[str, str], float] = Factory(dict)
    _backoff_periods: dict[tuple[str, str], list[tuple[float, float]]] = Factory(
        lambda: defaultdict(list)
    )

    def record_arrival(self, upstream: str, vm: str, now: float) -> None:
        """Record that a request of an entry VM reaches an upstream."""
        self.arrivals_by_upstream[upstream].append((now, vm))

    def record_limit(
        self, upstream: str, limit_per_s: float | None, now: float
    ) -> None:
        """Record that an upstream begins, or ceases, to state a limit."""
        if limit_per_s is None:
            self._limited_until[upstream] = now
        else:
            self.limit_by_upstream[upstream] = limit_per_s
            self._limited_from[upstream] = now

    def record_statement(
        self, upstream: str, vm: str, statement: UpstreamStatement, now: float
    ) -> None:
        """Record that an entry VM receives a statement of an upstream."""
        pair = (upstream, vm)
        if statement.limit_per_s is not None:
            self._limit_reported_at.setdefault(pair, now)
        if statement.is_leaving:
            self._leaving_at.setdefault(pair, now)
        if statement.retry_after_s is not None:
            self._backoff_periods[pair].append((now, now + statement.retry_after_s))

    def sent_to_leaving(self, *, drain_s: float) -> int:
        """Return the number of requests sent to upstreams known to be leaving.

        Requests within ``drain_s`` seconds after the entry VM received the statement
        are not counted.
        """
        return sum(
            at > self._leaving_at.get((upstream, vm), float("inf")) + drain_s
            for upstream, arrivals in self.arrivals_by_upstream.items()
            for at, vm in arrivals
        )

    def max_requests_in_backoff(self) -> int:
        """Return the most requests of an entry VM in one backoff period it knew."""
        return max(
            (
                sum(
                    vm == sender and since + STATEMENT_DELAY_S < at < until
                    for at, sender in self.arrivals_by_upstream[upstream]
                )
                for (upstream, vm), periods in self._backoff_periods.items()
                for since, until in periods
            ),
            default=0,
        )

    @property
    def backoff_count(self) -> int:
        """Number of Retry-After delays that entry VMs received from upstreams."""
        return sum(map(len, self._backoff_periods.values()))

    def max_share_of_allowed(self) -> float:
        """Return the most that any upstream got in a window, as a share of its bound.

        All requests of an entry VM that knows the limit at the end of the window are
        counted, including those before it received the statement.
        """
        return max(map(self._max_share_at, self.limit_by_upstream), default=0.0)

    def used_share(self, upstream: str) -> float:
        """Return the share of its limit that an upstream got after the first window."""
        since = self._limited_from[upstream] + WINDOW_S
        until = self._limited_until[upstream]
        arrivals = [
            at for at, _ in self.arrivals_by_upstream[upstream] if since < at < until
        ]
        return len(arrivals) / (until - since) / self.limit_by_upstream[upstream]

    def _max_share_at(self, upstream: str) -> float:
        until = self._limited_until.get(upstream, float("inf"))
        counted_from = self._limited_from[upstream] + WINDOW_S
        arrivals = self.arrivals_by_upstream[upstream]
        max_count = 0
        for end, _ in arrivals:
            if counted_from <= end < until:
                count = sum(
                    self._limit_reported_at.get((upstream, vm), until)
                    + STATEMENT_DELAY_S
                    < end
                    for at, vm in arrivals
                    if end - WINDOW_S <= at <= end
                )
                max_count = max(max_count, count)
        return max_count / max_allowed_requests(self.limit_by_upstream[upstream])
