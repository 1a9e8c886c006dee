"""Tests of the checker of roll-outs on a correct and on three faulty policies."""

from __future__ import annotations

from plankspindle_daemon.dispatch.version_split import VersionSplit
from plankspindle_testkit.rollouts.modelled_rollout import KEYS
from plankspindle_testkit.rollouts.modelled_rollout import Observed
from plankspindle_testkit.rollouts.modelled_rollout import model_rollout
from plankspindle_testkit.rollouts.rollout_checker import check_rollouts
from plankspindle_testkit.rollouts.rollout_checker import find_missed_duties
from plankspindle_testkit.rollouts.rollout_checker import measure_keys
from plankspindle_testkit.rollouts.rollout_records import PublishedState
from plankspindle_testkit.rollouts.rollout_records import RolloutHistory
from plankspindle_testkit.rollouts.rollout_violation import RolloutRule

MOVE_AT_S, BASELINE_ENDS_AT_S = 6.0, 11.0
MAX_BAD_ANSWERS = 20


def split(target_share: float = 0.0, **others: object) -> VersionSplit:
    return VersionSplit(
        baseline="v1",
        target="v2",
        order=1,
        target_share=target_share,
        **others,  # type: ignore[arg-type]
    )


def correct(observed: Observed) -> VersionSplit:
    if observed.bad_answers >= MAX_BAD_ANSWERS:
        return split(max_exposure_share=0.0)
    return without_roll_back(observed)


def without_roll_back(observed: Observed) -> VersionSplit:
    if observed.now < 0:
        return split()
    if observed.now < MOVE_AT_S:
        return split(0.05)
    if observed.now >= BASELINE_ENDS_AT_S and not observed.baseline_in_flight:
        return split(is_complete=True)
    progress = (observed.now - MOVE_AT_S) / (BASELINE_ENDS_AT_S - MOVE_AT_S)
    return split(max(0.05, progress**2), baseline_ends_at=BASELINE_ENDS_AT_S)


def everything_at_once(observed: Observed) -> VersionSplit:
    return split(0.5)


def complete_too_early(observed: Observed) -> VersionSplit:
    is_complete = observed.now >= BASELINE_ENDS_AT_S
    return split(0.05 if observed.now >= 0 else 0.0, is_complete=is_complete)


def broken_rules(history: RolloutHistory) -> set[RolloutRule]:
    return {each.rule for each in check_rollouts(history)}


def due_states(history: RolloutHistory) -> list[PublishedState]:
    return [each.due for each in find_missed_duties(history)]


def test_correct_policy_on_a_good_version_has_no_violation() -> None:
    history = model_rollout(correct, bad_share=0.0)
    assert [each.state for each in history.state_changes] == [PublishedState.COMPLETE]
    assert broken_rules(history) == set()
    assert due_states(history) == []


def test_correct_policy_on_a_bad_version_has_no_violation() -> None:
    for bad_share in (0.2, 1.0):
        history = model_rollout(correct, bad_share=bad_share)
        assert history.state_changes[0].state is PublishedState.ROLLED_BACK
        assert broken_rules(history) == set()
        assert due_states(history) == []


def test_everything_at_once_is_detected() -> None:
    history = model_rollout(everything_at_once, bad_share=0.5)
    assert broken_rules(history) == {
        RolloutRule.UNNAMED,
        RolloutRule.EXPOSURE,
        RolloutRule.ROLL_BACK,
    }
    good_history = model_rollout(everything_at_once, bad_share=0.0)
    assert broken_rules(good_history) == {RolloutRule.UNNAMED}
    assert due_states(good_history) == [PublishedState.COMPLETE]


def test_missing_roll_back_is_detected() -> None:
    history = model_rollout(without_roll_back, bad_share=0.5)
    assert broken_rules(history) == {RolloutRule.EXPOSURE, RolloutRule.ROLL_BACK}
    assert due_states(history) == [PublishedState.ROLLED_BACK]


def test_completion_while_requests_run_at_the_old_version_is_detected() -> None:
    history = model_rollout(complete_too_early, bad_share=0.0)
    assert broken_rules(history) == {RolloutRule.RUNNING_AT_COMPLETE}
    assert due_states(history) == []


def test_keys_keep_to_their_version_until_they_move() -> None:
    history = model_rollout(complete_too_early, bad_share=0.0)
    keys = measure_keys(history, "desk")
    assert keys.keys == keys.switched_keys == keys.switches == KEYS
