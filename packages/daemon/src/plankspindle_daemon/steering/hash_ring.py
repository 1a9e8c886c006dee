"""Consistent hashing of client blocks to the entry VMs of a failure domain."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

from plankspindle_core.stable_hash import stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

POINTS_PER_VM = 16


class HashRing:
    """A ring of VM names.

    Parameters
    ----------
    names : iterable of str
        The VMs.

    Notes
    -----
    When a VM joins or leaves, only its own part of the callers moves, so the caches of
    the other VMs stay warm.
    """

    def __init__(self, *, names: Iterable[str]) -> None:
        points = sorted(
            (stable_hash(f"{name}#{number}"), name)
            for name in names
            for number in range(POINTS_PER_VM)
        )
        self._points = [point for point, _ in points]
        self._names = [name for _, name in points]

    def first(self, key: str, count: int) -> list[str]:
        """Return the first distinct VMs after a key.

        Parameters
        ----------
        key : str
            The key to be placed on the ring.
        count : int
            Maximum number of VMs; fewer are returned if there are fewer.
        """
        found: list[str] = []
        size = len(self._names)
        start = bisect_right(self._points, stable_hash(key))
        for step in range(size):
            name = self._names[(start + step) % size]
            if name not in found:
                found.append(name)
                if len(found) == count:
                    break
        return found
