"""Upstreams in the platform's list, retained through outages of the platform."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.recent_departures import RecentDepartures
from plankspindle_daemon.versions.store_era import UNKNOWN_ERA

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


MAX_READ_GAP_S = 8.0
"""Longest time between two reads, in seconds; after more, entries may have expired."""
OUTAGE_MISSING_SHARE = 0.25
"""Share of entries above which missing ones are attributed to an outage."""
REENTRY_GRACE_S = 2.5
"""Time after an outage for live upstreams to be listed again, in seconds.

The platform specifies 2 s; the remaining 0.5 s allow for a read.
"""
RECOVERY_S = 6.0
"""Default limit on the time that upstreams which are gone stay in use, in seconds.

It counts from the disturbance after which they went missing.
"""
REMOVAL_MARGIN_S = 0.3
"""Part of ``recovery_s`` reserved for the removal, in seconds.

It covers a check period of 0.2 s and a read.
"""


@define(kw_only=True)
class ListedUpstreams:
    """Listed upstreams by name, with a grace period for entries lost in an outage.

    Parameters
    ----------
    recovery_s : float
        Time after a disturbance within which upstreams that are gone must be removed,
        in seconds.

    Notes
    -----
    Entries expire while the platform is unavailable, and are added again within seconds
    of its return. If many are missing after a failed read or a read gap, they are
    therefore retained for ``REENTRY_GRACE_S``. If only a few are missing, they are
    removed at once: the platform was available, and only this VM could not reach it.

    It is also possible that the platform was available and only connections to it
    failed silently; then the missing upstreams are gone. The two cases cannot be told
    apart. Missing entries are therefore retained only as long as ``recovery_s`` allows
    after the last time at which the disturbance was certainly in progress: that of a
    failed call over a new connection, or else of the last read, since an existing
    connection may have failed directly after it.
    """

    recovery_s: float = RECOVERY_S
    by_name: dict[str, ListedVm] = Factory(dict)
    _read_at: float | None = None
    _last_disturbed_at: float | None = None
    _grace_until: float = 0.0
    _retains_missing: bool = False
    _unreadable: frozenset[str] = frozenset()
    _era: int = UNKNOWN_ERA
    _restoring_until: float = -math.inf
    _departures: RecentDepartures = Factory(RecentDepartures)

    @property
    def read_at(self) -> float | None:
        """Time at which the list was last known to be current, monotonic seconds."""
        return self._read_at

    @property
    def grace_until(self) -> float:
        """Time until which missing entries would be retained, monotonic seconds."""
        return self._grace_until

    @property
    def retained_until(self) -> float | None:
        """Time until which missing entries are retained; None if there are none."""
        return self._grace_until if self._retains_missing else None

    def record_read_failure(self, *, unavailable_at: float | None = None) -> None:
        """Record a failed read of the list.

        Parameters
        ----------
        unavailable_at : float, optional
            Time at which the platform was last found unavailable, monotonic seconds.
        """
        known = (self._read_at, self._last_disturbed_at, unavailable_at)
        latest = max((each for each in known if each is not None), default=-math.inf)
        self._last_disturbed_at = latest

    def record_era(self, era: int, now: float) -> None:
        """Record the era of the store in which the next list to apply was read.

        In a new era entries may be missing that were written after the copy from which
        the store returned, and entries may be listed that were removed after it.
        """
        if era > self._era > UNKNOWN_ERA:
            self.record_read_failure()
            self._restoring_until = now + REENTRY_GRACE_S
            self._departures.begin_outdated(now)
        self._era = max(era, self._era)

    def set_grace_until(self, until: float) -> None:
        """Set the end of the grace period to that of the VM that has read the list."""
        self._grace_until = until

    def confirm_current(self, at: float) -> None:
        """Record that the list was current at a time, monotonic seconds."""
        if self._read_at is not None:
            self._read_at = max(self._read_at, at)

    def set_unreadable(self, names: frozenset[str]) -> None:
        """Set the names whose entries exist but are unreadable, so have not expired."""
        self._unreadable = names

    def set_read_at(self, at: float | None) -> None:
        """Set when the last applied list was read, if another VM had read it before."""
        self._read_at = at

    @property
    def needs_reapplying(self) -> bool:
        """Whether applying the same list later would give another result."""
        return self._last_disturbed_at is not None or self._retains_missing

    def is_in_grace_period(self, now: float) -> bool:
        """Return whether missing entries are retained at a time."""
        return now < self._grace_until

    def apply(self, listed: Iterable[ListedVm], now: float) -> None:
        """Apply a list that was read just now."""
        is_restoring = now < self._restoring_until
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
            self._retains_missing = (
                not held.keys() <= present.keys()
                if is_restoring
                else _suggests_outage(held, present)
            )
            if self._retains_missing:
                present = {**held, **present}
        self._departures.record(self.by_name, present, now)
        self.by_name = present

    def _readable(self) -> dict[str, ListedVm]:
        """Return the known entries without those that exist but are unreadable."""
        return {
            name: each
            for name, each in self.by_name.items()
            if name not in self._unreadable
        }

    def current_of(
        self, listed: Iterable[ListedVm], now: float
    ) -> tuple[ListedVm, ...]:
        """Return the entries of a list, corrected where they are outdated."""
        return self._departures.correct(map(self._newest_of, listed), now)

    def _newest_of(self, listed: ListedVm) -> ListedVm:
        """Return the known entry if the listed one lags behind its incarnation."""
        known = self.by_name.get(listed.name)
        if known is not None and 0 < listed.incarnation < known.incarnation:
            return known
        return listed

    def incarnation_of(self, name: str) -> int:
        """Return the known incarnation number of an upstream; zero if unknown."""
        known = self.by_name.get(name)
        return 0 if known is None else known.incarnation

    def _last_disturbance_at(self, now: float) -> float | None:
        """Return when a disturbance before this read was last in progress, if any."""
        if self._last_disturbed_at is not None:
            return self._last_disturbed_at
        # A gap without a failed read means that this process was stopped until now.
        was_stopped = self._read_at is not None and now - self._read_at > MAX_READ_GAP_S
        return now if was_stopped else None


def _suggests_outage(
    held: Mapping[str, ListedVm], present: Mapping[str, ListedVm]
) -> bool:
    """Return whether so many entries are missing that an outage is the likely cause."""
    missing = sum(name not in present for name in held)
    return missing > OUTAGE_MISSING_SHARE * len(held)
