"""Tests of claiming loopback networks in this process and in others."""

from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from plankspindle_testkit.loopback_network import OCTETS
from plankspindle_testkit.loopback_network import LoopbackNetwork
from plankspindle_testkit.loopback_network import loopback_host
from plankspindle_testkit.loopback_network import process_network

if TYPE_CHECKING:
    from collections.abc import Iterator

FIRST, SECOND = OCTETS[:2]
OTHER_RUN_CODE = """
from plankspindle_testkit.loopback_network import LoopbackNetwork
network = LoopbackNetwork.claim(guard_port={})
print(network.octet, flush=True)
input()
"""
"""Claims a network, prints its octet, and exits after a line of input."""


@pytest.fixture
def guard_port() -> int:
    """Return a claim port that no simultaneous test run uses."""
    return 19_000 + process_network().octet


@pytest.fixture
def other_run(guard_port: int) -> Iterator[subprocess.Popen[str]]:
    with subprocess.Popen(
        [sys.executable, "-c", OTHER_RUN_CODE.format(guard_port)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        yield process
        process.kill()


def read_octet(run: subprocess.Popen[str]) -> int:
    assert run.stdout is not None
    return int(run.stdout.readline())


def test_simultaneous_claims_get_different_networks(guard_port: int) -> None:
    first = LoopbackNetwork.claim(guard_port=guard_port)
    second = LoopbackNetwork.claim(guard_port=guard_port)
    assert (first.octet, second.octet) == (FIRST, SECOND)
    assert first.host(7, 9) != second.host(7, 9)
    second.close()
    first.close()


def test_closed_network_can_be_claimed_again(guard_port: int) -> None:
    for _ in range(2):
        network = LoopbackNetwork.claim(guard_port=guard_port)
        assert network.octet == FIRST
        network.close()


@pytest.mark.parametrize("is_killed", [False, True])
def test_other_process_keeps_its_network_until_it_ends(
    other_run: subprocess.Popen[str], guard_port: int, is_killed: bool
) -> None:
    assert read_octet(other_run) == FIRST
    concurrent = LoopbackNetwork.claim(guard_port=guard_port)
    assert concurrent.octet == SECOND
    concurrent.close()
    if is_killed:
        other_run.kill()
    else:
        other_run.communicate("\n")
    other_run.wait(10.0)
    later = LoopbackNetwork.claim(guard_port=guard_port)
    assert later.octet == FIRST
    later.close()


def test_hosts_of_one_process_share_one_network() -> None:
    octet = process_network().octet
    assert octet in OCTETS
    assert [loopback_host(7, 9), loopback_host(12, 1)] == [
        f"127.{octet}.7.9",
        f"127.{octet}.12.1",
    ]


def test_error_names_remedy_when_no_network_is_free(
    monkeypatch: pytest.MonkeyPatch, guard_port: int
) -> None:
    module = "plankspindle_testkit.loopback_network.OCTETS"
    monkeypatch.setattr(module, range(FIRST, SECOND))
    taken = LoopbackNetwork.claim(guard_port=guard_port)
    with pytest.raises(RuntimeError, match="no loopback network is free: end one"):
        LoopbackNetwork.claim(guard_port=guard_port)
    taken.close()
