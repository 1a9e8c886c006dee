"""Tests of the block table against a linear longest-prefix search."""

from __future__ import annotations

from ipaddress import ip_address
from ipaddress import ip_network

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plankspindle_daemon.steering.block_table import BlockTable


def prefixes(bits: int) -> st.SearchStrategy[str]:
    def build(number: int, length: int) -> str:
        shift = bits - length
        maker = "IPv4" if bits == 32 else "IPv6"
        address = ip_address((number >> shift) << shift)
        if maker == "IPv6" and address.version == 4:
            address = ip_address(f"::{address}")
        return f"{address}/{length}"

    return st.builds(build, st.integers(0, (1 << bits) - 1), st.integers(0, bits))


def linear_search(site_by_prefix: dict[str, str], address: str) -> str | None:
    parsed = ip_address(address)
    matching = [
        ip_network(prefix)
        for prefix in site_by_prefix
        if ip_network(prefix).version == parsed.version and parsed in ip_network(prefix)
    ]
    if not matching:
        return None
    longest = max(matching, key=lambda network: network.prefixlen)
    return site_by_prefix[str(longest)]


@given(
    site_by_prefix=st.dictionaries(
        prefixes(32) | prefixes(128), st.sampled_from(["a", "b", "c"]), max_size=12
    ),
    offsets=st.lists(st.integers(-1, 1), min_size=3, max_size=3),
)
def test_lookup_finds_longest_matching_block(
    site_by_prefix: dict[str, str], offsets: list[int]
) -> None:
    table = BlockTable(site_by_prefix=site_by_prefix)
    for prefix in site_by_prefix:
        network = ip_network(prefix)
        edges = (network.network_address, network.broadcast_address)
        for edge in edges:
            for offset in offsets:
                number = (int(edge) + offset) % (1 << network.max_prefixlen)
                address = str(type(edge)(number))
                found = table.site_of(address)
                assert found == linear_search(site_by_prefix, address)


def test_empty_table_has_no_site() -> None:
    assert BlockTable(site_by_prefix={}).site_of("10.0.0.1") is None


def test_invalid_address_raises_value_error() -> None:
    with pytest.raises(ValueError, match="does not appear to be"):
        BlockTable(site_by_prefix={}).site_of("example")
