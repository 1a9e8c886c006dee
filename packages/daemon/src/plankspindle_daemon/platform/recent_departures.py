"""Upstreams that left, remembered against entries of a store that lost this."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import evolve

from plankspindle_core.classes import define
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.versions.store_era import MAX_COPY_AGE_S

if TYPE_CHECKING:
    from collections.abc import Iterable

OUTDATED_S = 6.0
"""Time after a return from a copy in which entries may be outdated, in seconds.

An entry that its upstream does not write any more expires after three heartbeats, which
are 4.5 s; the rest allows for the outage's end to be noticed.
"""


@define(kw_only=True)
class _Departure:
    last_entry: ListedVm
    at: float
    is_gone: bool


@define(kw_only=True)
class RecentDepartures:
    """Upstreams that were last known as leaving or gone.

    Notes
    -----
    A store that returned from a copy may list an upstream as ready that has left since.
    The entry is current only once the upstream has written it again, which raises its
    sequence number above the last one that was seen.
    """

    _by_name: dict[str, _Departure] = Factory(dict)
    _outdated_until: float = -math.inf
    _logged_names: set[str] = Factory(set)

    def record(
        self, before: dict[str, ListedVm], after: dict[str, ListedVm], now: float
    ) -> None:
        """Record the upstreams that are leaving, and those that are gone since."""
        for name, entry in before.items():
            if name not in after:
                self._by_name[name] = _Departure(last_entry=entry, at=now, is_gone=True)
        for name, entry in after.items():
            if entry.leaving:
                self._by_name[name] = _Departure(
                    last_entry=entry, at=now, is_gone=False
                )
            elif name in self._by_name:
                del self._by_name[name]
        expired = [
            name
            for name, each in self._by_name.items()
            if now - each.at > MAX_COPY_AGE_S
        ]
        for name in expired:
            del self._by_name[name]

    def begin_outdated(self, now: float) -> None:
        """Record that the store has returned from a copy."""
        self._outdated_until = now + OUTDATED_S
        self._logged_names.clear()

    def correct(self, listed: Iterable[ListedVm], now: float) -> tuple[ListedVm, ...]:
        """Return the entries of a list without what is outdated in them."""
        if now >= self._outdated_until or not self._by_name:
            return tuple(listed)
        corrected = (self._correct_entry(each) for each in listed)
        return tuple(each for each in corrected if each is not None)

    def _correct_entry(self, entry: ListedVm) -> ListedVm | None:
        known = self._by_name.get(entry.name)
        if known is None or _order(entry) > _order(known.last_entry):
            return entry
        if entry.name not in self._logged_names:
            self._logged_names.add(entry.name)
            log_event("outdated_entry", upstream=entry.name, was_gone=known.is_gone)
        return None if known.is_gone else evolve(entry, leaving=True)


def _order(entry: ListedVm) -> tuple[int, int]:
    """Return what orders the writes of one entry."""
    return entry.incarnation, entry.sequence
