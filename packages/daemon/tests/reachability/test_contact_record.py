"""Tests of the record of connections to upstreams, and of its log events."""

from __future__ import annotations

from plankspindle_daemon.reachability.contact_record import ContactRecord
from plankspindle_daemon.status_changes.contact_monitor import ContactMonitor


def fail(contact: ContactRecord, *upstreams: str, now: float) -> None:
    for upstream in upstreams:
        contact.record_connect_failed(upstream, "TaskTimeout: 0.4", now)


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
    contact, monitor = ContactRecord(), ContactMonitor()
    contact.record_connected(0.5)
    fail(contact, "u1", "u2", now=1.0)
    assert list(monitor.observe(contact, 1.0)) == []
    fail(contact, "u3", now=1.2)
    (lost,) = monitor.observe(contact, 1.25)
    assert lost.event == "upstream_contact"
    assert lost.fields["now"] == "lost"
    assert lost.fields["failed"] == 3
    assert lost.fields["connected_ms_ago"] == 750
    assert list(monitor.observe(contact, 2.0)) == []
    contact.record_connected(3.0)
    (regained,) = monitor.observe(contact, 3.1)
    assert regained.fields["now"] == "regained"
