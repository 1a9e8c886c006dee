"""Detects which upstreams this VM takes for limited over all entry VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_daemon.status_changes.status_change import StatusChange

if TYPE_CHECKING:
    from collections.abc import Iterator

    from plankspindle_daemon.quotas.upstream_limits import UpstreamLimits


@define(kw_only=True)
class LimitMonitor:
    """Report limits that this VM begins and ceases to keep, whoever announced them."""

    _limit_by_incarnation: dict[str, float] = Factory(dict)

    def observe(self, limits: UpstreamLimits, now: float) -> Iterator[StatusChange]:
        """Yield the changes since the previous call.

        Parameters
        ----------
        limits : UpstreamLimits
            Limits that this VM keeps.
        now : float
            Monotonic seconds.
        """
        previous = self._limit_by_incarnation
        limiters = limits.limiter_by_incarnation
        if not previous and not limiters:
            return
        self._limit_by_incarnation = {
            incarnation: limiter.limit_per_s
            for incarnation, limiter in limiters.items()
        }
        for incarnation, limiter in limiters.items():
            if previous.get(incarnation) != limiter.limit_per_s:
                fields = {
                    "upstream": incarnation,
                    "limit_per_s": limiter.limit_per_s,
                    "announced_ms_ago": round(1000 * (now - limiter.announced_at)),
                }
                yield StatusChange(event="upstream_limit_kept", fields=fields)
        for incarnation in previous.keys() - limiters.keys():
            fields = {"upstream": incarnation}
            yield StatusChange(event="upstream_limit_ended", fields=fields)
