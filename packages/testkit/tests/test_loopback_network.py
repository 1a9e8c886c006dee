"""Claims of loopback networks, by this process and by others."""

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
RUN = """
from plankspindle_testkit.loopback_network import LoopbackNetwork
network = LoopbackNetwork.claim(guard_port={})
print(network.octet, flush=True)
input()
"""
"""A run that claims a network, tells it, and ends when it is told to."""


@pytest.fixture
def guard_port() -> int:
    """Give a port for claims that no run beside this one uses."""
    return 19_000 + process_network().octet


@pytest.fixture
def other_run(guard_port: int) -> Iterator[subprocess.Popen[str]]:
    with subprocess.Popen(
        [sys.executable, "-c", RUN.format(guard_port)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        yield process
        process.kill()


def octet_of(run: subprocess.Popen[str]) -> int:
    assert run.stdout is not None
    return int(run.stdout.readline())


def test_two_claims_at_once_differ(guard_port: int) -> None:
    first = LoopbackNetwork.claim(guard_port=guard_port)
    second = LoopbackNetwork.claim(guard_port=guard_port)
    assert (first.octet, second.octet) == (FIRST, SECOND)
    assert first.host(7, 9) != second.host(7, 9)
    second.close()
    first.close()


def test_a_network_that_was_given_back_is_free(guard_port: int) -> None:
    for _ in range(2):
        network = LoopbackNetwork.claim(guard_port=guard_port)
        assert network.octet == FIRST
        network.close()


@pytest.mark.parametrize("is_killed", [False, True])
def test_another_run_has_its_own_network_until_it_ends(
    other_run: subprocess.Popen[str], guard_port: int, is_killed: bool
) -> None:
    assert octet_of(other_run) == FIRST
    beside = LoopbackNetwork.claim(guard_port=guard_port)
    assert beside.octet == SECOND
    beside.close()
    if is_killed:
        other_run.kill()
    else:
        other_run.communicate("\n")
    other_run.wait(10.0)
    after = LoopbackNetwork.claim(guard_port=guard_port)
    assert after.octet == FIRST
    after.close()


def test_all_hosts_of_a_run_are_of_one_network() -> None:
    octet = process_network().octet
    assert octet in OCTETS
    assert [loopback_host(7, 9), loopback_host(12, 1)] == [
        f"127.{octet}.7.9",
        f"127.{octet}.12.1",
    ]


def test_without_a_free_network_the_error_tells_what_to_end(
    monkeypatch: pytest.MonkeyPatch, guard_port: int
) -> None:
    module = "plankspindle_testkit.loopback_network.OCTETS"
    monkeypatch.setattr(module, range(FIRST, SECOND))
    taken = LoopbackNetwork.claim(guard_port=guard_port)
    with pytest.raises(RuntimeError, match="no loopback network is free: end one"):
        LoopbackNetwork.claim(guard_port=guard_port)
    taken.close()
