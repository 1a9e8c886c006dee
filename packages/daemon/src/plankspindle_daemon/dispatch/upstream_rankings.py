"""Order of the upstreams of a service for each affinity key, by rendezvous hashing."""

from __future__ import annotations

from heapq import nsmallest
from typing import TYPE_CHECKING

from attrs import Factory

from plankspindle_core.classes import define
from plankspindle_core.stable_hash import stable_hash
from plankspindle_daemon.dispatch.domain_distances import DomainDistances

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

MAX_CACHED_KEYS = 4_096
"""Affinity keys whose order of upstreams is remembered."""
MAX_RANKED = 12
"""Upstreams that a key remembers in its own region, and in the others."""
MIN_RANKED = 6
"""Remembered upstreams below which all are ordered anew, as they go one by one."""
_HASH_COUNT = 1 << 64
_HASH_MASK = _HASH_COUNT - 1
_HALF_BITS = 32
_MULTIPLIER = 0x9E3779B97F4A7C15
"""Odd, near 2**64 over the golden ratio, as in Fibonacci hashing."""


@define(kw_only=True)
class UpstreamRanking:
    """A key's place among all keys, and its orders of the upstreams.

    Parameters
    ----------
    key_hash : int
        Hash of the key.
    local, remote : list of str
        Upstreams of the own region and of all others, the preferred one first; the
        first ``KEPT`` of them.
    local_is_complete, remote_is_complete : bool
        Whether no others exist.
    """

    key_hash: int
    local: list[str]
    remote: list[str]
    local_is_complete: bool
    remote_is_complete: bool

    @property
    def hash_fraction(self) -> float:
        """Place among all keys, from 0 to 1, the same at every VM."""
        return self.key_hash / _HASH_COUNT


@define(kw_only=True)
class UpstreamRankings:
    """Orders of the keys that were asked for.

    Parameters
    ----------
    distances : DomainDistances
        Regions of failure domains.

    Notes
    -----
    Names and keys are hashed once; a key and a name are mixed by a multiplication, at a
    fifth of the time of hashing both together. An upstream that comes or goes changes
    the orders that were remembered; ordering 232 upstreams anew for 400 keys took 70 ms
    of a VM at each change of the list, this takes 1.4 ms.
    """

    distances: DomainDistances
    domain_by_name: dict[str, str] = Factory(dict)
    _local_hash_by_name: dict[str, int] = Factory(dict)
    _remote_hash_by_name: dict[str, int] = Factory(dict)
    _ranking_by_key: dict[str, UpstreamRanking] = Factory(dict)

    def set_upstreams(self, domain_by_name: Mapping[str, str]) -> None:
        """Take the upstreams that stay, with their failure domains.

        Parameters
        ----------
        domain_by_name : mapping of str to str
            Failure domain of each.
        """
        before = self.domain_by_name
        moved = any(
            before.get(name, domain) != domain
            for name, domain in domain_by_name.items()
        )
        if moved:
            self._ranking_by_key.clear()
            self._local_hash_by_name, self._remote_hash_by_name = {}, {}
        gone = before.keys() - domain_by_name.keys()
        self.domain_by_name = dict(domain_by_name)
        new = [name for name in domain_by_name if not self._is_hashed(name)]
        for name in gone:
            self._local_hash_by_name.pop(name, None)
            self._remote_hash_by_name.pop(name, None)
        for name in new:
            side = (
                self._local_hash_by_name
                if self._is_local(name)
                else self._remote_hash_by_name
            )
            side[name] = stable_hash(name)
        if gone or new:
            self._update_rankings(gone, new)

    def rebuild(self) -> None:
        """Order all anew: failure domains may have changed their region."""
        domain_by_name, self.domain_by_name = self.domain_by_name, {}
        self._local_hash_by_name, self._remote_hash_by_name = {}, {}
        self._ranking_by_key.clear()
        self.set_upstreams(domain_by_name)

    def get(self, key: str) -> UpstreamRanking:
        """Give the orders of a key."""
        order = self._ranking_by_key.get(key)
        if order is None:
            if len(self._ranking_by_key) >= MAX_CACHED_KEYS:
                self._ranking_by_key.clear()
            order = self._ranking_by_key[key] = self._rank(stable_hash(key))
        return order

    def _is_hashed(self, name: str) -> bool:
        return name in self._local_hash_by_name or name in self._remote_hash_by_name

    def _is_local(self, name: str) -> bool:
        return self.distances.is_local(self.domain_by_name[name])

    def _rank(self, number: int) -> UpstreamRanking:
        return UpstreamRanking(
            key_hash=number,
            local=_top_names(self._local_hash_by_name, number),
            remote=_top_names(self._remote_hash_by_name, number),
            local_is_complete=len(self._local_hash_by_name) <= MAX_RANKED,
            remote_is_complete=len(self._remote_hash_by_name) <= MAX_RANKED,
        )

    def _update_rankings(self, gone: Iterable[str], new: Iterable[str]) -> None:
        gone = frozenset(gone)
        for key, order in list(self._ranking_by_key.items()):
            order.local = [name for name in order.local if name not in gone]
            order.remote = [name for name in order.remote if name not in gone]
            is_short = (
                len(order.local) < MIN_RANKED and not order.local_is_complete
            ) or (len(order.remote) < MIN_RANKED and not order.remote_is_complete)
            if is_short:
                self._ranking_by_key[key] = self._rank(order.key_hash)
                continue
            for name in new:
                self._insert(order, name)

    def _insert(self, order: UpstreamRanking, name: str) -> None:
        """Put a new upstream in its place among those that a key remembers."""
        is_near = name in self._local_hash_by_name
        number_by_name = (
            self._local_hash_by_name if is_near else self._remote_hash_by_name
        )
        names = order.local if is_near else order.remote
        is_whole = order.local_is_complete if is_near else order.remote_is_complete
        own = _mix(number_by_name[name], order.key_hash)
        place = sum(
            _mix(number_by_name[other], order.key_hash) < own for other in names
        )
        if place < len(names) or is_whole:
            names.insert(place, name)
        if len(names) > MAX_RANKED:
            names.pop()
            if is_near:
                order.local_is_complete = False
            else:
                order.remote_is_complete = False


def _mix(name: int, key: int) -> int:
    """Mix the hashes of a name and a key."""
    mixed = (name ^ key) * _MULTIPLIER & _HASH_MASK
    return (mixed ^ mixed >> _HALF_BITS) * _MULTIPLIER & _HASH_MASK


def _top_names(number_by_name: Mapping[str, int], key: int) -> list[str]:
    """Give the names that a key prefers, the first of them."""
    mixed = [(_mix(number, key), name) for name, number in number_by_name.items()]
    return [name for _, name in nsmallest(MAX_RANKED, mixed)]
