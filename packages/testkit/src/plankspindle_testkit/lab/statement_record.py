"""What upstreams said of themselves, and what they got from whom they had told."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define

if TYPE_CHECKING:
    from plankspindle_daemon.upstreams.upstream_statement import UpstreamStatement

WINDOW_S = 4.0
"""Time over which requests at an upstream that names a limit are summed, seconds."""
OVERAGE_FACTOR = 1.5
SLACK_REQUESTS = 5
"""Bound on them: so often what the limit allows, and so many requests more."""
STATEMENT_DELAY_S = 0.5
"""Time after which an entry VM that relayed a statement must go by it, seconds."""


def max_allowed_requests(limit_per_s: float) -> float:
    """Give the requests that an upstream with a limit may get in a window."""
    return OVERAGE_FACTOR * limit_per_s * WINDOW_S + SLACK_REQUESTS


@define(kw_only=True)
class StatementRecord:
    """Statements of the upstreams of a run, and requests that reached them.

    Attributes
    ----------
    arrivals_by_upstream : dict of str to list of (float, str)
        When requests reached an upstream, in seconds, and from which entry VM.
    limit_by_upstream : dict of str to float
        Limits that were named, in requests a second.
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
        """Note that a request of an entry VM reaches an upstream."""
        self.arrivals_by_upstream[upstream].append((now, vm))

    def record_limit(
        self, upstream: str, limit_per_s: float | None, now: float
    ) -> None:
        """Note that an upstream begins, or ceases, to name a limit."""
        if limit_per_s is None:
            self._limited_until[upstream] = now
        else:
            self.limit_by_upstream[upstream] = limit_per_s
            self._limited_from[upstream] = now

    def record_statement(
        self, upstream: str, vm: str, statement: UpstreamStatement, now: float
    ) -> None:
        """Note that an entry VM takes an answer in which an upstream says something."""
        place = (upstream, vm)
        if statement.limit_per_s is not None:
            self._limit_reported_at.setdefault(place, now)
        if statement.is_leaving:
            self._leaving_at.setdefault(place, now)
        if statement.retry_after_s is not None:
            self._backoff_periods[place].append((now, now + statement.retry_after_s))

    def sent_to_leaving(self, *, drain_s: float) -> int:
        """Count requests that came long after their entry VM knew of the leaving."""
        return sum(
            at > self._leaving_at.get((upstream, vm), float("inf")) + drain_s
            for upstream, arrivals in self.arrivals_by_upstream.items()
            for at, vm in arrivals
        )

    def max_requests_in_backoff(self) -> int:
        """Give the most requests of an entry VM that came in one rest it knew of."""
        return max(
            (
                sum(
                    vm == sender and since + STATEMENT_DELAY_S < at < until
                    for at, sender in self.arrivals_by_upstream[upstream]
                )
                for (upstream, vm), rests in self._backoff_periods.items()
                for since, until in rests
            ),
            default=0,
        )

    @property
    def backoff_count(self) -> int:
        """Count the times that an upstream asked an entry VM for rest."""
        return sum(map(len, self._backoff_periods.values()))

    def max_share_of_allowed(self) -> float:
        """Give the most that any upstream got in a window, as a part of its bound.

        All requests of an entry VM count that knows of the limit at the end of the
        window, those before it was told included.
        """
        return max(map(self._max_share_at, self.limit_by_upstream), default=0.0)

    def used_share(self, upstream: str) -> float:
        """Give the part of its limit that an upstream got from the second window on."""
        since = self._limited_from[upstream] + WINDOW_S
        until = self._limited_until[upstream]
        got = [
            at for at, _ in self.arrivals_by_upstream[upstream] if since < at < until
        ]
        return len(got) / (until - since) / self.limit_by_upstream[upstream]

    def _max_share_at(self, upstream: str) -> float:
        until = self._limited_until.get(upstream, float("inf"))
        judged_from = self._limited_from[upstream] + WINDOW_S
        arrivals = self.arrivals_by_upstream[upstream]
        most = 0
        for end, _ in arrivals:
            if judged_from <= end < until:
                got = sum(
                    self._limit_reported_at.get((upstream, vm), until)
                    + STATEMENT_DELAY_S
                    < end
                    for at, vm in arrivals
                    if end - WINDOW_S <= at <= end
                )
                most = max(most, got)
        return most / max_allowed_requests(self.limit_by_upstream[upstream])
