"""Bound on the requests a second that a cold upstream gets from this entry VM."""

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
"""Parts that are remembered, some 300 KB; upstreams come and go under new names."""


@define(kw_only=True)
class ColdLimiter:
    """Token bucket of one request, filled at this VM's part of the bound.

    Parameters
    ----------
    rate_per_s : float
        Requests a second that this VM may send; zero sends none.
    until : float
        End of the cold time, monotonic seconds.

    Notes
    -----
    In any second a VM sends at most ``1 + per_s`` requests, so that
    ``MAX_COLD_SENDERS`` of them stay within the upstream's bound plus
    ``MAX_COLD_SENDERS``.
    """

    rate_per_s: float
    until: float
    _next_at: float = 0.0

    def allows(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        if now >= self.until:
            return True
        return self.rate_per_s > 0 and now >= self._next_at

    def record_sent(self, now: float) -> None:
        """Count a request that is sent."""
        if now < self.until and self.rate_per_s > 0:
            self._next_at = now + 1.0 / self.rate_per_s


@define(kw_only=True)
class ColdRateCache:
    """What one entry VM may send to cold upstreams, while its members stay the same.

    Parameters
    ----------
    vm : str
        The VM.

    Notes
    -----
    Each reading of the list asks for each cold upstream, and the answer hashes the
    names of all members: at 80 of them a twelfth of the processor time of an idle VM.
    """

    vm: str
    _members: tuple[str, ...] = ()
    _part_by_place: dict[tuple[str, float], float] = Factory(dict)

    def rate_per_s(
        self, upstream: str, *, members: tuple[str, ...], total_rate_per_s: float
    ) -> float:
        """Give the requests a second that this VM may send to a cold upstream.

        Parameters
        ----------
        upstream : str
            Its name.
        members : tuple of str
            Entry VMs that are known; the same object while they are the same.
        total_rate_per_s : float
            Requests a second that the upstream bears from all of them.
        """
        if members is not self._members or len(self._part_by_place) >= MAX_CACHED_RATES:
            self._members = members
            self._part_by_place.clear()
        place = (upstream, total_rate_per_s)
        part = self._part_by_place.get(place)
        if part is None:
            part = cold_rate_share(
                vm=self.vm,
                others=members,
                upstream=upstream,
                total_rate_per_s=total_rate_per_s,
            )
            self._part_by_place[place] = part
        return part


def cold_rate_share(
    *, vm: str, others: Iterable[str], upstream: str, total_rate_per_s: float
) -> float:
    """Give the requests a second that one entry VM may send to a cold upstream.

    Parameters
    ----------
    vm : str
        The VM that asks.
    others : iterable of str
        The other entry VMs that it knows.
    upstream : str
        Name of the upstream.
    total_rate_per_s : float
        Requests a second that the upstream bears from all of them.

    Returns
    -------
    float
        Zero if enough others come before this VM for this upstream.
    """
    own = stable_hash(f"{vm} {upstream}")
    before = sum(
        stable_hash(f"{other} {upstream}") < own for other in others if other != vm
    )
    return total_rate_per_s / MAX_COLD_SENDERS if before < MAX_COLD_SENDERS else 0.0
