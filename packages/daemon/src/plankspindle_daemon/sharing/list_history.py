"""The last changes of the list, for those that missed one."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import evolve

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.platform.live_list import ListedVm

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_RECENT_CHANGES = 4
"""Reads whose changes are told again: a lost message costs its receiver no read."""
COLD_END_TOLERANCE_S = 0.25
"""Difference of two readings of the end of a cold time, which is told as a rest."""
MAX_BASES = 6
MAX_CHANGED = 7
MAX_GONE = 24
"""What fits into a message of 1,400 bytes."""
MAX_PARTS = 48
"""Messages that carry one change: a third of 900 upstreams replaced at once.

To 20 members that is 1.2 MB within the failure domain, once. Whoever lacks one of them,
or a longer change, reads for itself.
"""


@frozen(kw_only=True)
class ListChange:
    """What leads from some versions of the list to a later one.

    Parameters
    ----------
    bases : tuple of (int, int)
        Spans of versions from which it leads there, first and last of each. A list that
        was read between them may hold entries that came and went unseen.
    version : int
        Where it leads.
    changed : tuple of ListedVm
        Upstreams that are new or have changed.
    gone : tuple of str
        Upstreams that are no longer listed.
    """

    bases: tuple[tuple[int, int], ...]
    version: int
    changed: tuple[ListedVm, ...] = ()
    gone: tuple[str, ...] = ()

    def applies_to(self, version: int) -> bool:
        """Tell whether it may be applied to a list of a version."""
        return any(first <= version <= last for first, last in self.bases)

    def merged_with(self, later: ListChange) -> ListChange:
        """Give this change and the one that follows it as one."""
        latest = {each.name: each for each in (*self.changed, *later.changed)}
        back = {each.name for each in later.changed}
        gone = (set(self.gone) - back) | set(later.gone)
        return ListChange(
            bases=(*self.bases, *later.bases),
            version=later.version,
            changed=tuple(each for name, each in latest.items() if name not in gone),
            gone=tuple(sorted(gone)),
        )

    def fits_message(self) -> bool:
        """Tell whether a message can carry it."""
        return (
            len(self.bases) <= MAX_BASES
            and len(self.changed) <= MAX_CHANGED
            and len(self.gone) <= MAX_GONE
        )

    def split(self) -> list[ListChange]:
        """Give changes that fit a message each and make up this one.

        Returns
        -------
        list of ListChange
            All have the same bases and version; empty if they would be too many.
        """
        count = max(
            1,
            -(-len(self.changed) // MAX_CHANGED),
            -(-len(self.gone) // MAX_GONE),
        )
        if count > MAX_PARTS or len(self.bases) > MAX_BASES:
            return []
        return [
            evolve(
                self,
                changed=self.changed[at * MAX_CHANGED : (at + 1) * MAX_CHANGED],
                gone=self.gone[at * MAX_GONE : (at + 1) * MAX_GONE],
            )
            for at in range(count)
        ]


@define(kw_only=True)
class ListHistory:
    """Changes between the lists that were read or told."""

    _by_name: dict[str, ListedVm] = Factory(dict)
    _changes: deque[ListChange] = Factory(lambda: deque(maxlen=MAX_RECENT_CHANGES))
    _unchanged_since: int | None = None
    _version: int = 0

    def record(
        self, vms: Iterable[ListedVm], *, version: int, now: float
    ) -> ListChange | None:
        """Take a whole list, and keep what has changed in it.

        Returns
        -------
        ListChange or None
            What has changed since the list before, if anything.
        """
        by_name = {each.name: each for each in vms if each.upstream is not None}
        before, self._by_name = self._by_name, by_name
        changed = tuple(
            each
            for name, each in by_name.items()
            if not _is_same(before.get(name), each, now)
        )
        gone = tuple(sorted(before.keys() - by_name.keys()))
        change = None
        if self._unchanged_since is None:
            self._unchanged_since = version
        elif changed or gone:
            change = ListChange(
                bases=((self._unchanged_since, self._version),),
                version=version,
                changed=changed,
                gone=gone,
            )
            self._changes.append(change)
            self._unchanged_since = version
        self._version = version
        return change

    def add(self, change: ListChange) -> None:
        """Take a change that was told."""
        for name in change.gone:
            self._by_name.pop(name, None)
        self._by_name |= {each.name: each for each in change.changed}
        self._changes.append(change)
        self._unchanged_since = self._version = change.version

    def merge_recent(self) -> ListChange:
        """Give the last changes as one, as many as a message can carry.

        Raises
        ------
        ValueError
            If no list was ever taken.
        """
        if self._unchanged_since is None:
            raise ValueError("no list was taken yet")
        recent = ListChange(
            bases=((self._unchanged_since, self._version),), version=self._version
        )
        for change in reversed(self._changes):
            longer = change.merged_with(recent)
            if not longer.fits_message():
                break
            recent = longer
        return recent


def _is_same(before: ListedVm | None, after: ListedVm, now: float) -> bool:
    """Compare two readings of an entry."""
    if before is after:
        return True
    if before is None or evolve(after, cold_until=before.cold_until) != before:
        return False
    ends = (max(now, before.cold_until), max(now, after.cold_until))
    return abs(ends[0] - ends[1]) < COLD_END_TOLERANCE_S
