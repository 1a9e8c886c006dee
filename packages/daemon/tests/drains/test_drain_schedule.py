"""Times at which drains take effect."""

from __future__ import annotations

from plankspindle_core.configuration.drain import Drain
from plankspindle_core.configuration.drain import DrainKind
from plankspindle_daemon.drains.drain_schedule import LINGER_S
from plankspindle_daemon.drains.drain_schedule import DrainSchedule
from plankspindle_testkit.builders import build_configuration

WALL = 5_000.0


def build_schedule(*drains: Drain, now: float = 0.0) -> DrainSchedule:
    schedule = DrainSchedule()
    by_id = {str(number): drain for number, drain in enumerate(drains)}
    schedule.apply_configuration(build_configuration(drains_by_id=by_id), now)
    return schedule


def test_drained_upstream_gets_no_new_requests_immediately() -> None:
    schedule = build_schedule(Drain(kind=DrainKind.UPSTREAM, name="r1"), now=7.0)
    at = schedule.upstream_drained_at("r1", "ba-1", now=9.0, wall=WALL)
    assert at == 7.0
    assert schedule.upstream_drained_at("r2", "ba-1", now=9.0, wall=WALL) is None


def test_drained_region_leaves_lookups_immediately_and_serves_until_linger_ends() -> (
    None
):
    schedule = build_schedule(Drain(kind=DrainKind.REGION, name="bratislava"), now=7.0)
    assert schedule.vm_is_drained("any", "ba-2", wall=WALL)
    assert not schedule.vm_is_drained("any", "ke-1", wall=WALL)
    assert schedule.vm_refusal_at("any", "ba-2", now=9.0, wall=WALL) == 7.0 + LINGER_S
    at = schedule.upstream_drained_at("r1", "ba-1", now=9.0, wall=WALL)
    assert at == 7.0 + LINGER_S


def test_planned_drain_takes_effect_at_its_time() -> None:
    planned = Drain(kind=DrainKind.FAILURE_DOMAIN, name="ba-1", at=WALL + 60.0)
    schedule = build_schedule(planned)
    assert not schedule.vm_is_drained("any", "ba-1", wall=WALL)
    assert schedule.vm_is_drained("any", "ba-1", wall=WALL + 61.0)
    assert schedule.upstream_drained_at("r1", "ba-1", now=9.0, wall=WALL) == 69.0


def test_configuration_change_does_not_restart_linger() -> None:
    drain = Drain(kind=DrainKind.VM, name="a")
    schedule = build_schedule(drain, now=0.0)
    schedule.apply_configuration(build_configuration(drains_by_id={"0": drain}), 100.0)
    assert schedule.vm_refusal_at("a", "ba-1", now=101.0, wall=WALL) == LINGER_S


def test_removed_drain_has_no_effect() -> None:
    schedule = build_schedule(Drain(kind=DrainKind.VM, name="a"))
    schedule.apply_configuration(build_configuration(), 1.0)
    assert schedule.vm_refusal_at("a", "ba-1", now=2.0, wall=WALL) is None
