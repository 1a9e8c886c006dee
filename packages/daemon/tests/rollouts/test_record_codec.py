"""Records of roll-outs in rows, and in the product's own table service."""

from __future__ import annotations

import io
import json
from random import Random
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import hypothesis.strategies as st
import pytest
from attrs import evolve
from hypothesis import given

from plankspindle_core.logs.key_value_destination import start_logging
from plankspindle_core.logs.key_value_destination import stop_logging
from plankspindle_daemon.platform.errors import ConditionFailed
from plankspindle_daemon.platform.errors import PlatformUnavailable
from plankspindle_daemon.rollouts.platform_rollout_records import PlatformRolloutRecords
from plankspindle_daemon.rollouts.record_codec import RECORDED_STAGES
from plankspindle_daemon.rollouts.record_codec import decode_record
from plankspindle_daemon.rollouts.record_codec import encode_record
from plankspindle_daemon.rollouts.rollout_record import RolloutRecord
from plankspindle_daemon.rollouts.stage import Stage
from plankspindle_testkit.trial.fake_platform import FakePlatform
from plankspindle_testkit.trial.fake_platform import run_to_completion

if TYPE_CHECKING:
    from plankspindle_daemon.platform.platform_client import PlatformClient

RECORD = RolloutRecord(
    service="registry",
    baseline_version="v1",
    order=(1 << 64) - 1,
    target_version="v2",
    duration_ms=12_000,
    stage=Stage.MOVING,
    ordered_at_s=51.25,
    moving_at_s=55.0,
    ends_at_s=62.5,
)
VALUE = encode_record(RECORD)
UNUSUAL = st.sampled_from(
    [None, True, -1, 1 << 64, 10**400, "", "halted", "\ud800", [], {}]
) | st.floats(allow_nan=True)


@pytest.mark.parametrize("stage", sorted(RECORDED_STAGES, key=lambda each: each.value))
def test_record_round_trips_through_json(stage: Stage) -> None:
    record = evolve(RECORD, stage=stage)
    value = json.loads(json.dumps(encode_record(record)))
    assert decode_record("registry", value) == record


def test_decision_to_roll_back_is_not_recorded() -> None:
    with pytest.raises(ValueError, match="never recorded"):
        encode_record(evolve(RECORD, stage=Stage.HALTED))


@given(key=st.sampled_from(sorted(VALUE)), value=UNUSUAL)
def test_any_value_of_a_field_is_read_as_a_sendable_record_or_none(
    key: str, value: Any
) -> None:
    found = decode_record("registry", {**VALUE, key: value})
    if found is not None:
        assert found.stage in RECORDED_STAGES
        assert found.baseline_version.encode() or found.target_version.encode()
        assert 0 <= found.order < 1 << 64


@pytest.mark.parametrize(
    "value",
    [
        {},
        [],
        "text",
        7,
        {**VALUE, "service": "another"},
        {**VALUE, "stage": "halted"},
        {**VALUE, "order": 9.0},
        {**VALUE, "ends_at_s": float("inf")},
        {key: VALUE[key] for key in VALUE if key != "order"},
    ],
)
def test_damaged_record_is_none_and_logged(value: Any) -> None:
    stream = io.StringIO()
    log = start_logging(stream=stream)
    try:
        assert decode_record("registry", value) is None
    finally:
        stop_logging(log)
    assert "event=rollout_record_unreadable service=registry" in stream.getvalue()


def build_records(platform: FakePlatform) -> PlatformRolloutRecords:
    return PlatformRolloutRecords(
        platform=cast("PlatformClient", platform), wall_clock=lambda: 1_000.0
    )


def test_record_is_kept_on_condition_that_the_row_is_as_read() -> None:
    records = build_records(FakePlatform(random=Random(1), fault_rate=0.0))
    absent = run_to_completion(records.read("registry")).unwrap()
    assert (absent.record, absent.store_now_s) == (None, 1_000.0)
    assert run_to_completion(records.write(RECORD, replacing=absent.row)).is_ok()
    assert run_to_completion(records.read("registry")).unwrap().record == RECORD
    complete = evolve(RECORD, stage=Stage.COMPLETE)
    again = run_to_completion(records.write(complete, replacing=absent.row))
    assert isinstance(again.unwrap_err(), ConditionFailed)
    assert run_to_completion(records.read("registry")).unwrap().record == RECORD


def test_lost_answer_is_settled_by_a_read() -> None:
    platform = FakePlatform(random=Random(1), fault_rate=0.0)
    records = build_records(platform)
    row = run_to_completion(records.read("registry")).unwrap().row
    platform.fault_rate, platform.forced_write_fault = 1.0, "answer-lost"
    lost = run_to_completion(records.write(RECORD, replacing=row))
    assert isinstance(lost.unwrap_err(), PlatformUnavailable)
    assert run_to_completion(records.read("registry")).unwrap().record == RECORD
