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
from plankspindle_testkit.versions import build_version

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
        "configuration_version": build_version(1),
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


def test_seeds_always_get_heartbeats() -> None:
    membership = build_membership()
    assert membership.handle(m.TimePassed(), 0.0) == [m.SendHeartbeat(SEED)]
    membership.handle(build_heartbeat(), 0.1)
    sent = membership.handle(m.TimePassed(), 0.6)
    assert sent == [m.SendHeartbeat(Endpoint("127.0.0.2", 2)), m.SendHeartbeat(SEED)]


def test_silent_member_counts_while_it_is_listed() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(), 0.0)
    membership.handle(build_list("a", "b"), 100.0)
    assert membership.member_names() == ("a", "b")
    effects = membership.handle(build_list("a"), 101.0)
    assert effects == [m.ViewChanged()]
    assert membership.member_names() == ("a",)


def test_member_with_heartbeats_counts_although_it_is_not_listed() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(), 0.0)
    membership.handle(build_list("a"), 1.0)
    assert membership.member_names() == ("a", "b")


def test_silent_member_counts_until_the_list_is_read() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(), 0.0)
    membership.handle(m.TimePassed(), 1000.0)
    assert membership.member_names() == ("a", "b")


def test_member_that_announces_it_left_is_removed_and_frees_share_at_once() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(), 0.0)
    left = build_heartbeat(sequence=2, readiness=Readiness.LEFT)
    assert membership.handle(left, 0.1) == [m.ViewChanged()]
    assert membership.member_names() == ("a",)
    assert membership.may_grow_share("u", now=0.1, max_request_s=LONGEST_S)


def test_share_grows_after_failure_only_when_its_requests_must_have_ended() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(), 0.0)
    membership.handle(build_list("a"), 10.0)
    assert not membership.may_grow_share("u", now=14.9, max_request_s=LONGEST_S)
    assert membership.may_grow_share("u", now=15.0, max_request_s=LONGEST_S)


def test_share_does_not_grow_while_member_disagrees_or_is_over_share() -> None:
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


def test_outdated_heartbeats_are_ignored() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(sequence=5), 0.0)
    outdated = build_heartbeat(sequence=4, readiness=Readiness.LEFT)
    assert membership.handle(outdated, 0.1) == []
    assert membership.member_names() == ("a", "b")


def test_new_incarnation_changes_digest_and_blocks_share_growth() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(), 0.0)
    digest = membership.view_digest()
    membership.handle(build_heartbeat(incarnation=3), 1.0)
    assert membership.view_digest() != digest
    assert not membership.may_grow_share("u", now=2.0, max_request_s=LONGEST_S)


def test_leave_is_requested_once_when_vm_is_no_longer_listed() -> None:
    membership = build_membership()
    assert membership.handle(build_list("b"), 0.0) == [m.ViewChanged()]
    assert membership.member_names() == ("a", "b")
    membership.handle(build_list("a", "b"), 1.0)
    assert membership.handle(build_list("b"), 2.0) == [
        m.LeaveRequested("no longer listed")
    ]
    assert membership.handle(build_list("b"), 3.0) == []


def test_heartbeats_stay_within_byte_budget_in_domain_of_205() -> None:
    membership = build_membership()
    for number in range(204):
        membership.handle(build_heartbeat(f"vm-{number}"), 0.0)
    sent = 0
    for step in range(1000):
        sent += len(membership.handle(m.TimePassed(), step * 0.1))
    assert sent * 200 / 100 <= HEARTBEAT_BYTES_PER_S * 1.1


def test_pause_resets_silence_of_members_and_requires_their_digest_again() -> None:
    membership = build_membership()
    membership.handle(build_heartbeat(), 0.0)
    digest = membership.view_digest()
    membership.handle(build_heartbeat(sequence=2, view_digest=digest), 0.1)
    membership.handle(m.ProcessPaused(), 60.0)
    membership.handle(build_list("a"), 60.1)
    assert membership.member_names() == ("a", "b")
    assert not membership.may_grow_share("u", now=60.1, max_request_s=LONGEST_S)


def test_vms_of_other_domains_are_members_only_with_all_domains() -> None:
    other = build_heartbeat("c", failure_domain="ke-1")
    own_domain, every_domain = build_membership(), build_membership(all_domains=True)
    own_domain.handle(other, 0.0)
    every_domain.handle(other, 0.0)
    assert own_domain.member_names() == ("a",)
    assert every_domain.member_names() == ("a", "c")
    assert every_domain.members_by_name["c"].failure_domain == "ke-1"
    assert not every_domain.is_silent(every_domain.members_by_name["c"], 1.0)
    assert every_domain.is_silent(every_domain.members_by_name["c"], 2.5)
