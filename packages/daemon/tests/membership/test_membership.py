"""Tests of the membership of a failure domain."""

from __future__ import annotations

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.membership import messages as m
from plankspindle_daemon.membership.membership import HEARTBEAT_BYTES_PER_S
from plankspindle_daemon.membership.membership import Membership
from plankspindle_daemon.membership.membership_options import MembershipOptions
from plankspindle_daemon.peer_messages.readiness import Readiness
from plankspindle_daemon.platform.live_list import ListedVm
from plankspindle_daemon.platform.live_list import VmKind

SEED = Endpoint("127.0.0.9", 9)
LONGEST_S = 5.0


def build_membership(*, all_domains: bool = False) -> Membership:
    options = MembershipOptions(
        vm="a",
        failure_domain="ba-1",
        incarnation=1,
        heartbeat_s=0.5,
        suspect_after_s=2.0,
        seeds=(SEED,),
        all_domains=all_domains,
    )
    return Membership(options=options)


def build_heartbeat(sender: str = "b", **fields: object) -> m.HeartbeatReceived:
    defaults: dict[str, object] = {
        "incarnation": 2,
        "sequence": 1,
        "failure_domain": "ba-1",
        "caller_endpoint": Endpoint("127.0.0.2", 1),
        "peer_endpoint": Endpoint("127.0.0.2", 2),
        "readiness": Readiness.READY,
        "view_digest": 0,
        "over_share": (),
        "configuration_version": 1,
    }
    heartbeat = m.Heartbeat(sender=sender, **{**defaults, **fields})  # type: ignore[arg-type]
    return m.HeartbeatReceived(heartbeat)


def build_list(*names: str, leaving: tuple[str, ...] = ()) -> m.LiveListRead:
    return m.LiveListRead(
        tuple(
            ListedVm(
                name=name,
                kind=VmKind.ENTRY,
                failure_domain="ba-1",
                leaving=name in leaving,
                peer_endpoint=Endpoint("127.0.0.3", 3),
            )
            for name in names
        )
    )


def test_seeds_are_greeted_always() -> None:
    membership = build_membership()
    assert membership.handle(m.TimePassed(), 0.0) == [m.SendHeartbeat(SEED)]
    membership.handle(build_heartbeat(), 0.1)
    sent = membership.handle(m.TimePassed(), 0.6)
    assert sent == [m.SendHeartbeat(Endpoint("127.0.0.2", 2)), m.SendHeartbeat(SEED)]


def test_a_silent_member_counts_while_it_is_listed() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(), 0.0)
    membership.handle(build_list("a", "b"), 100.0)
    assert membership.member_names() == ("a", "b")
    effects = membership.handle(build_list("a"), 101.0)
    assert effects == [m.ViewChanged()]
    assert membership.member_names() == ("a",)


def test_a_heard_member_counts_although_the_list_lags() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(), 0.0)
    membership.handle(build_list("a"), 1.0)
    assert membership.member_names() == ("a", "b")


def test_without_the_list_a_silent_member_keeps_its_share() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(), 0.0)
    membership.handle(m.TimePassed(), 1000.0)
    assert membership.member_names() == ("a", "b")


def test_a_goodbye_removes_at_once_and_leaves_room() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(), 0.0)
    goodbye = build_heartbeat(sequence=2, readiness=Readiness.LEFT)
    assert membership.handle(goodbye, 0.1) == [m.ViewChanged()]
    assert membership.member_names() == ("a",)
    assert membership.may_grow_share("u", now=0.1, max_request_s=LONGEST_S)


def test_after_a_death_shares_grow_only_when_its_work_has_ended() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(), 0.0)
    membership.handle(build_list("a"), 10.0)
    assert not membership.may_grow_share("u", now=14.9, max_request_s=LONGEST_S)
    assert membership.may_grow_share("u", now=15.0, max_request_s=LONGEST_S)


def test_a_member_that_disagrees_or_is_over_its_share_leaves_no_room() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(), 0.0)
    digest = membership.view_digest()
    agrees = build_heartbeat(sequence=2, view_digest=digest, over_share=("u",))
    assert not membership.may_grow_share("u", now=0.0, max_request_s=LONGEST_S)
    membership.handle(agrees, 0.1)
    assert not membership.may_grow_share("u", now=0.1, max_request_s=LONGEST_S)
    assert membership.may_grow_share("v", now=0.1, max_request_s=LONGEST_S)
    every = build_heartbeat(sequence=3, view_digest=digest, over_share=("*",))
    membership.handle(every, 0.2)
    assert not membership.may_grow_share("v", now=0.2, max_request_s=LONGEST_S)


def test_late_and_repeated_heartbeats_change_nothing() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(sequence=5), 0.0)
    late = build_heartbeat(sequence=4, readiness=Readiness.LEFT)
    assert membership.handle(late, 0.1) == []
    assert membership.member_names() == ("a", "b")


def test_another_incarnation_is_not_its_predecessor() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(), 0.0)
    digest = membership.view_digest()
    membership.handle(build_heartbeat(incarnation=3), 1.0)
    assert membership.view_digest() != digest
    assert not membership.may_grow_share("u", now=2.0, max_request_s=LONGEST_S)


def test_a_vm_that_was_listed_and_is_not_any_more_is_told_to_leave_once() -> None:
    membership = build_membership()
    assert membership.handle(build_list("b"), 0.0) == [m.ViewChanged()]
    assert membership.member_names() == ("a", "b")
    membership.handle(build_list("a", "b"), 1.0)
    assert membership.handle(build_list("b"), 2.0) == [
        m.LeaveRequested("no longer listed")
    ]
    assert membership.handle(build_list("b"), 3.0) == []


def test_heartbeats_keep_their_byte_budget_in_a_domain_of_205() -> None:
    membership = build_membership()
    for number in range(204):
        membership.handle(build_heartbeat(f"vm-{number}"), 0.0)
    sent = 0
    for step in range(1000):
        sent += len(membership.handle(m.TimePassed(), step * 0.1))
    assert sent * 200 / 100 <= HEARTBEAT_BYTES_PER_S * 1.1


def test_after_a_pause_the_silence_of_others_is_forgiven_but_not_their_word() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(), 0.0)
    digest = membership.view_digest()
    membership.handle(build_heartbeat(sequence=2, view_digest=digest), 0.1)
    membership.handle(m.ProcessPaused(), 60.0)
    membership.handle(build_list("a"), 60.1)
    assert membership.member_names() == ("a", "b")
    assert not membership.may_grow_share("u", now=60.1, max_request_s=LONGEST_S)


def test_vms_of_other_domains_are_members_only_where_that_is_wanted() -> None:
    other = build_heartbeat("c", failure_domain="ke-1")
    near, all_of_them = build_membership(), build_membership(all_domains=True)
    near.handle(other, 0.0)
    all_of_them.handle(other, 0.0)
    assert near.member_names() == ("a",)
    assert all_of_them.member_names() == ("a", "c")
    assert all_of_them.members_by_name["c"].failure_domain == "ke-1"
    assert not all_of_them.is_silent(all_of_them.members_by_name["c"], 1.0)
    assert all_of_them.is_silent(all_of_them.members_by_name["c"], 2.5)
