"""Tests of the conclusion that this VM reaches no upstream."""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING

import pytest

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.node.dispatch_runner import PROBE_TIMEOUT_S
from plankspindle_daemon.peer_messages.headroom_messages import HeadroomRequest
from plankspindle_daemon.reachability.upstream_reach import MIN_FAILED_WHILE_ANSWERED
from plankspindle_daemon.reachability.upstream_reach import PROBE_PERIOD_S
from plankspindle_daemon.reachability.upstream_reach import SILENCE_S
from plankspindle_daemon.reachability.upstream_reach import VERIFY_AFTER_S
from plankspindle_daemon.reachability.upstream_reach import UpstreamReach
from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.fleet_node import build_fleet_node
from plankspindle_testkit.reach_builders import REFUSED
from plankspindle_testkit.reach_builders import TIMED_OUT
from plankspindle_testkit.reach_builders import cut_off
from plankspindle_testkit.reach_builders import fail_probes

if TYPE_CHECKING:
    from plankspindle_core.http.errors import ConnectFailed

STARTED_AT = 100.0


def build_reach(upstreams: int = 18) -> UpstreamReach:
    """Build the reach of a VM whose upstream ``uN`` is in failure domain N modulo 9."""
    node = build_fleet_node(Fleet(vms=2, upstreams=upstreams), now=STARTED_AT)
    return node.reach


def fail(reach: UpstreamReach, *numbers: int, at: float) -> None:
    for number in numbers:
        reach.record_connect_failed(f"u{number}", TIMED_OUT, at)


def probe(reach: UpstreamReach, now: float) -> set[str]:
    return {each.upstream for each in reach.tick(now)}


def test_three_upstreams_of_two_domains_that_fail_show_a_cut() -> None:
    reach = build_reach()
    fail(reach, 1, 2, 3, at=101.0)
    assert reach.is_doubtful
    assert not reach.is_cut_off
    fail_probes(reach, 101.0 + VERIFY_AFTER_S)
    assert reach.is_cut_off


def test_many_upstreams_that_crash_at_once_show_no_cut() -> None:
    """Guards against a VM that takes upstreams which crash under requests for a cut."""
    reach = build_reach()
    fail(reach, *range(8), at=101.0)
    probed = probe(reach, 101.0 + VERIFY_AFTER_S)
    assert not probed & {f"u{number}" for number in range(8)}
    first, *others = sorted(probed)
    for upstream in others:
        reach.record_connect_failed(upstream, REFUSED, 101.3)
    assert not reach.is_cut_off
    reach.record_connected(first, 101.3)
    assert not reach.is_doubtful


def test_probes_that_hang_for_their_whole_timeout_show_a_cut() -> None:
    """Guards against rounds of probes that begin before the last one has failed."""
    reach = build_reach()
    fail(reach, 1, 2, 3, at=101.0)
    probed = probe(reach, 101.0 + VERIFY_AFTER_S)
    fails_at = 101.0 + VERIFY_AFTER_S + PROBE_TIMEOUT_S
    assert probe(reach, fails_at) == set()
    for upstream in probed:
        reach.record_connect_failed(upstream, TIMED_OUT, fails_at + 0.01)
    assert reach.is_cut_off


def test_upstreams_of_one_failure_domain_that_fail_show_no_cut() -> None:
    reach = build_reach()
    fail(reach, 1, 10, 1, 10, at=101.0)
    assert probe(reach, 101.0 + VERIFY_AFTER_S)
    fail(reach, 1, 10, at=101.5)
    assert not reach.is_cut_off


def test_fewer_upstreams_than_needed_must_all_fail() -> None:
    reach = build_reach(upstreams=2)
    fail(reach, 0, at=101.0)
    assert not reach.is_cut_off
    fail_probes(reach, 101.0 + VERIFY_AFTER_S)
    assert reach.is_cut_off


def test_vm_without_upstreams_is_not_cut_off() -> None:
    reach = build_reach(upstreams=0)
    fail(reach, 1, 2, 3, at=101.0)
    assert not reach.is_cut_off


def test_new_connection_in_between_shows_that_upstreams_are_reached() -> None:
    reach = build_reach()
    fail(reach, 1, 2, at=101.0)
    reach.record_connected("u5", 101.1)
    fail(reach, 3, at=101.2)
    assert not reach.is_cut_off


def test_answers_on_open_connections_ask_for_more_evidence() -> None:
    """Upstreams that are full reset new connections, too."""
    reach = build_reach()
    fail(reach, *range(1, MIN_FAILED_WHILE_ANSWERED + 1), at=101.1)
    reach.record_answered(101.3)
    assert fail_probes(reach, 101.4)
    assert not reach.is_cut_off
    reach.record_answered(102.3)
    assert fail_probes(reach, 102.4)
    assert reach.is_cut_off


