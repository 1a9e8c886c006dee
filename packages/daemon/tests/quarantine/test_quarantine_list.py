"""Tests of the list of quarantined requests."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from plankspindle_daemon.quarantine.quarantine_list import AGE_TOLERANCE_S
from plankspindle_daemon.quarantine.quarantine_list import ENTRY_RETENTION_S
from plankspindle_daemon.quarantine.quarantine_list import FIRST_PROBE_DELAY_S
from plankspindle_daemon.quarantine.quarantine_list import MAX_ENTRIES
from plankspindle_daemon.quarantine.quarantine_list import QuarantineEntry
from plankspindle_daemon.quarantine.quarantine_list import QuarantineList

LATER = 10 * AGE_TOLERANCE_S


def entry(identity: int = 1, since: float = 0.0, attempts: int = 0) -> QuarantineEntry:
    return QuarantineEntry(
        identity=identity, quarantined_at=since, probe_attempts=attempts
    )


def test_delay_between_probe_attempts_grows() -> None:
    at = [entry(attempts=attempts).next_probe_at for attempts in range(9)]
    assert at[:3] == [
        FIRST_PROBE_DELAY_S,
        3 * FIRST_PROBE_DELAY_S,
        7 * FIRST_PROBE_DELAY_S,
    ]
    gaps = [late - early for early, late in zip(at, at[1:], strict=False)]
    assert gaps == sorted(gaps)


def test_cleared_request_is_not_added_again_by_older_update() -> None:
    listed = QuarantineList()
    assert listed.add(entry())
    assert listed.clear(1, LATER)
    assert not listed.add(entry(since=LATER))
    assert listed.entries_by_identity == {}
    assert listed.add(entry(since=2 * LATER))


def test_older_clearance_does_not_clear_later_quarantine() -> None:
    listed = QuarantineList()
    listed.add(entry(since=2 * LATER))
    assert not listed.clear(1, LATER)
    assert 1 in listed.entries_by_identity


def test_entry_with_more_probe_attempts_is_kept() -> None:
    listed = QuarantineList()
    listed.add(entry(attempts=2))
    assert not listed.add(entry(attempts=1))
    assert listed.entries_by_identity[1].probe_attempts == 2


@given(st.permutations([("add", n) for n in range(4)] + [("clear", n) for n in (1, 2)]))
def test_digest_is_independent_of_update_order(order: list[tuple[str, int]]) -> None:
    listed = QuarantineList()
    for _ in range(2):
        for kind, number in order:
            if kind == "add":
                listed.add(entry(number))
            else:
                listed.clear(number, LATER)
    again = QuarantineList()
    for number in range(4):
        again.add(entry(number))
    for number in (1, 2):
        again.clear(number, LATER)
    assert listed.digest == again.digest
    assert listed.entries_by_identity == again.entries_by_identity


def test_entries_are_bounded_and_expire() -> None:
    listed = QuarantineList()
    for number in range(2 * MAX_ENTRIES):
        listed.add(entry(number, since=float(number)))
    assert len(listed.entries_by_identity) == MAX_ENTRIES
    listed.expire(ENTRY_RETENTION_S + 3 * MAX_ENTRIES)
    assert (listed.entries_by_identity, listed.digest) == ({}, 0)
