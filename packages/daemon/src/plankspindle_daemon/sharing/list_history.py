"""Recent changes of the list, which are sent again to VMs that missed one."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import evolve

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.versions.store_version import StoreVersion

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_RECENT_CHANGES = 4
"""Changes that are sent again, so that a lost message costs its receiver no read."""
COLD_END_TOLERANCE_S = 0.25
"""Difference up to which two ends of a cold period count as equal, in seconds.

Messages carry the remaining time, so the end that a receiver computes varies.
"""
MAX_BASES = 6
MAX_CHANGED = 7
MAX_GONE = 24
"""Most spans, changed and removed upstreams that fit into a message of 1,400 bytes."""
MAX_PARTS = 48
"""Most messages for one change, enough to replace a third of 900 upstreams at once.

Sent to 20 members, that is 1.2 MB within the failure domain, once. A VM that misses one
of the messages, or for which the change is too long, reads the list itself.
"""


@frozen(kw_only=True)
class ListChange:
    """Difference between some versions of the list and a later one.

    Parameters
    ----------
    base_spans : tuple of (int, int)
        Spans of versions that it can be applied to, as numbers of the first and last
        version of each. A list of a version between two spans may hold entries that
        this VM never saw.
    base_era : int
        Era of the store that those numbers belong to.
    version : StoreVersion
        Version of the list after the change, in a later era if the store returned from
        a copy between the two lists.
    changed : tuple of ListedVm
        Upstreams that are new or have changed.
    gone : tuple of str
        Upstreams that are no longer listed.
    """

    base_spans: tuple[tuple[int, int], ...]
    base_era: int
    version: StoreVersion
    changed: tuple[ListedVm, ...] = ()
    gone: tuple[str, ...] = ()

    def applies_to(self, version: StoreVersion) -> bool:
        """Return whether the change can be applied to a version of the list."""
        return version.era == self.base_era and any(
            first <= version.number <= last for first, last in self.base_spans
        )

    @property
    def crosses_eras(self) -> bool:
        """Whether the store returned from a copy between the two lists."""
        return self.base_era != self.version.era

    def merged_with(self, later: ListChange) -> ListChange:
        """Return this change and a following one of the same era combined."""
        latest = {each.name: each for each in (*self.changed, *later.changed)}
        listed_again = {each.name for each in later.changed}
        gone = (set(self.gone) - listed_again) | set(later.gone)
        return ListChange(
            base_spans=(*self.base_spans, *later.base_spans),
            base_era=later.base_era,
            version=later.version,
            changed=tuple(each for name, each in latest.items() if name not in gone),
            gone=tuple(sorted(gone)),
        )

    def fits_message(self) -> bool:
        """Return whether the change fits into one message."""
        return (
            len(self.base_spans) <= MAX_BASES
            and len(self.changed) <= MAX_CHANGED
            and len(self.gone) <= MAX_GONE
        )

    def split(self) -> list[ListChange]:
        """Split the change into changes that fit into one message each.

        Returns
        -------
        list of ListChange
            Parts with the same bases and version; empty if there would be more than
            ``MAX_PARTS``, or the spans do not fit.
        """
        count = max(
            1,
            -(-len(self.changed) // MAX_CHANGED),
            -(-len(self.gone) // MAX_GONE),
        )
        if count > MAX_PARTS or len(self.base_spans) > MAX_BASES:
            return []
        return [
            evolve(
                self,
                changed=self.changed[index * MAX_CHANGED : (index + 1) * MAX_CHANGED],
                gone=self.gone[index * MAX_GONE : (index + 1) * MAX_GONE],
            )
            for index in range(count)
        ]


@define(kw_only=True)
class ListHistory:
    """Changes between the lists that were read or received."""

    _by_name: dict[str, ListedVm] = Factory(dict)
    _changes: deque[ListChange] = Factory(lambda: deque(maxlen=MAX_RECENT_CHANGES))
    _unchanged_since: int | None = None
    _version: StoreVersion = StoreVersion()

    def record(
        self, vms: Iterable[ListedVm], *, version: StoreVersion, now: float
    ) -> ListChange | None:
        """Record a complete list and its changes since the list before.

        Returns
        -------
        ListChange or None
            The changes, or None if this is the first list or there are none; the first
            list of another era always counts as changed.
        """
        crosses_eras = version.era != self._version.era
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
            self._unchanged_since = version.number
        elif changed or gone or crosses_eras:
            change = ListChange(
                base_spans=((self._unchanged_since, self._version.number),),
                base_era=self._version.era,
                version=version,
                changed=changed,
                gone=gone,
            )
            self._changes.append(change)
            self._unchanged_since = version.number
        self._version = version
        return change

    def add(self, change: ListChange) -> None:
        """Add a change that was received from another VM."""
        for name in change.gone:
            self._by_name.pop(name, None)
        self._by_name |= {each.name: each for each in change.changed}
        self._changes.append(change)
        self._version = change.version
        self._unchanged_since = change.version.number

    def merge_recent(self) -> ListChange:
        """Return the most recent changes combined, as many as fit into one message.

        Raises
        ------
        ValueError
            If no list was recorded yet.
        """
        if self._unchanged_since is None:
            raise ValueError("no list was recorded yet")
        recent = ListChange(
            base_spans=((self._unchanged_since, self._version.number),),
            base_era=self._version.era,
            version=self._version,
        )
        for change in reversed(self._changes):
            if change.base_era != recent.base_era:
                break
            merged = change.merged_with(recent)
            if not merged.fits_message():
                break
            recent = merged
        return recent


def _is_same(before: ListedVm | None, after: ListedVm, now: float) -> bool:
    """Return whether two readings of an entry are equal, within the tolerance.

    The sequence number rises with each write, also of the same content.
    """
    if before is after:
        return True
    if before is None:
        return False
    written_before = evolve(
        after, cold_until=before.cold_until, sequence=before.sequence
    )
    if written_before != before:
        return False
    ends = (max(now, before.cold_until), max(now, after.cold_until))
    return abs(ends[0] - ends[1]) < COLD_END_TOLERANCE_S
