"""First tries at entry VMs that are cut off from all upstreams, and at the others."""

from __future__ import annotations

from attrs import Factory
from attrs import define

MIN_RATIO = 2 / 3
"""Least share served at VMs that are cut off, relative to the share at the others."""
FAILED_SLACK, FAILED_SHARE = 10, 1 / 50
"""Failed first tries that are always permitted: a number, and a share of all."""
CONTACT_S = 3.0
"""Time after the beginning of a cut from which its first tries count, in seconds."""


@define(kw_only=True)
class FirstTries:
    """First tries at a group of entry VMs.

    Attributes
    ----------
    sent, served : int
        All of them, and those that were answered by an upstream.
    """

    sent: int = 0
    served: int = 0

    @property
    def share(self) -> float:
        """Share that was served; 1 without any."""
        return self.served / self.sent if self.sent else 1.0


@define(kw_only=True)
class CutRecord:
    """First tries while some entry VMs are cut off.

    Attributes
    ----------
    cut, others : FirstTries
        Those at VMs that were cut off, and those at the others meanwhile.
    cut_since_by_vm : dict of str to float
        VMs that are cut off now, and since when, in simulated seconds.
    """

    cut: FirstTries = Factory(FirstTries)
    others: FirstTries = Factory(FirstTries)
    cut_since_by_vm: dict[str, float] = Factory(dict)

    def group_of(self, vm: str, now: float) -> FirstTries | None:
        """Return the group of a first try at a VM; None if it does not count now."""
        since = self.cut_since_by_vm
        if not since or now < max(since.values()) + CONTACT_S:
            return None
        return self.cut if vm in since else self.others

    def is_served_well(self) -> bool:
        """Return whether callers of VMs that are cut off fare as well as they must."""
        failed = self.cut.sent - self.cut.served
        allowed = FAILED_SLACK + FAILED_SHARE * (self.cut.sent + self.others.sent)
        return failed <= allowed or self.cut.share >= MIN_RATIO * self.others.share
