"""Tests of runs of the lab."""

from __future__ import annotations

from functools import cache

from attrs import evolve
from click.testing import CliRunner

from plankspindle_testkit.lab.__main__ import lab
from plankspindle_testkit.lab.lab_run import LabRun
from plankspindle_testkit.lab.mechanisms import MECHANISMS
from plankspindle_testkit.lab.mechanisms import override_constant
from plankspindle_testkit.lab.outcomes import Outcome
from plankspindle_testkit.lab.outcomes import Outcomes
from plankspindle_testkit.lab.pattern import PATTERNS_FOLDER
from plankspindle_testkit.lab.pattern import Pattern
from plankspindle_testkit.lab.pattern import read_pattern
from plankspindle_testkit.lab.plot import render_plot

SHORT_S = 4.0


def pattern(name: str) -> Pattern:
    return read_pattern(PATTERNS_FOLDER / f"{name}.yaml").unwrap()


@cache
def short(seed: int, *, uses_oracle: bool = False) -> Outcomes:
    calm = evolve(pattern("learning-at-the-start"), seconds=SHORT_S)
    return LabRun(pattern=calm, seed=seed, uses_oracle=uses_oracle).run()


def test_a_run_repeats_with_its_seed_only() -> None:
    calm = evolve(pattern("learning-at-the-start"), seconds=SHORT_S)
    again = LabRun(pattern=calm, seed=1).run()
    assert again.by_window == short(1).by_window
    assert short(2).by_window != short(1).by_window


def test_every_request_ends_once() -> None:
    calm = pattern("learning-at-the-start")
    asked = calm.operations_by_name["look-up"].per_s * SHORT_S
    ended = short(1).by_outcome.total()
    assert abs(ended - asked) < 5 * asked**0.5


def test_full_knowledge_is_no_worse_where_keys_are_learned() -> None:
    assert short(1, uses_oracle=True).worth > short(1).worth - 0.01


def test_entry_vms_that_end_fail_their_requests_and_serve_again() -> None:
    outcomes = LabRun(pattern=pattern("entry-vms-restart"), seed=1).run()
    assert outcomes.by_window[9][Outcome.FAILED] > 0.9 * sum(
        outcomes.by_window[9].values()
    )
    assert outcomes.by_window[12][Outcome.ON_TIME] > 0.7 * sum(
        outcomes.by_window[12].values()
    )


def test_a_constant_is_set_for_a_while_only() -> None:
    for mechanism in MECHANISMS:
        with override_constant(
            mechanism.module, mechanism.constant, mechanism.disabled_value
        ):
            pass
    calm = evolve(pattern("learning-at-the-start"), seconds=SHORT_S)
    assert LabRun(pattern=calm, seed=1).run().worth == short(1).worth


def test_the_plot_shows_each_outcome() -> None:
    drawn = render_plot("a & b", short(1))
    assert "a &amp; b" in drawn
    assert all(f">{outcome.value}<" in drawn for outcome in Outcome)


def test_the_command_tells_an_unknown_pattern_and_setting() -> None:
    runner = CliRunner()
    missing = runner.invoke(lab, ["run", "no-such-pattern"])
    assert missing.exit_code == 1
    assert "No such file" in missing.output
    odd = runner.invoke(lab, ["compare", "slow-upstreams", "--set", "odd"])
    assert odd.exit_code == 2
    assert "MODULE.CONSTANT=NUMBER" in odd.output
