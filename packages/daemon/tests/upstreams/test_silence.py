"""Tests of upstreams that answer nobody, and of what entry VMs tell of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from plankspindle_daemon.upstreams.health import BackedOff
from plankspindle_daemon.upstreams.unresponsive_hints import HINT_DECAY_S
from plankspindle_daemon.upstreams.unresponsive_hints import HINTED_UNRESPONSIVE_S
from plankspindle_testkit.builders import build_reported_upstream

if TYPE_CHECKING:
    from plankspindle_daemon.upstreams.upstream_state import UpstreamState


def hint_from_two_domains(upstream: UpstreamState, now: float) -> None:
    for domain in ("ba-1", "ke-1"):
        upstream.record_hint(domain, now)


def test_a_hint_of_other_vms_counts_as_silence_and_fades() -> None:
    upstream = build_reported_upstream("u")
    assert upstream.unresponsive_s(10.0) == 0.0
    hint_from_two_domains(upstream, 10.0)
    assert upstream.unresponsive_s(10.0) == HINTED_UNRESPONSIVE_S
    later = upstream.unresponsive_s(10.0 + HINT_DECAY_S)
    assert 0.0 < later < HINTED_UNRESPONSIVE_S / 2
    assert upstream.unresponsive_s(10.0 + 20 * HINT_DECAY_S) < 0.01


def test_an_own_answer_after_the_hint_goes_before_it() -> None:
    upstream = build_reported_upstream("u")
    hint_from_two_domains(upstream, 10.0)
    upstream.answered_at = 10.5
    assert upstream.unresponsive_s(10.6) == 0.0


def test_an_own_answer_shortly_before_the_hint_goes_before_it() -> None:
    upstream = build_reported_upstream("u")
    upstream.answered_at = 9.5
    hint_from_two_domains(upstream, 10.0)
    assert upstream.unresponsive_s(10.1) == 0.0


def test_a_domain_that_is_cut_off_from_an_upstream_keeps_nobody_from_it() -> None:
    upstream = build_reported_upstream("u")
    for step in range(20):
        upstream.record_hint("ba-1", 10.0 + 0.1 * step)
    assert upstream.unresponsive_s(12.0) == 0.0


def test_an_upstream_that_was_backed_off_is_told_of_between_trials() -> None:
    upstream = build_reported_upstream("u")
    upstream.answered_at = 10.0
    upstream.health.record_failure(10.0)
    assert not upstream.should_send_hint(10.0)
    upstream.health.state = BackedOff(20.0, 4)
    assert upstream.should_send_hint(15.0)


def test_an_upstream_is_told_of_once_it_was_silent_for_long() -> None:
    upstream = build_reported_upstream("u")
    upstream.start(ticket=1, now=10.0, deadline=20.0)
    assert not upstream.should_send_hint(10.5)
    assert upstream.should_send_hint(12.0)


def test_an_upstream_that_answers_others_is_not_told_of() -> None:
    upstream = build_reported_upstream("u")
    upstream.start(ticket=1, now=10.0, deadline=20.0)
    upstream.answered_at = 11.9
    assert not upstream.should_send_hint(12.0)


def test_a_hint_is_not_passed_on() -> None:
    upstream = build_reported_upstream("u")
    hint_from_two_domains(upstream, 10.0)
    assert not upstream.should_send_hint(10.1)
