"""Tests of platform reads that entry VMs share."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

import hypothesis.strategies as st
import pytest
from attrs import evolve
from hypothesis import given

from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind
from plankspindle_daemon.sharing.list_history import MAX_CHANGED
from plankspindle_daemon.sharing.list_history import MAX_GONE
from plankspindle_daemon.sharing.list_history import MAX_PARTS
from plankspindle_daemon.sharing.reader_group import MAX_GROUP_SIZE
from plankspindle_daemon.sharing.reader_group import MIN_GROUP_SIZE
from plankspindle_daemon.sharing.shared_reads import FETCH_TIMEOUT_S
from plankspindle_daemon.sharing.shared_reads import MAX_OWN_READ_AGE_S
from plankspindle_daemon.sharing.shared_reads import SETTLE_S
from plankspindle_daemon.sharing.shared_reads import ReadRole
from plankspindle_daemon.sharing.shared_reads import SharedReads
from plankspindle_daemon.sharing.update_assembler import PARTS_TIMEOUT_S
from plankspindle_daemon.wire.codec import encode
from plankspindle_daemon.wire.frame import MAX_FRAME_BYTES
from plankspindle_testkit.builders import build_reader_group
from plankspindle_testkit.builders import build_upstream
from plankspindle_testkit.versions import build_list_version
from plankspindle_testkit.versions import build_version

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.list_news import ListNews
    from plankspindle_daemon.versions.store_version import StoreVersion

PERIOD_S = 1.0
NAMES = tuple(f"vm-{number:02}" for number in range(8))


def build_reads(vm: str, names: tuple[str, ...] = NAMES) -> SharedReads:
    return SharedReads(group=build_reader_group(vm, names), period_s=PERIOD_S)


def listed(name: str, **fields: object) -> ListedVm:
    return ListedVm(
        name=name,
        kind=VmKind.UPSTREAM,
        failure_domain="ba-1",
        upstream=build_upstream(failure_domain="ba-1"),
        **fields,
    )


def read(
    reads: SharedReads,
    *vms: ListedVm,
    version: int,
    now: float,
    configuration: int = 1,
    era: int = 0,
) -> ListNews | None:
    """Read list and configuration, and return the last message to a member."""
    sent = reads.record_list_read(
        vms,
        version=build_list_version(version, era=era),
        configuration_version=build_version(configuration),
        retained_until=-math.inf,
        now=now,
    )
    broadcast = reads.record_configuration_read(build_version(configuration), now)
    # A change that crosses eras is sent only once.
    crosses_eras = bool(sent) and sent[0].message.base_era != era
    messages = [each.message for each in (sent if crosses_eras else broadcast or sent)]
    return messages[0] if messages else None


def settled(*vms: str) -> list[SharedReads]:
    """Return VMs that have read version 1 long enough ago to share reads."""
    all_reads = [build_reads(vm) for vm in vms]
    for reads in all_reads:
        read(reads, listed("u"), version=1, now=-SETTLE_S)
    return all_reads


def test_vms_of_small_domain_read_for_themselves() -> None:
    names = NAMES[: MIN_GROUP_SIZE - 1]
    reads = build_reads(names[-1], names)
    assert read(reads, version=1, now=0.0) is None
    assert reads.should_read_list(SETTLE_S + 1)
    assert reads.list_wait_s(SETTLE_S + 1) is None


def test_every_vm_reads_for_itself_when_period_is_zero() -> None:
    reads = SharedReads(group=build_reader_group(NAMES[1], NAMES), period_s=0.0)
    assert (
        reads.record_list_read(
            [],
            version=build_list_version(1),
            configuration_version=build_version(1),
            retained_until=-math.inf,
            now=0.0,
        )
        == []
    )
    assert reads.should_read_list(100.0)


def test_list_without_version_is_not_shared() -> None:
    reads = build_reads(NAMES[1])
    assert (
        reads.record_list_read(
            [],
            version=None,
            configuration_version=build_version(1),
            retained_until=-math.inf,
            now=0.0,
        )
        == []
    )
    assert reads.should_read_list(100.0)


def test_new_vm_reads_for_itself_during_settle_time() -> None:
    reads = build_reads(NAMES[1])
    read(reads, listed("u"), version=1, now=0.0)
    assert reads.should_read_list(SETTLE_S - 0.1)


def test_vm_with_preceding_reader_does_not_read() -> None:
    first, second = settled(*NAMES[:2])
    update = read(first, listed("u"), version=1, now=0.0)
    second.apply_update(update, 0.1)
    assert first.should_read_list(0.2)
    assert not second.should_read_list(0.2)
    assert not second.should_read_configuration(build_version(1), 0.2)
    assert second.record_configuration_read(build_version(1), 0.2) == []


def test_vm_reads_despite_reader_of_higher_rank() -> None:
    second, third = settled(NAMES[1], NAMES[2])
    second.apply_update(read(third, listed("u"), version=1, now=0.0), 0.1)
    assert second.should_read_list(0.2)


def test_change_is_applied_to_previous_version() -> None:
    first, second = settled(*NAMES[:2])
    changed = listed("u", leaving=True)
    new = listed("v", cold_until=3.0)
    update = read(first, changed, new, version=5, now=0.0)
    change = second.apply_update(update, 0.1)
    assert [(each.name, each.leaving) for each in change.changed] == [
        ("u", True),
        ("v", False),
    ]
    assert change.changed[1].cold_until == pytest.approx(3.1, abs=0.01)
    assert second.list_version == build_list_version(5)
    gone = second.apply_update(read(first, new, version=7, now=0.5), 0.6)
    assert gone.gone == ("u",)


def test_lost_change_is_recovered_from_next_message() -> None:
    first, second = settled(*NAMES[:2])
    read(first, listed("u"), listed("v"), version=5, now=0.0)
    update = read(first, listed("u"), listed("v"), listed("w"), version=6, now=0.5)
    change = second.apply_update(update, 0.6)
    assert {each.name for each in change.changed} == {"v", "w"}
    assert not second.should_read_list(0.7)


def read_parts(
    reads: SharedReads, *vms: ListedVm, version: int, now: float
) -> list[ListNews]:
    """Read the list, and return all messages to one member."""
    sent = reads.record_list_read(
        vms,
        version=build_list_version(version),
        configuration_version=build_version(1),
        retained_until=-math.inf,
        now=now,
    )
    return list({each.message.part: each.message for each in sent}.values())


def test_large_change_is_sent_in_parts() -> None:
    """A release replaces 30 of 900 upstreams within one period."""
    first, second = settled(*NAMES[:2])
    old = [listed(f"old{number}") for number in range(30)]
    for update in read_parts(first, *old, version=5, now=0.0):
        second.apply_update(update, 0.1)
    new = [listed(f"new{number}") for number in range(30)]
    messages = read_parts(first, *new, version=6, now=1.0)
    assert all(len(encode(each)) < MAX_FRAME_BYTES - 64 for each in messages)
    *earlier, last = reversed(messages)
    for update in earlier:
        assert second.apply_update(update, 1.1) is None
        assert not second.should_read_list(1.1)
    change = second.apply_update(last, 1.1)
    assert {each.name for each in change.changed} == {each.name for each in new}
    assert set(change.gone) == {each.name for each in old}
    assert not second.should_read_list(1.2)


def test_vm_that_misses_part_reads_after_timeout() -> None:
    first, second = settled(*NAMES[:2])
    many = [listed(f"u{number}") for number in range(2 * MAX_CHANGED)]
    messages = read_parts(first, *many, version=9, now=0.0)
    assert second.apply_update(messages[0], 0.1) is None
    assert not second.should_read_list(0.2)
    assert second.should_read_list(0.1 + PARTS_TIMEOUT_S)


def test_change_with_too_many_parts_is_read_from_platform() -> None:
    first, second = settled(*NAMES[:2])
    many = [listed(f"u{number}") for number in range(MAX_PARTS * MAX_CHANGED + 1)]
    (update,) = read_parts(first, *many, version=9, now=0.0)
    assert second.apply_update(update, 0.1) is None
    assert second.should_read_list(0.1)


def test_vm_that_lacks_change_reads_immediately() -> None:
    first, second = settled(*NAMES[:2])
    many = [listed(f"u{number}") for number in range(MAX_CHANGED + 1)]
    read(first, *many, version=8, now=-0.5)
    update = read(first, *many, version=9, now=0.0)
    assert second.apply_update(update, 0.1) is None
    assert second.should_read_list(0.1)
    read(second, *many, version=9, now=0.2)
    assert not second.should_read_list(0.3)


def test_older_update_is_ignored() -> None:
    first, second = settled(*NAMES[:2])
    read(second, listed("u"), version=8, now=0.0)
    assert second.apply_update(read(first, version=5, now=0.0), 0.1) is None
    assert second.list_version == build_list_version(8)


def test_update_during_own_read_is_not_applied_and_causes_another_read() -> None:
    first, second = settled(*NAMES[:2])
    second.is_reading = True
    assert second.apply_update(read(first, version=5, now=0.0), 0.1) is None
    second.is_reading = False
    assert second.should_read_list(0.2)


def test_update_from_vm_outside_group_is_ignored() -> None:
    first, second = settled(*NAMES[:2])
    update = evolve(read(first, version=5, now=0.0), sender="stranger")
    assert second.apply_update(update, 0.1) is None
    assert second.should_read_list(10.0)


def test_unresponsive_reader_is_replaced_in_rank_order_within_bound() -> None:
    first, *others = settled(*NAMES[:4])
    update = read(first, listed("u"), version=1, now=0.0)
    for reads in others:
        reads.apply_update(update, 0.0)
    takeover_times = [
        next(step / 100 for step in range(400) if reads.should_read_list(step / 100))
        for reads in others
    ]
    assert takeover_times == sorted(takeover_times)
    assert len(set(takeover_times)) == 3
    assert takeover_times[-1] <= 1.8 * PERIOD_S + 0.11


def test_stale_list_read_is_not_refreshed_by_configuration_read() -> None:
    first, second = settled(*NAMES[:2])
    read(first, listed("u"), version=1, now=0.0)
    broadcast = first.record_configuration_read(build_version(1), 3.0)
    second.apply_update(broadcast[0].message, 3.0)
    assert second.should_read_list(3.0)
    assert not second.should_read_configuration(build_version(1), 3.0)


def test_every_vm_reads_for_itself_once_own_read_is_too_old() -> None:
    first, second = settled(*NAMES[:2])
    now = MAX_OWN_READ_AGE_S
    second.apply_update(read(first, listed("u"), version=1, now=now), now)
    assert second.should_read_list(now)


def test_version_not_fetched_from_members_in_time_is_read_from_platform() -> None:
    first, second = settled(*NAMES[:2])
    update = read(first, listed("u"), version=1, now=0.0, configuration=2)
    second.apply_update(update, 0.0)
    assert not second.should_read_configuration(build_version(1), 0.0)
    assert second.should_read_configuration(build_version(1), FETCH_TIMEOUT_S)
    assert not second.should_read_configuration(build_version(2), FETCH_TIMEOUT_S)


def test_longest_update_fits_into_frame() -> None:
    (first,) = settled(NAMES[0])
    prefix = "i-0123456789abcdef"
    before = [listed(f"{prefix}-{number}") for number in range(MAX_GONE)]
    read(first, *before, version=2**40, now=0.0)
    after = [
        evolve(listed(f"{prefix}-n{number}"), incarnation=2**63 + number)
        for number in range(MAX_CHANGED)
    ]
    update = read(first, *after, version=2**40 + 1, now=0.5)
    assert len(update.changed) == MAX_CHANGED
    assert len(encode(update)) < MAX_FRAME_BYTES - 64


def test_large_domain_is_split_into_groups_of_bounded_size() -> None:
    names = tuple(f"vm-{number:03}" for number in range(205))
    groups = {build_reader_group(vm, names).names() for vm in names}
    assert sorted(name for group in groups for name in group) == list(names)
    assert all(MIN_GROUP_SIZE <= len(group) <= MAX_GROUP_SIZE for group in groups)


@given(seed=st.integers(0, 10_000))
def test_vms_hold_newest_list_despite_failed_readers_and_lost_messages(
    seed: int,
) -> None:
    """Simulate VMs that read a changing list, some of which stop for good.

    At times the store returns from a copy: the list is an earlier one, and its numbers
    are given out again.

    Each running VM must hold a change within the longest takeover time, plus a read and
    the step of the simulation.
    """
    random = Random(seed)
    alive = {vm: reads for vm, reads in zip(NAMES, settled(*NAMES), strict=True)}
    first = build_list_version(1)
    lists: dict[StoreVersion, tuple[ListedVm, ...]] = {first: (listed("u"),)}
    changed_at = {first: 0.0}
    next_read_at = dict.fromkeys(NAMES, 0.0)
    newest, step_s = first, 0.05
    for step in range(400):
        now = step * step_s
        if random.random() < 0.05:
            kept = [each for each in lists[newest] if random.random() < 0.9]
            newest = evolve(newest, number=newest.number + random.randint(1, 3))
            lists[newest] = (*kept, listed(f"u{newest}"))
            changed_at[newest] = now
        if random.random() < 0.02:
            copied = random.choice([each for each in lists if each.era == newest.era])
            newest = evolve(copied, era=newest.era + 1)
            lists[newest] = lists[copied]
            changed_at[newest] = now
        if random.random() < 0.01 and len(alive) > 2:
            del alive[random.choice(sorted(alive))]
        for vm, reads in alive.items():
            should_read = reads.should_read_list(now) and now >= next_read_at[vm]
            if not should_read:
                continue
            next_read_at[vm] = now + 0.4 * PERIOD_S
            update = read(
                reads,
                *lists[newest],
                version=newest.number,
                era=newest.era,
                now=now,
            )
            for other, theirs in alive.items():
                if update is not None and other != vm and random.random() < 0.9:
                    theirs.apply_update(update, now)
        for vm, reads in alive.items():
            assert reads.list_version in lists
            due = [
                version
                for version, at in changed_at.items()
                if now - at > 1.8 * PERIOD_S + 0.1 + 0.4 * PERIOD_S + 2 * step_s
            ]
            assert reads.list_version >= max(due, default=first), vm
            held_names = reads._history._by_name
            assert set(held_names) == {each.name for each in lists[reads.list_version]}


def test_role_follows_received_updates() -> None:
    first, second = settled(*NAMES[:2])
    second.apply_update(read(first, listed("u"), version=1, now=0.0), 0.0)
    assert first.role(0.1) is ReadRole.READER
    assert second.role(0.1) is ReadRole.FOLLOWER
    assert second.role(5.0) is ReadRole.READER
    assert build_reads(NAMES[0]).role(5.0) is ReadRole.ALONE


def test_updates_carry_remaining_retention_of_missing_entries() -> None:
    """Updates of later reads carry it too, since the first message may be lost."""
    reads = build_reads("vm-0")
    reads.record_list_read(
        [],
        version=build_list_version(1),
        configuration_version=build_version(1),
        retained_until=-math.inf,
        now=0.0,
    )
    now = SETTLE_S + 1.0
    broadcast = reads.record_list_read(
        [],
        version=build_list_version(2),
        configuration_version=build_version(1),
        retained_until=now + 2.0,
        now=now,
    )
    assert all(each.message.after_gap for each in broadcast)
    assert {each.message.keep_ms for each in broadcast} == {2_000}
    later = reads.record_configuration_read(build_version(2), now + 1.5)
    assert {each.message.keep_ms for each in later} == {500}
    last = reads.record_configuration_read(build_version(2), now + 2.0)
    assert last
    assert not any(each.message.after_gap for each in last)


def test_followers_do_not_read_when_the_store_returns() -> None:
    first, second, *_ = settled(*NAMES)
    read(first, listed("u"), listed("v"), version=5, now=0.0)
    read(second, listed("u"), listed("v"), version=5, now=0.0)
    update = read(first, listed("u"), version=3, era=1, now=0.5)
    change = second.apply_update(update, 0.6)
    assert change is not None
    assert change.gone == ("v",)
    assert second.list_version == build_list_version(3, era=1)
    assert not second.should_read_list(0.6)


def test_follower_that_missed_the_change_of_era_reads_the_list() -> None:
    first, second, *_ = settled(*NAMES)
    read(first, listed("u"), version=5, now=0.0)
    read(second, listed("u"), version=5, now=0.0)
    read(first, listed("u"), version=3, era=1, now=0.5)
    update = read(first, listed("u"), version=4, era=1, now=1.0)
    assert second.apply_update(update, 1.1) is None
    assert second.should_read_list(1.1)


# The numbers of a process that knows no eras may be those of an earlier era.
def test_vm_does_not_rely_on_reader_that_knows_no_eras() -> None:
    first, second, *_ = settled(*NAMES)
    read(second, listed("u"), version=5, era=1, now=0.0)
    update = read(first, listed("u"), version=9, now=0.5)
    assert second.apply_update(update, 0.6) is None
    assert second.should_read_list(2.0 * PERIOD_S)
