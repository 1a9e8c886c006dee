"""Which part of a service's keys has its upstream in another region."""

from __future__ import annotations

from plankspindle_core.classes import define


@define(kw_only=True)
class RegionPlan:
    """Divide the keys of one service between the own region and the others.

    Attributes
    ----------
    remote_share : float
        Part of the keys, from 0 to 1, whose upstream stands in another region.

    Notes
    -----
    An upstream that has seen a key answers in a third of the time. Where each request
    decides by itself whether it leaves, a key is learned in each region: on a calm day
    of 36 upstreams 2.0 of them learned each key, and 19 in 100 requests missed; by this
    plan 1.5 learn it and 14 miss. A region short of upstreams sends out whole keys, the
    same ones at each of its entry VMs, from the first request on: as many as balance
    its part of the slots with its part of the entry VMs, which stands for its part of
    the callers.

    The part does not follow the load that answers tell: each VM hears of another one,
    so that keys moved at each at other times and were known in two places. That cost
    0.01 of the worth of days with trouble, and gained nothing where nine tenths of the
    callers of a modelled load filled one region.
    """

    remote_share: float = 0.0

    def is_remote(self, hash_fraction: float) -> bool:
        """Tell whether a key leaves, by its place among all keys, from 0 to 1."""
        return hash_fraction < self.remote_share

    def update(
        self,
        *,
        local_slots: float,
        remote_slots: float,
        vm_share: float,
        max_change: float = 1.0,
    ) -> None:
        """Take the slots of upstreams that stay, and work out the part.

        Parameters
        ----------
        local_slots, remote_slots : float
            Slots in the own region and in the others.
        vm_share : float
            Part of the entry VMs that stand in the own region; above 0.
        max_change : float
            Most by which the part may change now.
        """
        if local_slots == 0 or remote_slots == 0:
            self.remote_share = 1.0 if remote_slots > 0 else 0.0
            return
        kept = local_slots / (local_slots + remote_slots) / vm_share
        change = max(0.0, 1.0 - kept) - self.remote_share
        self.remote_share += max(-max_change, min(max_change, change))