def test_first_failure_is_verified_at_other_failure_domains() -> None:
    reach = build_reach()
    fail(reach, 1, at=101.0)
    assert probe(reach, 101.0 + VERIFY_AFTER_S / 2) == set()
    probed = probe(reach, 101.0 + VERIFY_AFTER_S)
    assert len(probed) == 3
    assert not probed & {"u1", "u10"}


def test_silence_is_verified_more_and_more_rarely() -> None:
    """Requests wait and nothing comes back: upstreams are slow, or connections hang."""
    reach = build_reach()
    reach.record_sent(101.0)
    times = [101.0 + step * 0.25 for step in range(40)]
    probed_at = []
    for now in times:
        if probe(reach, now):
            probed_at.append(now)
            reach.record_connected("u5", now)
    assert probed_at[0] == 101.0 + SILENCE_S
    gaps = [after - before for before, after in pairwise(probed_at)]
    assert gaps == sorted(gaps)
    assert len(probed_at) < 6


def test_no_probe_is_sent_while_requests_are_answered() -> None:
    reach = build_reach()
    for step in range(40):
        now = 101.0 + step * 0.25
        reach.record_sent(now)
        reach.record_answered(now + 0.1)
        assert probe(reach, now + 0.2) == set()


def test_cut_ends_once_two_upstreams_are_reached() -> None:
    reach = build_reach()
    cut_off(reach, 101.0)
    assert len(probe(reach, 101.0 + PROBE_PERIOD_S)) == 2
    reach.record_connected("u4", 102.0)
    reach.record_connected("u4", 102.1)
    assert reach.is_cut_off
    reach.record_connected("u5", 102.2)
    assert not reach.is_cut_off
    assert not reach.is_doubtful


def test_upstream_that_fails_does_not_keep_a_vm_cut_off() -> None:
    reach = build_reach()
    cut_off(reach, 101.0)
    reach.record_connected("u4", 102.0)
    fail(reach, 1, at=102.1)
    reach.record_connected("u5", 102.2)
    assert not reach.is_cut_off


def test_pause_of_the_process_is_no_evidence() -> None:
    """Connections time out while the process stands still, although all is well."""
    reach = build_reach()
    fail(reach, 1, 2, at=101.0)
    reach.recover_from_pause()
    assert not reach.is_doubtful
    fail(reach, 3, at=101.1)
    assert not reach.is_cut_off


@pytest.mark.parametrize(("failure", "allowed"), [(TIMED_OUT, False), (REFUSED, True)])
def test_attempt_is_allowed_where_it_fails_at_once(
    failure: ConnectFailed, allowed: bool
) -> None:
    reach = build_reach()
    cut_off(reach, 101.0, failure)
    assert reach.allows_attempt(101.0) is allowed


def test_cut_off_vm_says_so_and_hints_at_no_upstream() -> None:
    """Hints of VMs in two failure domains count against an upstream.

    Guards against VMs that are cut off condemning upstreams that serve all others.
    """
    node = build_fleet_node(Fleet(vms=9, upstreams=18), now=STARTED_AT)
    assert not node.heartbeat(now=101.0).is_cut_off
    for dispatcher in node.dispatchers_by_service.values():
        for upstream in dispatcher.upstreams_by_name.values():
            upstream.health.record_failure(101.0)
    assert node.heartbeat(now=103.0).silent_upstreams
    fail(node.reach, 1, at=103.0)
    assert not node.heartbeat(now=103.0).silent_upstreams
    cut_off(node.reach, 104.0)
    heartbeat = node.heartbeat(now=104.0)
    assert heartbeat.is_cut_off
    assert not heartbeat.silent_upstreams


def test_cut_off_vm_grants_no_headroom_for_moved_requests() -> None:
    """Guards against shifts that move requests to a VM which cannot serve them."""
    node = build_fleet_node(Fleet(vms=9, upstreams=18), now=STARTED_AT)
    reply_to = Endpoint("127.0.0.1", 1)
    first, second = (
        HeadroomRequest(
            sender=f"vm-000{number}",
            request_id=number,
            service="registry",
            count=2,
            duration_ms=1_000,
            incarnation=number,
        )
        for number in (1, 2)
    )
    assert node.handle_headroom_request(first, reply_to, 101.0)
    cut_off(node.reach, 101.0)
    assert not node.handle_headroom_request(second, reply_to, 101.1)
