"""Tests of the log events of limits that upstreams announce."""

from __future__ import annotations

from plankspindle_daemon.status_changes.limit_monitor import LimitMonitor
from plankspindle_daemon.upstreams.fleet_limiter import FleetLimiter
from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.fleet_node import build_empty_node


def test_limit_is_logged_when_it_is_kept_changes_and_ends() -> None:
    limits = build_empty_node(Fleet(vms=1, upstreams=1)).quotas.limits
    monitor = LimitMonitor()
    assert list(monitor.observe(limits, 1.0)) == []
    limiter = FleetLimiter(limit_per_s=2.0, announced_at=1.0)
    limits.limiter_by_incarnation["u#1"] = limiter
    (kept,) = monitor.observe(limits, 1.5)
    assert kept.event == "upstream_limit_kept"
    assert kept.fields["announced_ms_ago"] == 500
    assert list(monitor.observe(limits, 2.0)) == []
    limiter.record_limit(1.0, 2.0)
    (changed,) = monitor.observe(limits, 2.0)
    assert changed.fields["limit_per_s"] == 1.0
    limits.limiter_by_incarnation.clear()
    (ended,) = monitor.observe(limits, 3.0)
    assert ended.event == "upstream_limit_ended"
    assert list(monitor.observe(limits, 4.0)) == []
