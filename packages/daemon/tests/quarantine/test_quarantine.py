"""Tests of the quarantine of one entry VM, and of several that exchange updates."""

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


class QuarantineFleet:
    """Entry VMs whose messages are delivered immediately."""

    def __init__(self, count: int) -> None:
        self.by_name = {}
        names = [f"vm-{number}" for number in range(count)]
        for own, name in enumerate(names):
            membership = build_membership(name, all_domains=True)
            for other, member in enumerate(names):
                if other != own:
                    other_vm = build_member(
                        member, failure_domain=DOMAINS[other % 3], last_heartbeat_at=0.0
                    )
                    other_vm.peer_endpoint = Endpoint(member, 1)
                    membership.members_by_name[member] = other_vm
            membership.options = evolve(membership.options, suspect_after_s=1e9)
            self.by_name[name] = Quarantine.create(name, DOMAINS[own % 3], membership)
        self.names = names
        self.sent = 0

    def deliver(self, sender: str, effects: list[SendToPeer], now: float) -> None:
        waiting = [(sender, effect) for effect in effects]
        while waiting:
            source, effect = waiting.pop(0)
            self.sent += 1
            assert isinstance(effect.message, CrashNews)
            receiver = effect.to.host
            replies = self.by_name[receiver].handle_update(
                effect.message, Endpoint(source, 1), now
            )
            waiting += [(receiver, each) for each in replies]

    def crash(self, *incarnation_ids: str, now: float) -> None:
        """Crash upstreams under the request, each detected by another entry VM."""
        for number, incarnation_id in enumerate(incarnation_ids):
            name = self.names[number % len(self.names)]
            messages = self.by_name[name].record_crash(
                REQUEST, incarnation_id, at=now, now=now
            )
            self.deliver(name, messages, now)

    def tick(self, now: float) -> None:
        for name in self.names:
            self.deliver(name, self.by_name[name].tick(now), now)

    def blocked(self, now: float) -> list[bool]:
        return [
            self.by_name[name].blocking_entry(REQUEST, now) is not None
            for name in self.names
        ]


def test_all_vms_block_request_whose_crashes_each_saw_once() -> None:
    fleet = QuarantineFleet(9)
    fleet.crash("a", "b", "c", now=1.0)
    fleet.tick(1.0 + CLEARANCE_WINDOW_S)
    assert fleet.blocked(2.0) == [True] * 9


def test_completion_at_any_vm_clears_watched_request() -> None:
    fleet = QuarantineFleet(9)
    fleet.crash("a", "b", "c", now=1.0)
    messages = fleet.by_name["vm-7"].record_completion(REQUEST, 1.2)
    fleet.deliver("vm-7", messages, 1.2)
    fleet.tick(1.0 + 2 * CLEARANCE_WINDOW_S)
    assert fleet.blocked(5.0) == [False] * 9


def test_completion_ends_suspicion_at_all_vms() -> None:
    fleet = QuarantineFleet(9)
    fleet.crash("a", now=1.0 - MIN_CRASH_SPREAD_S)
    fleet.crash("b", now=1.0)
    suspected = [fleet.by_name[name].is_suspected(REQUEST) for name in fleet.names]
    assert suspected == [True] * 9
    messages = fleet.by_name["vm-7"].record_completion(REQUEST, 1.2)
    fleet.deliver("vm-7", messages, 1.2)
    suspected = [fleet.by_name[name].is_suspected(REQUEST) for name in fleet.names]
    assert suspected == [False] * 9


def test_simultaneous_crashes_make_no_request_suspected() -> None:
    fleet = QuarantineFleet(9)
    fleet.crash("a", "b", "c", now=1.0)
    assert not any(fleet.by_name[name].is_suspected(REQUEST) for name in fleet.names)


def test_new_entries_are_limited_when_upstreams_crash_under_any_request() -> None:
    quarantine = QuarantineFleet(1).by_name["vm-0"]
    for request in range(5 * MAX_NEW_ENTRIES):
        for incarnation_id in "abc":
            quarantine.record_crash(request, incarnation_id, at=1.0, now=1.0)
    quarantine.tick(2.0)
    assert len(quarantine.quarantine_list.entries_by_identity) <= MAX_NEW_ENTRIES
    for incarnation_id in "abc":
        quarantine.record_crash(REQUEST, f"later {incarnation_id}", at=90.0, now=90.0)
    quarantine.tick(91.0)
    assert quarantine.blocking_entry(REQUEST, 91.0) is not None


def test_one_vm_sends_one_probe_attempt_and_its_completion_lifts_quarantine() -> None:
    fleet = QuarantineFleet(9)
    fleet.crash("a", "b", "c", now=1.0)
    fleet.tick(2.0)
    due = 2.0 + FIRST_PROBE_DELAY_S
    assert [fleet.blocked(due).count(False) for _ in range(2)] == [1, 1]
    probing = [
        name
        for name in fleet.names
        if fleet.by_name[name].blocking_entry_on_send(REQUEST, due) is None
    ]
    assert len(probing) == 1
    fleet.tick(due)
    assert fleet.blocked(due + 1) == [True] * 9
    messages = fleet.by_name[probing[0]].record_completion(REQUEST, due + 2)
    fleet.deliver(probing[0], messages, due + 2)
    assert fleet.blocked(due + 3) == [False] * 9


def test_restarted_vm_is_updated_by_first_receiver_of_its_heartbeat() -> None:
    fleet = QuarantineFleet(9)
    fleet.crash("a", "b", "c", now=1.0)
    fleet.tick(2.0)
    restarted = QuarantineFleet(9).by_name["vm-4"]
    fleet.by_name["vm-4"] = restarted
    heartbeat = Fleet(vms=9, upstreams=1).heartbeat(4, sequence=1)
    heartbeat = evolve(heartbeat, sender="vm-4", peer_endpoint=Endpoint("vm-4", 1))
    fleet.deliver("vm-1", fleet.by_name["vm-1"].handle_heartbeat(heartbeat, 3.0), 3.0)
    assert restarted.blocking_entry(REQUEST, 3.1) is not None
    up_to_date = evolve(heartbeat, quarantine_digest=restarted.quarantine_list.digest)
    assert fleet.by_name["vm-1"].handle_heartbeat(up_to_date, 9.0) == []


def test_number_of_messages_of_a_report_is_independent_of_fleet_size() -> None:
    for count in (9, 65, 195):
        fleet = QuarantineFleet(count)
        messages = fleet.by_name["vm-0"].record_crash(REQUEST, "a", at=1.0, now=1.0)
        assert len(messages) <= AGGREGATORS_PER_REQUEST


def test_aggregators_are_the_same_at_all_vms_and_in_different_domains() -> None:
    fleet = QuarantineFleet(65)
    chosen = [
        tuple(
            each.name for each in fleet.by_name[name].aggregators.select(REQUEST, 1.0)
        )
        for name in fleet.names
    ]
    assert len(set(chosen)) == 1
    domains = {DOMAINS[int(name.removeprefix("vm-")) % 3] for name in chosen[0]}
    assert len(domains) == AGGREGATORS_PER_REQUEST


def test_state_of_one_vm_is_bounded() -> None:
    quarantine = QuarantineFleet(3).by_name["vm-0"]
    for request in range(3 * MAX_IDENTITIES):
        quarantine.record_crash(request, f"{request}", at=1.0, now=1.0)
    assert len(quarantine.watched) == MAX_IDENTITIES
    assert len(quarantine.resend_queue) <= MAX_QUEUED
