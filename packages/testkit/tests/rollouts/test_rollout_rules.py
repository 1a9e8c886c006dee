"""Tests of single rules on roll-outs, with records that break just one of them."""

from __future__ import annotations

import pytest
from attrs import evolve

from plankspindle_testkit.rollouts.exposure_checks import measure_exposure
from plankspindle_testkit.rollouts.modelled_rollout import BOUNDS
from plankspindle_testkit.rollouts.rollout_checker import check_rollouts
from plankspindle_testkit.rollouts.rollout_checker import find_missed_duties
from plankspindle_testkit.rollouts.rollout_checker import measure_keys
from plankspindle_testkit.rollouts.rollout_records import Arrival
from plankspindle_testkit.rollouts.rollout_records import PublishedState
from plankspindle_testkit.rollouts.rollout_records import RolloutHistory
from plankspindle_testkit.rollouts.rollout_records import RolloutOrder
from plankspindle_testkit.rollouts.rollout_records import Span
from plankspindle_testkit.rollouts.rollout_records import StateChange
from plankspindle_testkit.rollouts.rollout_records import StoreSpan
from plankspindle_testkit.rollouts.rollout_records import UpstreamEnd
from plankspindle_testkit.rollouts.rollout_violation import RolloutRule

GOOD = RolloutOrder(service="desk", target="v2", ordered_at=0.0, deadline=12.0)
BAD = evolve(GOOD, is_bad=True)
FIFTIETH_BAD_AT = 4.9
LATE_S = FIFTIETH_BAD_AT + BOUNDS.rollback_s + 0.1


def arrival(at: float, software_version: str = "v2", **others: object) -> Arrival:
    values: dict[str, object] = {
        "request": f"{at:.3f}-{software_version}",
        "service": "desk",
        "software_version": software_version,
        "upstream": software_version,
        "vm": "a",
        "sent_at": at,
        "arrived_at": at,
        "ended_at": at,
    }
    return Arrival(**values | others)  # type: ignore[arg-type]


def change(state: PublishedState, at: float) -> StateChange:
    return StateChange(service="desk", target="v2", state=state, at=at)


def history(
    order: RolloutOrder, *arrivals: Arrival, **others: object
) -> RolloutHistory:
    return RolloutHistory(
        bounds=BOUNDS,
        baseline_by_service={"desk": "v1"},
        orders=(order,),
        arrivals=arrivals,
        **others,  # type: ignore[arg-type]
    )


def bad_answers(number: int) -> list[Arrival]:
    return [arrival(0.1 * each, is_bad=True) for each in range(number)]


def broken_rules(records: RolloutHistory) -> list[RolloutRule]:
    return [each.rule for each in check_rollouts(records)]


@pytest.mark.parametrize(("exposed", "found"), [(60, []), (61, [RolloutRule.EXPOSURE])])
def test_exposure_is_bounded_by_share_and_slack(
    exposed: int, found: list[RolloutRule]
) -> None:
    baseline = [arrival(0.01 * each, "v1") for each in range(100 - exposed)]
    target = [arrival(0.01 * each) for each in range(exposed)]
    records = history(BAD, *baseline, *target)
    assert broken_rules(records) == found
    assert broken_rules(evolve(records, orders=(GOOD,))) == []
    assert measure_exposure(records, BAD).exposed == exposed


def test_exposure_counts_each_attempt_but_each_request_once() -> None:
    attempts = [arrival(1.0, request="one") for _ in range(52)]
    assert broken_rules(history(BAD, *attempts)) == [RolloutRule.EXPOSURE]


def test_exposure_by_vms_out_of_touch_or_after_the_deadline_does_not_count() -> None:
    target = [arrival(1.0 + 0.01 * each, vm="a") for each in range(80)]
    records = history(BAD, *target, out_of_touch_by_vm={"a": (Span(begin=0, end=2),)})
    assert broken_rules(records) == []
    assert broken_rules(evolve(records, out_of_touch_by_vm={})) == [
        RolloutRule.EXPOSURE
    ]
    after = [arrival(12.01 + 0.01 * each) for each in range(80)]
    assert broken_rules(history(BAD, *after)) == []


@pytest.mark.parametrize(
    ("number", "late_s", "found"),
    [
        (49, LATE_S, []),
        (50, LATE_S - 0.2, []),
        (50, LATE_S, [RolloutRule.ROLL_BACK]),
    ],
)
def test_bad_version_gets_nothing_after_its_roll_back_was_due(
    number: int, late_s: float, found: list[RolloutRule]
) -> None:
    assert broken_rules(history(BAD, *bad_answers(number), arrival(late_s))) == found


def test_bad_answers_count_since_the_store_was_last_unstable() -> None:
    records = history(BAD, *bad_answers(50), arrival(LATE_S))
    early = StoreSpan(begin=-5.0, end=-1.0)
    assert broken_rules(evolve(records, store_unstable=(early,))) == [
        RolloutRule.ROLL_BACK
    ]
    for span in (StoreSpan(begin=0, end=0.05), StoreSpan(begin=9.0, end=20.0)):
        assert broken_rules(evolve(records, store_unstable=(span,))) == []


