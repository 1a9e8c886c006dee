"""Tests of the times from which drains keep work away."""

from __future__ import annotations

from plankspindle_core.configuration.drain import Drain
from plankspindle_core.configuration.drain import DrainKind
from plankspindle_daemon.drains.drain_schedule import LINGER_S
from plankspindle_daemon.drains.drain_schedule import DrainSchedule
from plankspindle_testkit.builders import build_configuration

WALL = 5_000.0


def build_clock(*drains: Drain, now: float = 0.0) -> DrainSchedule:
    clock = DrainSchedule()
    by_id = {str(number): drain for number, drain in enumerate(drains)}
    clock.apply_configuration(build_configuration(drains_by_id=by_id), now)
    return clock


def test_a_drained_upstream_gets_nothing_new_at_once() -> None:
    clock = build_clock(Drain(kind=DrainKind.UPSTREAM, name="r1"), now=7.0)
    at = clock.upstream_drained_at("r1", "ba-1", now=9.0, wall=WALL)
    assert at == 7.0
    assert clock.upstream_drained_at("r2", "ba-1", now=9.0, wall=WALL) is None


def test_a_drained_place_is_not_named_at_once_but_lingers() -> None:
    clock = build_clock(Drain(kind=DrainKind.REGION, name="bratislava"), now=7.0)
    assert clock.vm_is_drained("any", "ba-2", wall=WALL)
    assert not clock.vm_is_drained("any", "ke-1", wall=WALL)
    assert clock.vm_refusal_at("any", "ba-2", now=9.0, wall=WALL) == 7.0 + LINGER_S
    at = clock.upstream_drained_at("r1", "ba-1", now=9.0, wall=WALL)
    assert at == 7.0 + LINGER_S


def test_a_planned_drain_holds_from_its_time() -> None:
    planned = Drain(kind=DrainKind.FAILURE_DOMAIN, name="ba-1", at=WALL + 60.0)
    clock = build_clock(planned)
    assert not clock.vm_is_drained("any", "ba-1", wall=WALL)
    assert clock.vm_is_drained("any", "ba-1", wall=WALL + 61.0)
    assert clock.upstream_drained_at("r1", "ba-1", now=9.0, wall=WALL) == 69.0


def test_another_version_does_not_restart_the_linger() -> None:
    drain = Drain(kind=DrainKind.VM, name="a")
    clock = build_clock(drain, now=0.0)
    clock.apply_configuration(build_configuration(drains_by_id={"0": drain}), 100.0)
    assert clock.vm_refusal_at("a", "ba-1", now=101.0, wall=WALL) == LINGER_S


def test_an_ended_drain_ends() -> None:
    clock = build_clock(Drain(kind=DrainKind.VM, name="a"))
    clock.apply_configuration(build_configuration(), 1.0)
    assert clock.vm_refusal_at("a", "ba-1", now=2.0, wall=WALL) is None
