"""Tests of the reads of the platform that entry VMs share."""

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

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.list_news import ListNews

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
    reads: SharedReads, *vms: ListedVm, version: int, now: float, configuration: int = 1
) -> ListNews | None:
    """Read list and configuration, and give the last message to a member."""
    sent = reads.record_list_read(
        vms,
        version=version,
        configuration_version=configuration,
        kept_until=-math.inf,
        now=now,
    )
    told = reads.record_configuration_read(configuration, now)
    messages = [each.message for each in (told or sent)]
    return messages[0] if messages else None


def settled(*vms: str) -> list[SharedReads]:
    """Give VMs that have read version 1 so long ago that they share reads."""
    all_reads = [build_reads(vm) for vm in vms]
    for reads in all_reads:
        read(reads, listed("u"), version=1, now=-SETTLE_S)
    return all_reads


def test_a_small_domain_reads_each_for_itself() -> None:
    names = NAMES[: MIN_GROUP_SIZE - 1]
    reads = build_reads(names[-1], names)
    assert read(reads, version=1, now=0.0) is None
    assert reads.should_read_list(SETTLE_S + 1)
    assert reads.list_wait_s(SETTLE_S + 1) is None


def test_without_a_period_every_vm_reads_for_itself() -> None:
    reads = SharedReads(group=build_reader_group(NAMES[1], NAMES), period_s=0.0)
    assert (
        reads.record_list_read(
            [], version=1, configuration_version=1, kept_until=-math.inf, now=0.0
        )
        == []
    )
    assert reads.should_read_list(100.0)


def test_a_list_without_versions_is_not_shared() -> None:
    reads = build_reads(NAMES[1])
    assert (
        reads.record_list_read(
            [], version=None, configuration_version=1, kept_until=-math.inf, now=0.0
        )
        == []
    )
    assert reads.should_read_list(100.0)


def test_a_new_vm_reads_for_itself_until_it_is_entered_in_the_list() -> None:
    reads = build_reads(NAMES[1])
    read(reads, listed("u"), version=1, now=0.0)
    assert reads.should_read_list(SETTLE_S - 0.1)


def test_who_hears_a_reader_before_it_does_not_read() -> None:
    first, second = settled(*NAMES[:2])
    news = read(first, listed("u"), version=1, now=0.0)
    second.apply_update(news, 0.1)
    assert first.should_read_list(0.2)
    assert not second.should_read_list(0.2)
    assert not second.should_read_configuration(1, 0.2)
    assert second.record_configuration_read(1, 0.2) == []


def test_a_reader_after_it_does_not_keep_a_vm_from_reading() -> None:
    second, third = settled(NAMES[1], NAMES[2])
    second.apply_update(read(third, listed("u"), version=1, now=0.0), 0.1)
    assert second.should_read_list(0.2)


def test_a_change_reaches_who_holds_the_version_before_it() -> None:
    first, second = settled(*NAMES[:2])
    changed = listed("u", leaving=True)
    new = listed("v", cold_until=3.0)
    news = read(first, changed, new, version=5, now=0.0)
    change = second.apply_update(news, 0.1)
    assert [(each.name, each.leaving) for each in change.changed] == [
        ("u", True),
        ("v", False),
    ]
    assert change.changed[1].cold_until == pytest.approx(3.1, abs=0.01)
    assert second.list_version == 5
    gone = second.apply_update(read(first, new, version=7, now=0.5), 0.6)
    assert gone.gone == ("u",)


def test_a_lost_message_is_made_good_by_the_next() -> None:
    first, second = settled(*NAMES[:2])
    read(first, listed("u"), listed("v"), version=5, now=0.0)
    news = read(first, listed("u"), listed("v"), listed("w"), version=6, now=0.5)
    change = second.apply_update(news, 0.6)
    assert {each.name for each in change.changed} == {"v", "w"}
    assert not second.should_read_list(0.7)


def read_parts(
    reads: SharedReads, *vms: ListedVm, version: int, now: float
) -> list[ListNews]:
    """Read the list, and give all messages to one member."""
    sent = reads.record_list_read(
        vms,
        version=version,
        configuration_version=1,
        kept_until=-math.inf,
        now=now,
    )
    return list({each.message.part: each.message for each in sent}.values())


