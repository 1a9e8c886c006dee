"""Tests of the record of connections to upstreams, and of its log events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.reachability.contact_record import ContactRecord
from plankspindle_daemon.status_changes.contact_monitor import ContactMonitor
from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.fleet_node import build_fleet_node
from plankspindle_testkit.reach_builders import TIMED_OUT
from plankspindle_testkit.reach_builders import cut_off

if TYPE_CHECKING:
    from plankspindle_daemon.reachability.upstream_reach import UpstreamReach


def fail(contact: ContactRecord | UpstreamReach, *upstreams: str, now: float) -> None:
    for upstream in upstreams:
        contact.record_connect_failed(upstream, TIMED_OUT, now)


def test_upstream_counts_once() -> None:
    contact = ContactRecord()
    fail(contact, "u1", "u1", "u2", now=1.0)
    assert set(contact.failed_at_by_upstream) == {"u1", "u2"}
    assert contact.failed_connects == 3
    assert contact.failing_for_s(1.5) == 0.5


def test_new_connection_ends_failures_and_answer_does_not() -> None:
    contact = ContactRecord()
    fail(contact, "u1", now=1.0)
    contact.record_answered(1.1)
    assert contact.failed_at_by_upstream
    contact.record_connected(1.2)
    assert not contact.failed_at_by_upstream
    assert contact.failing_for_s(2.0) == 0.0


def test_loss_of_all_upstreams_is_logged_once_and_so_is_its_end() -> None:
    node = build_fleet_node(Fleet(vms=1, upstreams=9), now=0.0)
    reach, monitor = node.reach, ContactMonitor()
    reach.record_connected("u1", 0.5)
    fail(reach, "u1", "u2", now=1.0)
    assert list(monitor.observe(reach, 1.0)) == []
    cut_off(reach, 1.25)
    (lost,) = monitor.observe(reach, 1.25)
    assert lost.event == "upstream_contact"
    assert lost.fields["now"] == "lost"
    assert lost.fields["failed"].startswith("u0,u1,u2,")
    assert lost.fields["connected_ms_ago"] == 750
    assert list(monitor.observe(reach, 2.0)) == []
    reach.record_connected("u1", 3.0)
    reach.record_connected("u2", 3.0)
    (regained,) = monitor.observe(reach, 3.25)
    assert regained.fields["now"] == "regained"
    assert regained.fields["lost_ms"] == 2_000
