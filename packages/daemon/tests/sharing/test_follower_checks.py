"""How long a VM rests while another reads the platform for it.

The pattern: an entry VM of a large domain that serves little. Each look wakes the
process, and ten looks a second were a fifth of all that woke it.
"""

from __future__ import annotations

import math

from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.sharing.shared_reads import MAX_CHECK_DELAY_S
from plankspindle_daemon.sharing.shared_reads import MIN_CHECK_DELAY_S
from plankspindle_daemon.sharing.shared_reads import SETTLE_S
from plankspindle_daemon.sharing.shared_reads import SharedReads
from plankspindle_testkit.builders import build_reader_group
from plankspindle_testkit.builders import build_upstream

NAMES = tuple(f"vm-{number:02}" for number in range(8))
PERIOD_S = 1.33
LOOKS_PER_S = 1.5
"""Looks a second that are wanted of a follower, beside the word of its reader."""


def build_reads(vm: str) -> SharedReads:
    """Build a VM that has read version 1, and shares reads."""
    reads = SharedReads(group=build_reader_group(vm, NAMES), period_s=PERIOD_S)
    read(reads, version=1, now=-SETTLE_S)
    return reads


def read(reads: SharedReads, *, version: int, now: float) -> list[object]:
    listed = ListedVm(
        name=f"u{version}",
        kind=VmKind.UPSTREAM,
        failure_domain="ba-1",
        upstream=build_upstream(),
    )
    sent = reads.record_list_read(
        [listed],
        version=version,
        configuration_version=1,
        kept_until=-math.inf,
        now=now,
    )
    return [each.message for each in sent]


def test_a_follower_that_hears_its_reader_looks_seldom() -> None:
    reader, follower = build_reads(NAMES[0]), build_reads(NAMES[1])
    looks, now, next_word = 0, 0.0, 0.0
    while now < 20.0:
        while next_word <= now:
            follower.apply_update(read(reader, version=1, now=next_word)[0], next_word)
            next_word += PERIOD_S
        assert not follower.should_read_list(now)
        looks += 1
        now += follower.list_check_delay_s(now)
    assert looks / 20.0 <= LOOKS_PER_S


def test_a_follower_looks_when_its_reader_falls_silent() -> None:
    reader, follower = build_reads(NAMES[0]), build_reads(NAMES[1])
    follower.apply_update(read(reader, version=1, now=0.0)[0], 0.0)
    now = 0.0
    while not follower.should_read_list(now):
        now += follower.list_check_delay_s(now)
    assert now <= 1.8 * PERIOD_S + 0.1 + MIN_CHECK_DELAY_S


def test_who_lacks_a_change_looks_soon() -> None:
    reader, follower = build_reads(NAMES[0]), build_reads(NAMES[1])
    for version in range(2, 12):
        news = read(reader, version=version, now=float(version))
    follower.apply_update(news[0], 11.0)
    assert follower.lacks_change()
    assert follower.list_check_delay_s(11.0) == MIN_CHECK_DELAY_S
    assert MAX_CHECK_DELAY_S > MIN_CHECK_DELAY_S
