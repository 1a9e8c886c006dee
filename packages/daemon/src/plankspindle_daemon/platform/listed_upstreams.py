"""Upstreams that the platform's list names, through outages of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define

from plankspindle_daemon.platform.live_list import ListedVm

if TYPE_CHECKING:
    from collections.abc import Iterable


GAP_S = 8.0
"""Time between two reads of the list from which on entries may have lapsed."""
LAPSED_SHARE = 0.25
"""Part of the entries that must be missing for an outage to be the likely cause."""
RETURN_S = 2.5
"""Time after such a gap for entries of living upstreams to come back."""


@define(kw_only=True)
class ListedUpstreams:
    """Listed upstreams by name.

    Notes
    -----
    Entries lapse while the platform is away, and come back within seconds of its
    return. When many are missing after a read that failed, or a gap, they are
    therefore kept for ``RETURN_S``. Few missing ones are gone at once: the platform was
    there, and it was this VM that could not reach it.
    """

    by_name: dict[str, ListedVm] = Factory(dict)
    _read_at: float | None = None
    _failed: bool = False
    _lenient_until: float = 0.0
    _keeps_missing: bool = False

    def note_failed(self) -> None:
        """Record that the list could not be read."""
        self._failed = True

    def note_current(self, now: float) -> None:
        """Record that the list is known not to have changed."""
        if self._read_at is not None:
            self._read_at = now

    @property
    def is_to_be_taken_again(self) -> bool:
        """Whether the same list, taken later, would say something else."""
        return self._failed or self._keeps_missing

    def is_lenient(self, now: float) -> bool:
        """Tell whether missing entries are kept for the time being."""
        return now < self._lenient_until

    def take(self, listed: Iterable[ListedVm], now: float) -> None:
        """Take a list that was read just now."""
        if self._read_at is not None and (self._failed or now - self._read_at > GAP_S):
            self._lenient_until = now + RETURN_S
        self._failed = False
        self._read_at = now
        present = {each.name: each for each in listed if each.upstream is not None}
        self._keeps_missing = self.is_lenient(now) and self._lapsed(present)
        if self._keeps_missing:
            present = {**self.by_name, **present}
        self.by_name = present

    def _lapsed(self, present: dict[str, ListedVm]) -> bool:
        missing = sum(name not in present for name in self.by_name)
        return missing > LAPSED_SHARE * len(self.by_name)