def test_a_release_of_many_upstreams_is_told_in_parts() -> None:
    """Thirty upstreams of 900 replaced within a period, as in a release."""
    first, second = settled(*NAMES[:2])
    old = [listed(f"old{number}") for number in range(30)]
    for news in read_parts(first, *old, version=5, now=0.0):
        second.apply_update(news, 0.1)
    new = [listed(f"new{number}") for number in range(30)]
    messages = read_parts(first, *new, version=6, now=1.0)
    assert all(len(encode(each)) < MAX_FRAME_BYTES - 64 for each in messages)
    *earlier, last = reversed(messages)
    for news in earlier:
        assert second.apply_update(news, 1.1) is None
        assert not second.should_read_list(1.1)
    change = second.apply_update(last, 1.1)
    assert {each.name for each in change.changed} == {each.name for each in new}
    assert set(change.gone) == {each.name for each in old}
    assert not second.should_read_list(1.2)


def test_who_lacks_a_part_reads_soon() -> None:
    first, second = settled(*NAMES[:2])
    many = [listed(f"u{number}") for number in range(2 * MAX_CHANGED)]
    messages = read_parts(first, *many, version=9, now=0.0)
    assert second.apply_update(messages[0], 0.1) is None
    assert not second.should_read_list(0.2)
    assert second.should_read_list(0.1 + PARTS_TIMEOUT_S)


def test_a_change_of_more_parts_than_are_told_is_read() -> None:
    first, second = settled(*NAMES[:2])
    many = [listed(f"u{number}") for number in range(MAX_PARTS * MAX_CHANGED + 1)]
    (news,) = read_parts(first, *many, version=9, now=0.0)
    assert second.apply_update(news, 0.1) is None
    assert second.should_read_list(0.1)


def test_who_lacks_a_change_reads_at_once() -> None:
    first, second = settled(*NAMES[:2])
    many = [listed(f"u{number}") for number in range(MAX_CHANGED + 1)]
    read(first, *many, version=8, now=-0.5)
    news = read(first, *many, version=9, now=0.0)
    assert second.apply_update(news, 0.1) is None
    assert second.should_read_list(0.1)
    read(second, *many, version=9, now=0.2)
    assert not second.should_read_list(0.3)


def test_older_news_change_nothing() -> None:
    first, second = settled(*NAMES[:2])
    read(second, listed("u"), version=8, now=0.0)
    assert second.apply_update(read(first, version=5, now=0.0), 0.1) is None
    assert second.list_version == 8


def test_news_during_an_own_read_change_nothing_and_are_read_after_it() -> None:
    first, second = settled(*NAMES[:2])
    second.is_reading = True
    assert second.apply_update(read(first, version=5, now=0.0), 0.1) is None
    second.is_reading = False
    assert second.should_read_list(0.2)


def test_a_vm_of_no_group_is_not_heard() -> None:
    first, second = settled(*NAMES[:2])
    news = evolve(read(first, version=5, now=0.0), sender="stranger")
    assert second.apply_update(news, 0.1) is None
    assert second.should_read_list(10.0)


def test_a_silent_reader_is_replaced_in_order_and_in_time() -> None:
    first, *others = settled(*NAMES[:4])
    news = read(first, listed("u"), version=1, now=0.0)
    for reads in others:
        reads.apply_update(news, 0.0)
    taken_over = [
        next(step / 100 for step in range(400) if reads.should_read_list(step / 100))
        for reads in others
    ]
    assert taken_over == sorted(taken_over)
    assert len(set(taken_over)) == 3
    assert taken_over[-1] <= 1.8 * PERIOD_S + 0.11


def test_an_old_read_of_the_reader_is_no_fresh_word() -> None:
    first, second = settled(*NAMES[:2])
    read(first, listed("u"), version=1, now=0.0)
    told = first.record_configuration_read(1, 3.0)
    second.apply_update(told[0].message, 3.0)
    assert second.should_read_list(3.0)
    assert not second.should_read_configuration(1, 3.0)


def test_every_vm_reads_for_itself_once_in_a_while() -> None:
    first, second = settled(*NAMES[:2])
    now = MAX_OWN_READ_AGE_S
    second.apply_update(read(first, listed("u"), version=1, now=now), now)
    assert second.should_read_list(now)


def test_a_version_that_members_do_not_give_in_time_is_read() -> None:
    first, second = settled(*NAMES[:2])
    news = read(first, listed("u"), version=1, now=0.0, configuration=2)
    second.apply_update(news, 0.0)
    assert not second.should_read_configuration(1, 0.0)
    assert second.should_read_configuration(1, FETCH_TIMEOUT_S)
    assert not second.should_read_configuration(2, FETCH_TIMEOUT_S)


