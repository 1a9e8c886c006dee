"""Tests of how often a VM checks for updates while another reads on its behalf.

Each check wakes the process. With ten checks per second, they were a fifth of all
wake-ups of an entry VM of a large domain that serves few requests.
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
from plankspindle_testkit.versions import build_list_version
from plankspindle_testkit.versions import build_version

NAMES = tuple(f"vm-{number:02}" for number in range(8))
PERIOD_S = 1.33
MAX_CHECKS_PER_S = 1.5
"""Most checks per second of a follower, besides received updates."""


def build_reads(vm: str) -> SharedReads:
    """Build the reads of a VM that has read version 1 and shares reads."""
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
        version=build_list_version(version),
        configuration_version=build_version(1),
        retained_until=-math.inf,
        now=now,
    )
    return [each.message for each in sent]


def test_follower_with_live_reader_checks_rarely() -> None:
    reader, follower = build_reads(NAMES[0]), build_reads(NAMES[1])
    checks, now, next_update_at = 0, 0.0, 0.0
    while now < 20.0:
        while next_update_at <= now:
            follower.apply_update(
                read(reader, version=1, now=next_update_at)[0], next_update_at
            )
            next_update_at += PERIOD_S
        assert not follower.should_read_list(now)
        checks += 1
        now += follower.list_check_delay_s(now)
    assert checks / 20.0 <= MAX_CHECKS_PER_S


def test_follower_reads_in_time_when_reader_becomes_unresponsive() -> None:
    reader, follower = build_reads(NAMES[0]), build_reads(NAMES[1])
    follower.apply_update(read(reader, version=1, now=0.0)[0], 0.0)
    now = 0.0
    while not follower.should_read_list(now):
        now += follower.list_check_delay_s(now)
    assert now <= 1.8 * PERIOD_S + 0.1 + MIN_CHECK_DELAY_S


def test_follower_that_lacks_change_checks_soon() -> None:
    reader, follower = build_reads(NAMES[0]), build_reads(NAMES[1])
    for version in range(2, 12):
        messages = read(reader, version=version, now=float(version))
    follower.apply_update(messages[0], 11.0)
    assert follower.lacks_change()
    assert follower.list_check_delay_s(11.0) == MIN_CHECK_DELAY_S
    assert MAX_CHECK_DELAY_S > MIN_CHECK_DELAY_S