def test_bound_is_extended_while_an_unstable_store_answers_all() -> None:
    bounds = evolve(BOUNDS, outer_s=6.0)
    span = StoreSpan(begin=-1.0, end=30.0, answers_all=True)
    for late_s, found in ((LATE_S + 5.9, []), (LATE_S + 6, [RolloutRule.ROLL_BACK])):
        records = history(
            BAD, *bad_answers(50), arrival(late_s), store_unstable=(span,)
        )
        assert broken_rules(evolve(records, bounds=bounds)) == found


def test_version_that_no_order_names_gets_nothing() -> None:
    early = history(GOOD, arrival(-0.1), out_of_touch_by_vm={"a": (Span(begin=-9),)})
    assert broken_rules(early) == [RolloutRule.UNNAMED]
    third = history(GOOD, arrival(5.0, "v3"))
    assert broken_rules(third) == [RolloutRule.UNNAMED]
    assert broken_rules(history(GOOD, arrival(5.0), arrival(-5.0, "v1"))) == []


def test_target_gets_nothing_after_its_roll_back() -> None:
    rolled_back = (change(PublishedState.ROLLED_BACK, 3.0),)
    for at, found in ((8.0, []), (8.1, [RolloutRule.ENDED])):
        records = history(GOOD, arrival(at), state_changes=rolled_back)
        assert broken_rules(records) == found


def test_target_gets_nothing_after_the_withdrawal_unless_complete() -> None:
    order = evolve(GOOD, withdrawn_at=3.0)
    assert broken_rules(history(order, arrival(8.1))) == [RolloutRule.ENDED]
    again = evolve(GOOD, ordered_at=8.0, deadline=20.0)
    records = history(order, arrival(8.1))
    assert broken_rules(evolve(records, orders=(order, again))) == []
    complete = (change(PublishedState.COMPLETE, 2.0),)
    assert broken_rules(history(order, arrival(8.1), state_changes=complete)) == []


def test_order_of_the_version_in_force_may_be_withdrawn() -> None:
    order = evolve(GOOD, target="v1", withdrawn_at=3.0)
    assert broken_rules(history(order, arrival(9.0, "v1"))) == []


def test_old_version_neither_runs_nor_gets_requests_after_completion() -> None:
    complete = (change(PublishedState.COMPLETE, 5.0),)
    running = arrival(4.0, "v1", ended_at=5.1)
    sent = arrival(5.0, "v1")
    for old, rule in (
        (running, RolloutRule.RUNNING_AT_COMPLETE),
        (sent, RolloutRule.SENT_AFTER_COMPLETE),
    ):
        records = history(GOOD, old, state_changes=complete)
        assert broken_rules(records) == [rule]
        cut_off = {"a": (Span(begin=4.5, end=6.0),)}
        assert broken_rules(evolve(records, out_of_touch_by_vm=cut_off)) == []
    ended = arrival(4.0, "v1", ended_at=4.9)
    assert broken_rules(history(GOOD, ended, state_changes=complete)) == []
    back = evolve(GOOD, target="v1", ordered_at=4.9, deadline=20.0)
    records = history(GOOD, sent, state_changes=complete)
    assert broken_rules(evolve(records, orders=(GOOD, back))) == []


def test_drained_upstream_gets_nothing() -> None:
    ends = (UpstreamEnd(upstream="v2", at=6.0),)
    for at, found in ((9.0, []), (9.1, [RolloutRule.DRAINED])):
        assert broken_rules(history(GOOD, arrival(at), upstream_ends=ends)) == found


def test_roll_out_has_one_end() -> None:
    both = (
        change(PublishedState.RUNNING, 1.0),
        change(PublishedState.ROLLED_BACK, 3.0),
        change(PublishedState.COMPLETE, 4.0),
    )
    assert broken_rules(history(GOOD, state_changes=both)) == [RolloutRule.TWO_ENDS]
    assert broken_rules(history(GOOD, state_changes=both[:2])) == []


@pytest.mark.parametrize(
    ("order", "state", "at", "missed"),
    [
        (GOOD, PublishedState.COMPLETE, 12.0, 0),
        (GOOD, PublishedState.COMPLETE, 12.1, 1),
        (GOOD, PublishedState.ROLLED_BACK, 5.0, 1),
        (BAD, PublishedState.ROLLED_BACK, 5.0, 0),
        (BAD, PublishedState.COMPLETE, 5.0, 1),
        (evolve(GOOD, withdrawn_at=5.0), PublishedState.RUNNING, 1.0, 0),
    ],
)
def test_missed_duty_is_no_violation(
    order: RolloutOrder, state: PublishedState, at: float, missed: int
) -> None:
    records = history(order, state_changes=(change(state, at),))
    assert len(find_missed_duties(records)) == missed
    assert broken_rules(records) == []


def test_key_switches_count_first_attempts_only() -> None:
    arrivals = [
        arrival(1.0, "v1", key="k"),
        arrival(2.0, "v2", key="k", request="repeated"),
        arrival(2.1, "v1", key="k", request="repeated"),
        arrival(3.0, "v2", key="k"),
        arrival(4.0, "v1", key="other"),
        arrival(5.0, "v1"),
    ]
    keys = measure_keys(history(GOOD, *arrivals), "desk")
    assert (keys.keys, keys.switched_keys, keys.switches) == (2, 1, 1)
