"""Detection of failures by all entry VMs of a large fleet, with few false suspicions.

The scenario is 195 entry VMs in nine failure domains. One VM, a domain or a region
fails, is suspended or partitioned while datagrams are lost. Lookups name a VM as long
as other VMs consider it alive; callers require contact again within 4 s, and 2 s later
no cached answer may name the failed VM.
"""

from __future__ import annotations

from random import Random

import pytest

from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.membership_fleet import MembershipFleet

FLEET = Fleet(vms=195, upstreams=0)
SETTLED_S = 4.0
EXPIRED_FROM_CACHES_S = 6.0
RECOVERY_S = 2.0
"""Time after which lookups name a falsely suspected VM again, in seconds."""


def build_fleet(*, loss: float = 0.0, fleet: Fleet = FLEET) -> MembershipFleet:
    """Build a fleet in which all VMs have exchanged heartbeats."""
    built = MembershipFleet(fleet=fleet, random=Random(1))
    built.run(SETTLED_S)
    assert built.all_suspect([])
    built.loss_share = loss
    return built


def of_domain(fleet: Fleet, domain: str) -> list[int]:
    return [n for n in range(fleet.vms) if fleet.failure_domain(n).startswith(domain)]


@pytest.mark.parametrize(
    ("vms", "loss"), [(30, 0.05), (195, 0.0), (195, 0.05), (300, 0.05)]
)
def test_all_vms_detect_failure_before_cached_answers_expire(
    vms: int, loss: float
) -> None:
    fleet = build_fleet(loss=loss, fleet=Fleet(vms=vms, upstreams=0))
    fleet.stop([7])
    took_s = fleet.seconds_until(
        lambda: fleet.all_suspect([7]), limit_s=2 * EXPIRED_FROM_CACHES_S
    )
    assert took_s <= EXPIRED_FROM_CACHES_S


@pytest.mark.parametrize("lost", ["kosice-1", "kosice"])
def test_all_vms_detect_loss_of_domain_or_region(lost: str) -> None:
    fleet = build_fleet()
    failed = of_domain(FLEET, lost)
    fleet.stop(failed)
    took_s = fleet.seconds_until(
        lambda: fleet.all_suspect(failed), limit_s=2 * EXPIRED_FROM_CACHES_S
    )
    assert took_s <= EXPIRED_FROM_CACHES_S


def test_suspended_vm_is_alive_again_soon_after_it_resumes() -> None:
    fleet = build_fleet()
    fleet.stop([7])
    fleet.run(EXPIRED_FROM_CACHES_S)
    assert fleet.all_suspect([7])
    fleet.resume(7)
    fleet.run(RECOVERY_S)
    assert fleet.all_suspect([])


def test_vm_that_receives_nothing_causes_no_suspicion_at_others() -> None:
    fleet = build_fleet()
    fleet.is_blocked = lambda _sender, receiver: receiver == 7
    for _ in range(40):
        fleet.run(0.5)
        others = [n for n in range(FLEET.vms) if n != 7]
        assert not any(fleet.suspected_by(number) for number in others)


def test_false_suspicions_by_partitioned_domain_are_refuted() -> None:
    fleet = build_fleet()
    receiving_nothing = set(of_domain(FLEET, "kosice-1"))
    fleet.is_blocked = lambda sender, receiver: (
        receiver in receiving_nothing and sender not in receiving_nothing
    )
    fleet.run(8.0)
    fleet.is_blocked = lambda _sender, _receiver: False
    fleet.run(RECOVERY_S + 8.0)
    assert fleet.all_suspect([])


def test_random_packet_loss_causes_no_suspicion() -> None:
    fleet = build_fleet(loss=0.05)
    for _ in range(40):
        fleet.run(0.5)
        assert fleet.all_suspect([])
