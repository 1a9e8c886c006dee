"""Runs of the lab and its command line."""

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
def short_run(seed: int, *, uses_oracle: bool = False) -> Outcomes:
    base = evolve(pattern("learning-at-the-start"), seconds=SHORT_S)
    return LabRun(pattern=base, seed=seed, uses_oracle=uses_oracle).run()


def test_run_is_deterministic_per_seed() -> None:
    base = evolve(pattern("learning-at-the-start"), seconds=SHORT_S)
    again = LabRun(pattern=base, seed=1).run()
    assert again.by_window == short_run(1).by_window
    assert short_run(2).by_window != short_run(1).by_window


def test_every_request_completes_once() -> None:
    base = pattern("learning-at-the-start")
    expected = base.operations_by_name["look-up"].per_s * SHORT_S
    completed = short_run(1).by_outcome.total()
    assert abs(completed - expected) < 5 * expected**0.5


def test_oracle_is_no_worse_than_entry_vms_with_cold_caches() -> None:
    assert short_run(1, uses_oracle=True).worth > short_run(1).worth - 0.01


def test_restarted_entry_vms_fail_their_requests_and_serve_again() -> None:
    outcomes = LabRun(pattern=pattern("entry-vms-restart"), seed=1).run()
    assert outcomes.by_window[9][Outcome.FAILED] > 0.9 * sum(
        outcomes.by_window[9].values()
    )
    assert outcomes.by_window[12][Outcome.ON_TIME] > 0.7 * sum(
        outcomes.by_window[12].values()
    )


def test_overridden_constant_is_restored() -> None:
    for mechanism in MECHANISMS:
        with override_constant(
            mechanism.module, mechanism.constant, mechanism.disabled_value
        ):
            pass
    base = evolve(pattern("learning-at-the-start"), seconds=SHORT_S)
    assert LabRun(pattern=base, seed=1).run().worth == short_run(1).worth


def test_plot_shows_each_outcome() -> None:
    svg = render_plot("a & b", short_run(1))
    assert "a &amp; b" in svg
    assert all(f">{outcome.value}<" in svg for outcome in Outcome)


def test_command_rejects_unknown_pattern_and_malformed_setting() -> None:
    runner = CliRunner()
    missing = runner.invoke(lab, ["run", "no-such-pattern"])
    assert missing.exit_code == 1
    assert "No such file" in missing.output
    malformed = runner.invoke(lab, ["compare", "slow-upstreams", "--set", "odd"])
    assert malformed.exit_code == 2
    assert "MODULE.CONSTANT=NUMBER" in malformed.output
