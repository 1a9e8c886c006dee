"""Tests of the judgement of roll-outs on seeded loads of a modelled fleet."""

from __future__ import annotations

import pytest

from plankspindle_testkit.rollout_model.load import ModelFault
from plankspindle_testkit.rollout_model.model_run import ModelResult
from plankspindle_testkit.rollout_model.model_run import ModelRun
from plankspindle_testkit.rollout_model.model_run import SequentialJudge

PER_S = 1_000.0
SEEDS = range(20)
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_S = 5.0


def results(fault: ModelFault) -> list[ModelResult]:
    return [
        ModelRun(fault=fault, per_s=PER_S, judge=SequentialJudge(), seed=seed).run()
        for seed in SEEDS
    ]


@pytest.mark.parametrize(
    "fault",
    [
        ModelFault(name="good"),
        ModelFault(name="one upstream fails", failing=1.0, grey_upstreams=1),
        ModelFault(name="a domain slow at both", slowness=4, hits_baseline=True),
        ModelFault(
            name="one domain slow at both", slowness=4, hits_baseline=True, domain=2
        ),
        ModelFault(name="both fail", failing=0.05, hits_baseline=True),
        ModelFault(name="both fail later", failing=0.4, from_s=5, hits_baseline=True),
        ModelFault(name="both slow later", slowness=4, from_s=5, hits_baseline=True),
        ModelFault(
            name="both fail while moving", failing=0.4, from_s=9, hits_baseline=True
        ),
        ModelFault(
            name="both slow while moving", slowness=4, from_s=9, hits_baseline=True
        ),
    ],
    ids=lambda fault: fault.name,
)
def test_good_version_is_not_rolled_back(fault: ModelFault) -> None:
    assert [each.halted_at for each in results(fault)] == [None] * len(SEEDS)


@pytest.mark.parametrize(
    "fault",
    [
        ModelFault(name="all fail", failing=1.0),
        ModelFault(name="30 % fail", failing=0.3),
        ModelFault(name="10 % fail", failing=0.1),
        ModelFault(name="30 % fail later", failing=0.3, from_s=6.0),
        ModelFault(name="30 % fail while moving", failing=0.3, from_s=9.0),
        ModelFault(name="30 % fail under load", failing=0.3, min_load=0.9),
        ModelFault(name="three times slower", slowness=3.0),
    ],
    ids=lambda fault: fault.name,
)
def test_bad_version_is_rolled_back_within_its_bounds(fault: ModelFault) -> None:
    for result in results(fault):
        assert result.halted_at is not None
        assert result.exposed <= EXPOSURE_SHARE * result.requests + EXPOSURE_SLACK
        if result.fiftieth_bad_at is not None:
            assert result.last_sent_at <= result.fiftieth_bad_at + ROLLBACK_S
