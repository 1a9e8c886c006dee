"""Bounds on what cold upstreams get from one entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field

from plankspindle_core.classes import define
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.upstreams.cold_limiter import ColdLimiter
from plankspindle_daemon.upstreams.cold_limiter import ColdRateCache

if TYPE_CHECKING:
    from plankspindle_core.configuration.service import Service
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState


@define(kw_only=True)
class ColdRateLimits:
    """Bound the requests to upstreams that are cold.

    Parameters
    ----------
    vm : str
        This VM.
    membership : Membership
        Entry VMs that share the bounds.
    """

    vm: str
    membership: Membership
    _shares: ColdRateCache = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._shares = ColdRateCache(vm=self.vm)

    def mark_cold(
        self, upstream: UpstreamState, service: Service | None, now: float
    ) -> None:
        """Take an upstream as cold for the time of its service after a start.

        Parameters
        ----------
        upstream : UpstreamState
            One that started, or had nothing to do.
        service : Service, optional
            Its service, if that is declared.
        now : float
            Monotonic seconds.
        """
        if service is not None:
            self.mark_cold_until(upstream, service, now + service.cold_ms / 1000)

    def mark_cold_until(
        self, upstream: UpstreamState, service: Service | None, until: float
    ) -> None:
        """Take an upstream as cold until a time, or longer if it is so already.

        Parameters
        ----------
        upstream : UpstreamState
            The upstream.
        service : Service, optional
            Its service, if that is declared.
        until : float
            End of the cold time, monotonic seconds.
        """
        if service is None or service.cold_requests_per_s == 0:
            return
        per_s = self._shares.rate_per_s(
            upstream.name,
            members=self.membership.member_names(),
            total_rate_per_s=service.cold_requests_per_s,
        )
        if upstream.cold_limiter is None:
            upstream.cold_limiter = ColdLimiter(rate_per_s=per_s, until=until)
        else:
            upstream.cold_limiter.rate_per_s = per_s
            upstream.cold_limiter.until = max(upstream.cold_limiter.until, until)
