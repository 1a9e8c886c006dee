"""Longest-prefix table from client blocks to sites, in flat arrays.

Nested blocks are flattened into disjoint ranges when the table is built, so a lookup is
one binary search. IPv4 range starts take 4 bytes, IPv6 starts 16, site numbers 2.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from ipaddress import IPv4Network
from ipaddress import IPv6Network
from ipaddress import ip_address
from ipaddress import ip_network
from typing import overload

from plankspindle_core.classes import frozen

NO_SITE = 0xFFFF
IPV4_BITS = 32
IPV6_BITS = 128
_IPV6_BYTES = 16


class PackedIpv6Starts(Sequence[int]):
    """Sorted 128-bit numbers in one byte string.

    Parameters
    ----------
    numbers : iterable of int
        The numbers, sorted.
    """

    def __init__(self, numbers: Iterable[int]) -> None:
        self._packed = b"".join(each.to_bytes(_IPV6_BYTES, "big") for each in numbers)

    def __len__(self) -> int:
        return len(self._packed) // _IPV6_BYTES

    @overload
    def __getitem__(self, index: int) -> int: ...

    @overload
    def __getitem__(self, index: slice) -> Sequence[int]: ...

    def __getitem__(self, index: int | slice) -> int | Sequence[int]:
        if isinstance(index, slice):
            return [self[each] for each in range(*index.indices(len(self)))]
        at = index * _IPV6_BYTES
        return int.from_bytes(self._packed[at : at + _IPV6_BYTES], "big")

    @property
    def nbytes(self) -> int:
        """Size in bytes."""
        return len(self._packed)


@frozen
class _Ranges:
    starts: Sequence[int]
    sites: array[int]

    def find(self, address: int) -> int:
        return self.sites[bisect_right(self.starts, address) - 1]


class BlockTable:
    """Sites by client block.

    Parameters
    ----------
    site_by_prefix : mapping of str to str
        Site name by block, such as ``10.1.0.0/16``; blocks may nest.
    """

    def __init__(self, *, site_by_prefix: Mapping[str, str]) -> None:
        self.site_names = sorted(set(site_by_prefix.values()))
        if len(self.site_names) >= NO_SITE:
            raise ValueError(f"at most {NO_SITE - 1} sites are supported")
        number_by_site = {name: index for index, name in enumerate(self.site_names)}
        ipv4: list[tuple[int, int, int]] = []
        ipv6: list[tuple[int, int, int]] = []
        for prefix, site in site_by_prefix.items():
            network = ip_network(prefix)
            target = ipv4 if network.version == 4 else ipv6
            target.append(_block(network, number_by_site[site]))
        self.blocks = len(site_by_prefix)
        ipv4_starts, ipv4_sites = _flatten(ipv4, IPV4_BITS)
        ipv6_starts, ipv6_sites = _flatten(ipv6, IPV6_BITS)
        self._ipv4 = _Ranges(
            array("L" if _LONG_IS_32 else "I", ipv4_starts), ipv4_sites
        )
        self._ipv6 = _Ranges(PackedIpv6Starts(ipv6_starts), ipv6_sites)

    def site_of(self, address: str) -> str | None:
        """Return the site of an address by its longest matching block.

        Parameters
        ----------
        address : str
            IPv4 or IPv6 address.

        Returns
        -------
        str or None
            Name of the site, or None if no block contains the address.

        Raises
        ------
        ValueError
            If the text is not an IP address.
        """
        parsed = ip_address(address)
        ranges = self._ipv4 if parsed.version == 4 else self._ipv6
        number = ranges.find(int(parsed))
        return None if number == NO_SITE else self.site_names[number]

    @property
    def nbytes(self) -> int:
        """Size of the arrays in bytes."""
        total = 0
        for ranges in (self._ipv4, self._ipv6):
            sites = ranges.sites
            total += sites.itemsize * len(sites)
        ipv4 = self._ipv4.starts
        ipv6 = self._ipv6.starts
        assert isinstance(ipv4, array)
        assert isinstance(ipv6, PackedIpv6Starts)
        return total + ipv4.itemsize * len(ipv4) + ipv6.nbytes


_LONG_IS_32 = array("I").itemsize != 4


def _block(network: IPv4Network | IPv6Network, site: int) -> tuple[int, int, int]:
    first = int(network.network_address)
    return first, first + network.num_addresses, site


def _flatten(
    blocks: list[tuple[int, int, int]], bits: int
) -> tuple[list[int], array[int]]:
    """Convert nested blocks into disjoint ranges that cover the whole address space."""
    starts: list[int] = []
    sites = array("H")
    open_blocks: list[tuple[int, int]] = []

    def begin(at: int, site: int) -> None:
        if starts and starts[-1] == at:
            sites[-1] = site
        elif at < 1 << bits and (not sites or sites[-1] != site):
            starts.append(at)
            sites.append(site)

    def close_until(at: int) -> None:
        while open_blocks and open_blocks[-1][0] <= at:
            end, _ = open_blocks.pop()
            begin(end, open_blocks[-1][1] if open_blocks else NO_SITE)

    begin(0, NO_SITE)
    for first, end, site in sorted(blocks, key=lambda each: (each[0], -each[1])):
        close_until(first)
        begin(first, site)
        open_blocks.append((end, site))
    close_until(1 << bits)
    return starts, sites
