"""Rate limits of this entry VM on requests to cold upstreams."""

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
    """Limit the rate of requests to cold upstreams.

    Parameters
    ----------
    vm : str
        Name of this VM.
    membership : Membership
        Entry VMs that divide each limit among them.
    """

    vm: str
    membership: Membership
    _rates: ColdRateCache = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rates = ColdRateCache(vm=self.vm)

    def mark_cold(
        self, upstream: UpstreamState, service: Service | None, now: float
    ) -> None:
        """Mark an upstream as cold from now on, for the time that its service declares.

        Parameters
        ----------
        upstream : UpstreamState
            Upstream that started, or received no requests for a while.
        service : Service, optional
            Its service; None if that is not declared.
        now : float
            Monotonic time in seconds.
        """
        if service is not None:
            self.mark_cold_until(upstream, service, now + service.cold_ms / 1000)

    def mark_cold_until(
        self, upstream: UpstreamState, service: Service | None, until: float
    ) -> None:
        """Mark an upstream as cold until a time; never shorten an existing mark.

        Parameters
        ----------
        upstream : UpstreamState
            The upstream.
        service : Service, optional
            Its service; None if that is not declared.
        until : float
            End of the cold period, monotonic time in seconds.
        """
        if service is None or service.cold_requests_per_s == 0:
            return
        per_s = self._rates.rate_per_s(
            upstream.name,
            members=self.membership.member_names(),
            total_rate_per_s=service.cold_requests_per_s,
        )
        if upstream.cold_limiter is None:
            upstream.cold_limiter = ColdLimiter(rate_per_s=per_s, until=until)
        else:
            upstream.cold_limiter.rate_per_s = per_s
            upstream.cold_limiter.until = max(upstream.cold_limiter.until, until)