def test_the_longest_news_fit_into_a_frame() -> None:
    (first,) = settled(NAMES[0])
    long = "i-0123456789abcdef"
    before = [listed(f"{long}-{number}") for number in range(MAX_GONE)]
    read(first, *before, version=2**40, now=0.0)
    after = [
        evolve(listed(f"{long}-n{number}"), incarnation=2**63 + number)
        for number in range(MAX_CHANGED)
    ]
    news = read(first, *after, version=2**40 + 1, now=0.5)
    assert len(news.changed) == MAX_CHANGED
    assert len(encode(news)) < MAX_FRAME_BYTES - 64


def test_a_large_domain_has_several_groups_of_all_its_vms() -> None:
    names = tuple(f"vm-{number:03}" for number in range(205))
    groups = {build_reader_group(vm, names).names() for vm in names}
    assert sorted(name for group in groups for name in group) == list(names)
    assert all(MIN_GROUP_SIZE <= len(group) <= MAX_GROUP_SIZE for group in groups)


@given(seed=st.integers(0, 10_000))
def test_all_hold_the_newest_list_in_time_while_readers_die_and_messages_are_lost(
    seed: int,
) -> None:
    """Play VMs that read a changing list, some of which stop for good.

    A change must be held by each living VM within what a takeover takes at most, a
    read and the step of the play.
    """
    random = Random(seed)
    alive = {vm: reads for vm, reads in zip(NAMES, settled(*NAMES), strict=True)}
    lists: dict[int, tuple[ListedVm, ...]] = {1: (listed("u"),)}
    changed_at = {1: 0.0}
    next_read_at = dict.fromkeys(NAMES, 0.0)
    newest, step_s = 1, 0.05
    for step in range(400):
        now = step * step_s
        if random.random() < 0.05:
            newest += random.randint(1, 3)
            kept = [each for each in lists[max(lists)] if random.random() < 0.9]
            lists[newest] = (*kept, listed(f"u{newest}"))
            changed_at[newest] = now
        if random.random() < 0.01 and len(alive) > 2:
            del alive[random.choice(sorted(alive))]
        for vm, reads in alive.items():
            may = reads.should_read_list(now) and now >= next_read_at[vm]
            if not may:
                continue
            next_read_at[vm] = now + 0.4 * PERIOD_S
            news = read(reads, *lists[newest], version=newest, now=now)
            for other, theirs in alive.items():
                if news is not None and other != vm and random.random() < 0.9:
                    theirs.apply_update(news, now)
        for vm, reads in alive.items():
            assert reads.list_version in lists
            due = [
                version
                for version, at in changed_at.items()
                if now - at > 1.8 * PERIOD_S + 0.1 + 0.4 * PERIOD_S + 2 * step_s
            ]
            assert reads.list_version >= max(due, default=1), vm
            held = reads._history._by_name
            assert set(held) == {each.name for each in lists[reads.list_version]}


def test_a_vm_says_how_it_learns_what_the_platform_holds() -> None:
    first, second = settled(*NAMES[:2])
    second.apply_update(read(first, listed("u"), version=1, now=0.0), 0.0)
    assert first.role(0.1) is ReadRole.READER
    assert second.role(0.1) is ReadRole.FOLLOWER
    assert second.role(5.0) is ReadRole.READER
    assert build_reads(NAMES[0]).role(5.0) is ReadRole.ALONE


def test_a_reader_tells_for_how_long_it_keeps_what_is_missing() -> None:
    """Also with the news of another read: a first message may be lost."""
    reads = build_reads("vm-0")
    reads.record_list_read(
        [], version=1, configuration_version=1, kept_until=-math.inf, now=0.0
    )
    now = SETTLE_S + 1.0
    told = reads.record_list_read(
        [], version=2, configuration_version=1, kept_until=now + 2.0, now=now
    )
    assert all(each.message.after_gap for each in told)
    assert {each.message.keep_ms for each in told} == {2_000}
    later = reads.record_configuration_read(2, now + 1.5)
    assert {each.message.keep_ms for each in later} == {500}
    last = reads.record_configuration_read(2, now + 2.0)
    assert last
    assert not any(each.message.after_gap for each in last)
