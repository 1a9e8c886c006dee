"""Tests of the quarantine of one entry VM, and of several that tell one another."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.peer_messages.crash_news import CrashNews
from plankspindle_daemon.peer_messages.resend_queue import MAX_QUEUED
from plankspindle_daemon.quarantine.aggregator_selector import AGGREGATORS_PER_REQUEST
from plankspindle_daemon.quarantine.crash_records import CLEARANCE_WINDOW_S
from plankspindle_daemon.quarantine.crash_records import MIN_CRASH_SPREAD_S
from plankspindle_daemon.quarantine.quarantine import MAX_NEW_ENTRIES
from plankspindle_daemon.quarantine.quarantine import Quarantine
from plankspindle_daemon.quarantine.quarantine_list import FIRST_PROBE_DELAY_S
from plankspindle_daemon.quarantine.recent_identities import MAX_IDENTITIES
from plankspindle_testkit.builders import build_member
from plankspindle_testkit.builders import build_membership
from plankspindle_testkit.fleet_node import Fleet

if TYPE_CHECKING:
    from plankspindle_daemon.peer_messages.peer_message import SendToPeer

REQUEST = 0xABC
DOMAINS = ("ba-1", "ba-2", "ke-1")


class Talk:
    """Entry VMs whose messages arrive at once."""

    def __init__(self, count: int) -> None:
        self.by_name = {}
        names = [f"vm-{number}" for number in range(count)]
        for own, name in enumerate(names):
            membership = build_membership(name, all_domains=True)
            for other, member in enumerate(names):
                if other != own:
                    found = build_member(
                        member, failure_domain=DOMAINS[other % 3], last_heard=0.0
                    )
                    found.peer_endpoint = Endpoint(member, 1)
                    membership.members_by_name[member] = found
            membership.options = evolve(membership.options, suspect_after_s=1e9)
            self.by_name[name] = Quarantine.create(name, DOMAINS[own % 3], membership)
        self.names = names
        self.sent = 0

    def carry(self, sender: str, effects: list[SendToPeer], now: float) -> None:
        waiting = [(sender, effect) for effect in effects]
        while waiting:
            source, effect = waiting.pop(0)
            self.sent += 1
            assert isinstance(effect.message, CrashNews)
            receiver = effect.to.host
            answered = self.by_name[receiver].handle_update(
                effect.message, Endpoint(source, 1), now
            )
            waiting += [(receiver, each) for each in answered]

    def crash(self, *lives: str, now: float) -> None:
        """Let upstreams end under the request, each seen by another entry VM."""
        for number, life in enumerate(lives):
            name = self.names[number % len(self.names)]
            noted = self.by_name[name].record_crash(REQUEST, life, at=now, now=now)
            self.carry(name, noted, now)

    def tick(self, now: float) -> None:
        for name in self.names:
            self.carry(name, self.by_name[name].tick(now), now)

    def holding(self, now: float) -> list[bool]:
        return [
            self.by_name[name].blocking_entry(REQUEST, now) is not None
            for name in self.names
        ]


def test_all_hold_back_what_each_saw_but_once() -> None:
    talk = Talk(9)
    talk.crash("a", "b", "c", now=1.0)
    talk.tick(1.0 + CLEARANCE_WINDOW_S)
    assert talk.holding(2.0) == [True] * 9


def test_an_answer_anywhere_clears_what_is_only_suspected() -> None:
    talk = Talk(9)
    talk.crash("a", "b", "c", now=1.0)
    seen = talk.by_name["vm-7"].record_completion(REQUEST, 1.2)
    talk.carry("vm-7", seen, 1.2)
    talk.tick(1.0 + 2 * CLEARANCE_WINDOW_S)
    assert talk.holding(5.0) == [False] * 9


def test_what_was_suspected_and_answered_may_be_sent_to_another_upstream() -> None:
    talk = Talk(9)
    talk.crash("a", now=1.0 - MIN_CRASH_SPREAD_S)
    talk.crash("b", now=1.0)
    suspected = [talk.by_name[name].is_suspected(REQUEST) for name in talk.names]
    assert suspected == [True] * 9
    seen = talk.by_name["vm-7"].record_completion(REQUEST, 1.2)
    talk.carry("vm-7", seen, 1.2)
    suspected = [talk.by_name[name].is_suspected(REQUEST) for name in talk.names]
    assert suspected == [False] * 9


def test_upstreams_that_end_at_one_moment_make_none_suspected() -> None:
    talk = Talk(9)
    talk.crash("a", "b", "c", now=1.0)
    assert not any(talk.by_name[name].is_suspected(REQUEST) for name in talk.names)


def test_upstreams_that_crash_under_any_request_hold_few_back() -> None:
    quarantine = Talk(1).by_name["vm-0"]
    for request in range(5 * MAX_NEW_ENTRIES):
        for life in "abc":
            quarantine.record_crash(request, life, at=1.0, now=1.0)
    quarantine.tick(2.0)
    assert len(quarantine.quarantine_list.entries_by_identity) <= MAX_NEW_ENTRIES
    for life in "abc":
        quarantine.record_crash(REQUEST, f"later {life}", at=90.0, now=90.0)
    quarantine.tick(91.0)
    assert quarantine.blocking_entry(REQUEST, 91.0) is not None


def test_it_is_let_through_by_one_entry_vm_once_and_released_by_an_answer() -> None:
    talk = Talk(9)
    talk.crash("a", "b", "c", now=1.0)
    talk.tick(2.0)
    due = 2.0 + FIRST_PROBE_DELAY_S
    assert [talk.holding(due).count(False) for _ in range(2)] == [1, 1]
    trying = [
        name
        for name in talk.names
        if talk.by_name[name].blocking_entry_on_send(REQUEST, due) is None
    ]
    assert len(trying) == 1
    talk.tick(due)
    assert talk.holding(due + 1) == [True] * 9
    seen = talk.by_name[trying[0]].record_completion(REQUEST, due + 2)
    talk.carry(trying[0], seen, due + 2)
    assert talk.holding(due + 3) == [False] * 9


def test_a_vm_that_starts_is_told_by_the_first_that_hears_it() -> None:
    talk = Talk(9)
    talk.crash("a", "b", "c", now=1.0)
    talk.tick(2.0)
    new = Talk(9).by_name["vm-4"]
    talk.by_name["vm-4"] = new
    heartbeat = Fleet(vms=9, upstreams=1).heartbeat(4, sequence=1)
    heartbeat = evolve(heartbeat, sender="vm-4", peer_endpoint=Endpoint("vm-4", 1))
    talk.carry("vm-1", talk.by_name["vm-1"].handle_heartbeat(heartbeat, 3.0), 3.0)
    assert new.blocking_entry(REQUEST, 3.1) is not None
    known = evolve(heartbeat, quarantine_digest=new.quarantine_list.digest)
    assert talk.by_name["vm-1"].handle_heartbeat(known, 9.0) == []


def test_a_report_costs_the_same_in_a_fleet_of_any_size() -> None:
    for count in (9, 65, 195):
        talk = Talk(count)
        noted = talk.by_name["vm-0"].record_crash(REQUEST, "a", at=1.0, now=1.0)
        assert len(noted) <= AGGREGATORS_PER_REQUEST


def test_those_that_count_stand_in_different_failure_domains() -> None:
    talk = Talk(65)
    chosen = [
        tuple(each.name for each in talk.by_name[name].aggregators.select(REQUEST, 1.0))
        for name in talk.names
    ]
    assert len(set(chosen)) == 1
    domains = {DOMAINS[int(name.removeprefix("vm-")) % 3] for name in chosen[0]}
    assert len(domains) == AGGREGATORS_PER_REQUEST


def test_memory_is_bounded() -> None:
    quarantine = Talk(3).by_name["vm-0"]
    for request in range(3 * MAX_IDENTITIES):
        quarantine.record_crash(request, f"{request}", at=1.0, now=1.0)
    assert len(quarantine.watched) == MAX_IDENTITIES
    assert len(quarantine.resend_queue) <= MAX_QUEUED
