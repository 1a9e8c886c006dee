"""Tests of lookups."""

from __future__ import annotations

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.steering.steering import EntryVm
from plankspindle_daemon.steering.steering import SelectionReason
from plankspindle_daemon.steering.steering import Steering
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_upstream


def build_steering(**usable_by_name: bool) -> Steering:
    configuration = build_configuration(
        upstreams_by_name={
            "u1": build_upstream(failure_domain="ba-1"),
            "u2": build_upstream(failure_domain="ke-1"),
        }
    )
    steering = Steering(configuration=configuration, home_domain="ba-1")
    steering.update_vms(
        EntryVm(
            name=name,
            failure_domain="ke-1" if name.startswith("ke") else "ba-1",
            endpoint=Endpoint("127.0.0.1", 7000),
            usable=usable,
        )
        for name, usable in usable_by_name.items()
    )
    return steering


def lookup(steering: Steering, address: str) -> list[tuple[str, SelectionReason]]:
    answer = steering.look_up(service="registry", address=address)
    return [(selected.vm.name, selected.reason) for selected in answer.vms]


def test_vms_of_home_domain_come_first() -> None:
    steering = build_steering(ba_a=True, ba_b=True, ke_a=True)
    in_bratislava = lookup(steering, "127.0.0.1")
    assert {name for name, _ in in_bratislava[:2]} == {"ba_a", "ba_b"}
    assert in_bratislava[2] == ("ke_a", SelectionReason.NEXT_NEAREST)
    assert lookup(steering, "10.2.3.4")[0] == ("ke_a", SelectionReason.HOME)


def test_unusable_vm_is_not_named_while_another_is_usable() -> None:
    steering = build_steering(ba_a=False, ba_b=True)
    assert [name for name, _ in lookup(steering, "127.0.0.1")] == ["ba_b"]


def test_unusable_vms_are_named_as_last_resort() -> None:
    steering = build_steering(ba_a=False, ke_a=False)
    assert lookup(steering, "127.0.0.1") == [
        ("ba_a", SelectionReason.LAST_RESORT),
        ("ke_a", SelectionReason.LAST_RESORT),
    ]


def test_joining_vm_changes_first_vm_of_few_callers() -> None:
    before = build_steering(ba_a=True, ba_b=True, ba_c=True)
    after = build_steering(ba_a=True, ba_b=True, ba_c=True, ba_d=True)
    addresses = [f"127.0.{number}.1" for number in range(256)]
    moved = [
        address
        for address in addresses
        if lookup(before, address)[0] != lookup(after, address)[0]
    ]
    assert all(lookup(after, address)[0][0] == "ba_d" for address in moved)
    assert len(moved) < 128


def nearest(steering: Steering, domain: str) -> list[str]:
    return sorted(vm.name for vm in steering.nearest_vms(domain))


def build_domain_steering(**usable_by_name: bool) -> Steering:
    """Build lookups over VMs named after their failure domain, as ``ba1_a``."""
    steering = Steering(configuration=build_configuration(), home_domain="ba-1")
    steering.update_vms(
        EntryVm(
            name=name,
            failure_domain=f"{name[:2]}-{name[2]}",
            endpoint=Endpoint("127.0.0.1", 7000),
            usable=usable,
        )
        for name, usable in usable_by_name.items()
    )
    return steering


def test_domain_with_enough_vms_names_only_its_own() -> None:
    steering = build_domain_steering(ba1_a=True, ba1_b=True, ba2_a=True, ke1_a=True)
    assert nearest(steering, "ba-1") == ["ba1_a", "ba1_b"]


def test_domain_with_one_vm_names_others_of_its_region() -> None:
    steering = build_domain_steering(ba1_a=True, ba1_b=False, ba2_a=True, ke1_a=True)
    assert nearest(steering, "ba-1") == ["ba1_a", "ba2_a"]


def test_region_without_usable_vms_gets_those_of_nearest_region() -> None:
    steering = build_domain_steering(ba1_a=True, ba2_a=True, ke1_a=False)
    assert nearest(steering, "ke-1") == ["ba1_a", "ba2_a"]


def test_unknown_domain_gets_vms_of_home_domain() -> None:
    steering = build_domain_steering(ba1_a=True, ba1_b=True, ke1_a=True)
    assert nearest(steering, "nowhere") == ["ba1_a", "ba1_b"]


def test_nearest_vms_are_never_empty_while_any_vm_is_known() -> None:
    steering = build_domain_steering(ba1_a=False, ke1_a=False)
    assert nearest(steering, "ke-1")


def build_region(*, cut_off: int, serving: int) -> Steering:
    """Build lookups of one region with VMs that reach no upstream, and others."""
    steering = build_steering()
    steering.update_vms(
        EntryVm(
            name=f"ba_{number}",
            failure_domain="ba-1",
            endpoint=Endpoint("127.0.0.1", 7000 + number),
            is_cut_off=number < cut_off,
        )
        for number in range(cut_off + serving)
    )
    return steering


def names_near(steering: Steering) -> set[str]:
    return {vm.name for vm in steering.nearest_vms("ba-1")}


def test_vm_that_reaches_no_upstream_is_left_out_while_most_others_do() -> None:
    assert names_near(build_region(cut_off=1, serving=2)) == {"ba_1", "ba_2"}
    assert names_near(build_region(cut_off=2, serving=2)) == {"ba_2", "ba_3"}


def test_vms_that_reach_no_upstream_stay_named_where_few_others_do() -> None:
    """The few would get the callers of all, whom they cannot decline as relays."""
    assert len(names_near(build_region(cut_off=2, serving=1))) == 3
    assert len(names_near(build_region(cut_off=3, serving=0))) == 3


def test_vm_that_reaches_upstreams_again_is_named_again() -> None:
    steering = build_region(cut_off=1, serving=2)
    steering.update_vms(
        EntryVm(
            name=f"ba_{number}",
            failure_domain="ba-1",
            endpoint=Endpoint("127.0.0.1", 7000 + number),
        )
        for number in range(3)
    )
    assert len(names_near(steering)) == 3
