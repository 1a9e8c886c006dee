"""Limit of the request rate that a cold upstream gets from this entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.stable_hash import stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_COLD_SENDERS = 8
"""Entry VMs that may send to one cold upstream."""
MAX_CACHED_RATES = 2_000
"""Rates that are cached, some 300 KB; upstreams come and go under new names."""


@define(kw_only=True)
class ColdLimiter:
    """Token bucket of one request that refills at this VM's share of the rate.

    Parameters
    ----------
    rate_per_s : float
        Requests per second that this VM may send; zero sends none.
    until : float
        End of the cold phase, monotonic seconds.

    Notes
    -----
    In any second a VM sends at most ``1 + rate_per_s`` requests, so that
    ``MAX_COLD_SENDERS`` VMs stay within the upstream's rate plus ``MAX_COLD_SENDERS``.
    """

    rate_per_s: float
    until: float
    _next_at: float = 0.0

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        if now >= self.until:
            return True
        return self.rate_per_s > 0 and now >= self._next_at

    def record_sent(self, now: float) -> None:
        """Record that a request is sent."""
        if now < self.until and self.rate_per_s > 0:
            self._next_at = now + 1.0 / self.rate_per_s


@define(kw_only=True)
class ColdRateCache:
    """This VM's rates for cold upstreams, cached while the members stay the same.

    Parameters
    ----------
    vm : str
        Name of this VM.

    Notes
    -----
    Each time the upstream list is read, the rate of every cold upstream is needed, and
    computing one hashes the names of all members. Without the cache, that took a
    twelfth of the processor time of an idle VM with 80 members.
    """

    vm: str
    _members: tuple[str, ...] = ()
    _rate_by_key: dict[tuple[str, float], float] = Factory(dict)

    def rate_per_s(
        self, upstream: str, *, members: tuple[str, ...], total_rate_per_s: float
    ) -> float:
        """Return the requests per second that this VM may send to a cold upstream.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        members : tuple of str
            Known entry VMs. The cache is cleared when another object is passed, so pass
            the same tuple while the members stay the same.
        total_rate_per_s : float
            Requests per second that the upstream can take from all entry VMs.
        """
        if members is not self._members or len(self._rate_by_key) >= MAX_CACHED_RATES:
            self._members = members
            self._rate_by_key.clear()
        key = (upstream, total_rate_per_s)
        rate = self._rate_by_key.get(key)
        if rate is None:
            rate = cold_rate_share(
                vm=self.vm,
                others=members,
                upstream=upstream,
                total_rate_per_s=total_rate_per_s,
            )
            self._rate_by_key[key] = rate
        return rate


def cold_rate_share(
    *, vm: str, others: Iterable[str], upstream: str, total_rate_per_s: float
) -> float:
    """Return the requests per second that one entry VM may send to a cold upstream.

    Parameters
    ----------
    vm : str
        Name of the VM.
    others : iterable of str
        The other entry VMs that it knows.
    upstream : str
        Name of the upstream.
    total_rate_per_s : float
        Requests per second that the upstream can take from all entry VMs.

    Returns
    -------
    float
        Zero if ``MAX_COLD_SENDERS`` other VMs rank before this one for this upstream.
    """
    own_hash = stable_hash(f"{vm} {upstream}")
    rank = sum(
        stable_hash(f"{other} {upstream}") < own_hash for other in others if other != vm
    )
    return total_rate_per_s / MAX_COLD_SENDERS if rank < MAX_COLD_SENDERS else 0.0
