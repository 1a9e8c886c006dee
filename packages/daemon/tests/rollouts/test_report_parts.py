"""Tests of reports that are too long for one message."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest
from attrs import evolve

from plankspindle_daemon.rollouts.report_parts import split_report
from plankspindle_daemon.rollouts.rollout_evidence import RolloutEvidence
from plankspindle_daemon.wire.codec import decode
from plankspindle_daemon.wire.codec import encode
from plankspindle_daemon.wire.frame import HEAD_BYTES
from plankspindle_daemon.wire.frame import MAX_FRAME_BYTES
from plankspindle_testkit.rollout_fleet import SERVICE
from plankspindle_testkit.rollout_fleet import FakeVersionDispatch
from plankspindle_testkit.rollout_fleet import RolloutFleet
from plankspindle_testkit.rollout_fleet import RolloutVm
from plankspindle_testkit.rollout_report_builders import build_collector
from plankspindle_testkit.rollout_report_builders import build_full_report

if TYPE_CHECKING:
    from plankspindle_daemon.dispatch.version_counts import VersionCounts
    from plankspindle_daemon.peer_messages.peer_message import SendToPeer

SMALL = (1, 300)
LARGE = ((1 << 63) + 1, 255 * ((1 << 64) // 257))


@pytest.mark.parametrize("domains", [1, 3, 6, 22])
@pytest.mark.parametrize("counts", [*SMALL, *LARGE])
@pytest.mark.parametrize("prefix", ["", "service/é-" * 4])
def test_each_part_fits_in_a_frame(domains: int, counts: int, prefix: str) -> None:
    report = build_full_report(domains=domains, answers=counts, prefix=prefix)
    for part in split_report(report):
        assert len(encode(part)) + HEAD_BYTES <= MAX_FRAME_BYTES


def test_short_report_is_one_message() -> None:
    report = build_full_report(domains=1, bad_upstreams=0)
    assert split_report(report) == [report]


def test_rows_of_an_operation_stay_together() -> None:
    parts = split_report(build_full_report(domains=2))
    assert len(parts) > 1
    names = [{row.operation for row in part.bad_upstreams} for part in parts]
    assert sum(len(each) for each in names) == len(set.union(*names))
    for part, bad in zip(parts, names, strict=True):
        assert bad <= {row.operation for row in part.outcomes}


@pytest.mark.parametrize("seed", range(5))
def test_parts_in_any_order_sum_up_as_the_whole(seed: int) -> None:
    report = build_full_report(domains=6)
    parts = [decode(encode(each)).unwrap() for each in split_report(report)]
    Random(seed).shuffle(parts)
    whole, collector = build_collector(), build_collector()
    whole.take(report, None, 1.0)
    for part in (*parts, parts[0]):
        collector.take(part, None, 1.0)  # type: ignore[arg-type]
    sums = whole.report([], 1.0)
    assert collector.report([], 1.0) == sums
    evidence = RolloutEvidence(canary_share=0.05, started_at=0.0)
    for part in split_report(sums):
        evidence.take(part, None, 1.0)
    assert evidence.outcomes() == sums.outcomes


def test_lost_part_leaves_the_earlier_counts() -> None:
    collector = build_collector()
    earlier = build_full_report(domains=6, answers=100)
    for part in split_report(earlier):
        collector.take(part, None, 1.0)
    later = build_full_report(domains=6, answers=200)
    collector.take(split_report(later)[0], None, 2.0)
    answers = {row.baseline_answers for row in collector.report([], 2.0).outcomes}
    assert answers == {100, 200}


def test_vms_send_no_message_that_is_too_long(monkeypatch: pytest.MonkeyPatch) -> None:
    rows = build_full_report(domains=6)
    count, send = FakeVersionDispatch.version_counts, RolloutFleet._send
    sizes: list[int] = []

    def count_all(dispatch: FakeVersionDispatch, service: str) -> VersionCounts:
        found = count(dispatch, service)
        return evolve(found, outcomes=rows.outcomes, bad_upstreams=rows.bad_upstreams)

    def send_measured(
        fleet: RolloutFleet, vm: RolloutVm, effects: list[SendToPeer]
    ) -> None:
        sizes.extend(len(encode(each.message)) + HEAD_BYTES for each in effects)
        send(fleet, vm, effects)

    monkeypatch.setattr(FakeVersionDispatch, "version_counts", count_all)
    monkeypatch.setattr(RolloutFleet, "_send", send_measured)
    fleet = RolloutFleet()
    fleet.run(1.0)
    fleet.give_order(duration_s=20.0)
    fleet.run(2.0)
    assert max(sizes) <= MAX_FRAME_BYTES
    services = [vm.rollouts.rollouts_by_service[SERVICE] for vm in fleet.running()]
    (coordinator,) = [each.coordinator for each in services if each.coordinator]
    assert len(coordinator.evidence.outcomes()) == len(rows.outcomes)
