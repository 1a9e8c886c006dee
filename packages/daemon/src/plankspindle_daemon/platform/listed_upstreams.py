"""Upstreams that the platform's list names, through outages of the platform."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_daemon.platform.live_list import ListedVm

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


MAX_READ_GAP_S = 8.0
"""Time between two reads of the list from which on entries may have lapsed."""
OUTAGE_MISSING_SHARE = 0.25
"""Part of the entries that must be missing for an outage to be the likely cause."""
REENTRY_GRACE_S = 2.5
"""Time after such a gap for entries of living upstreams to come back.

The platform names 2 s; the rest is for a read.
"""
RECOVERY_S = 6.0
"""Usual time after a disturbance by which what is gone must be left, in seconds."""
REMOVAL_MARGIN_S = 0.3
"""What of that time is left to act, in seconds: a look each 0.2 s, and a read."""


@define(kw_only=True)
class ListedUpstreams:
    """Listed upstreams by name.

    Parameters
    ----------
    recovery_s : float
        Time after a disturbance by which what is gone must be left, in seconds.

    Notes
    -----
    Entries lapse while the platform is away, and come back within seconds of its
    return. When many are missing after a read that failed, or a gap, they are
    therefore kept for ``REENTRY_GRACE_S``. Few missing ones are gone at once: the
    platform was there, and it was this VM that could not reach it.

    Only connections may have fallen silent while the platform was there, and then the
    missing ones are gone. Nothing tells the two apart, so that what is missing is kept
    no longer than ``recovery_s`` allows after the last time at which the disturbance
    was certainly under way: a call over a new connection that failed, or else the last
    read, after which the connection may have fallen silent at once.
    """

    recovery_s: float = RECOVERY_S
    by_name: dict[str, ListedVm] = Factory(dict)
    _read_at: float | None = None
    _last_disturbed_at: float | None = None
    _grace_until: float = 0.0
    _retains_missing: bool = False
    _unreadable: frozenset[str] = frozenset()

    @property
    def read_at(self) -> float | None:
        """When the list was last known to be the present one, monotonic seconds."""
        return self._read_at

    @property
    def grace_until(self) -> float:
        """Until when missing entries would be kept, monotonic seconds."""
        return self._grace_until

    @property
    def retained_until(self) -> float | None:
        """Until when missing entries are kept; None if there are none."""
        return self._grace_until if self._retains_missing else None

    def record_read_failure(self, *, unavailable_at: float | None = None) -> None:
        """Record that the list could not be read.

        Parameters
        ----------
        unavailable_at : float, optional
            When the platform was last found away, monotonic seconds.
        """
        known = (self._read_at, self._last_disturbed_at, unavailable_at)
        latest = max((each for each in known if each is not None), default=-math.inf)
        self._last_disturbed_at = latest

    def set_grace_until(self, until: float) -> None:
        """Keep missing entries as long as the VM that has read the list does."""
        self._grace_until = until

    def confirm_current(self, at: float) -> None:
        """Record that the list is known to have been the present one at a time."""
        if self._read_at is not None:
            self._read_at = max(self._read_at, at)

    def set_unreadable(self, names: frozenset[str]) -> None:
        """Take the names whose entries are there but unreadable: none lapsed."""
        self._unreadable = names

    def set_read_at(self, at: float | None) -> None:
        """Say when the list that was taken last was read, if not just then."""
        self._read_at = at

    @property
    def needs_reapplying(self) -> bool:
        """Whether the same list, taken later, would say something else."""
        return self._last_disturbed_at is not None or self._retains_missing

    def is_in_grace_period(self, now: float) -> bool:
        """Tell whether missing entries are kept for the time being."""
        return now < self._grace_until

    def apply(self, listed: Iterable[ListedVm], now: float) -> None:
        """Take a list that was read just now."""
        disturbed_at = self._last_disturbance_at(now)
        if disturbed_at is not None:
            latest = disturbed_at + self.recovery_s - REMOVAL_MARGIN_S
            self._grace_until = min(now + REENTRY_GRACE_S, latest)
        self._last_disturbed_at = None
        self._read_at = now
        present = {each.name: each for each in listed if each.upstream is not None}
        self._retains_missing = False
        if self.is_in_grace_period(now):
            held = self._readable()
            self._retains_missing = _suggests_outage(held, present)
            if self._retains_missing:
                present = {**held, **present}
        self.by_name = present

    def _readable(self) -> dict[str, ListedVm]:
        """Give the known entries without those that are there but unreadable."""
        return {
            name: each
            for name, each in self.by_name.items()
            if name not in self._unreadable
        }

    def newest_of(self, listed: ListedVm) -> ListedVm:
        """Give the known entry in place of one of an earlier life, which lags."""
        known = self.by_name.get(listed.name)
        if known is not None and 0 < listed.incarnation < known.incarnation:
            return known
        return listed

    def incarnation_of(self, name: str) -> int:
        """Give the number of an upstream's known life; zero if there is none."""
        known = self.by_name.get(name)
        return 0 if known is None else known.incarnation

    def _last_disturbance_at(self, now: float) -> float | None:
        """Tell when a disturbance before this read was last under way."""
        if self._last_disturbed_at is not None:
            return self._last_disturbed_at
        # Without a failure it was this process that stood still, until just now.
        stood_still = self._read_at is not None and now - self._read_at > MAX_READ_GAP_S
        return now if stood_still else None


def _suggests_outage(
    held: Mapping[str, ListedVm], present: Mapping[str, ListedVm]
) -> bool:
    """Tell whether so many entries are missing that an outage is the likely cause."""
    missing = sum(name not in present for name in held)
    return missing > OUTAGE_MISSING_SHARE * len(held)
