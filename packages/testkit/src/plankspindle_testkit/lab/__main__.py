"""Command line of the lab: run patterns, compare settings, disable mechanisms."""

from __future__ import annotations

from contextlib import ExitStack
from pathlib import Path
from statistics import mean
from typing import TYPE_CHECKING

import click
from attrs import frozen

from plankspindle_testkit.bench.table import print_table
from plankspindle_testkit.lab.lab_run import LabRun
from plankspindle_testkit.lab.mechanisms import MECHANISMS
from plankspindle_testkit.lab.mechanisms import override_constant
from plankspindle_testkit.lab.outcomes import Outcome
from plankspindle_testkit.lab.pattern import PATTERNS_FOLDER
from plankspindle_testkit.lab.pattern import Pattern
from plankspindle_testkit.lab.pattern import read_pattern
from plankspindle_testkit.lab.plot import render_plot

if TYPE_CHECKING:
    from collections.abc import Sequence

    from plankspindle_testkit.lab.outcomes import Outcomes

DEFAULT_SEED_COUNT = 3


@frozen(kw_only=True)
class _Override:
    module: str
    constant: str
    value: float


class _SettingType(click.ParamType[_Override]):
    name = "MODULE.CONSTANT=VALUE"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> _Override:
        target, _, number = str(value).partition("=")
        module, _, constant = target.rpartition(".")
        try:
            return _Override(module=module, constant=constant, value=float(number))
        except ValueError:
            self.fail(f"{value!r} is not MODULE.CONSTANT=NUMBER", param, ctx)


def _pattern(name: str) -> Pattern:
    path = Path(name)
    if not path.exists():
        path = PATTERNS_FOLDER / f"{name}.yaml"
    read = read_pattern(path)
    if read.is_err():
        raise click.ClickException(read.unwrap_err())
    return read.unwrap()


def _names(patterns: Sequence[str]) -> list[str]:
    return list(patterns) or sorted(
        path.stem for path in PATTERNS_FOLDER.glob("*.yaml")
    )


def _run_seeds(
    pattern: Pattern, seeds: int, *, uses_oracle: bool = False
) -> list[Outcomes]:
    return [
        LabRun(pattern=pattern, seed=seed, uses_oracle=uses_oracle).run()
        for seed in range(1, seeds + 1)
    ]


def _mean_worths(patterns: Sequence[Pattern], seeds: int) -> list[float]:
    return [mean(each.worth for each in _run_seeds(one, seeds)) for one in patterns]


def _table_row(name: str, outcomes: list[Outcomes]) -> list[str]:
    worths = [each.worth for each in outcomes]
    counts = [
        f"{mean(each.by_outcome[outcome] for each in outcomes):.0f}"
        for outcome in Outcome
    ]
    spread = f"{min(worths):.3f} to {max(worths):.3f}"
    return [name, f"{mean(worths):.3f}", spread, *counts]


_HEAD = ["", "worth", "of the seeds", *(outcome.value for outcome in Outcome)]


@click.group()
def lab() -> None:
    """Try the decisions on modelled loads, without a network."""


@lab.command()
@click.argument("patterns", nargs=-1)
@click.option(
    "--seeds", default=DEFAULT_SEED_COUNT, show_default=True, help="Runs of each."
)
@click.option("--oracle/--no-oracle", default=True, help="Also with full knowledge.")
@click.option("--plot", type=click.Path(path_type=Path), help="Write an SVG here.")
def run(patterns: Sequence[str], seeds: int, oracle: bool, plot: Path | None) -> None:
    """Run patterns: all that ship, or the named ones and files."""
    rows = []
    for name in _names(patterns):
        pattern = _pattern(name)
        outcomes = _run_seeds(pattern, seeds)
        rows.append(_table_row(pattern.name, outcomes))
        if oracle:
            oracle_outcomes = _run_seeds(pattern, seeds, uses_oracle=True)
            rows.append(_table_row("  with full knowledge", oracle_outcomes))
        if plot is not None:
            plot.write_text(render_plot(pattern.name, outcomes[0]))
    print_table("Lab", _HEAD, rows)


@lab.command()
@click.argument("pattern")
@click.option("--set", "sets", type=_SettingType(), multiple=True, required=True)
@click.option("--seeds", default=DEFAULT_SEED_COUNT, show_default=True)
def compare(pattern: str, sets: Sequence[_Override], seeds: int) -> None:
    """Run a pattern as it is, and with constants set otherwise."""
    found = _pattern(pattern)
    rows = [_table_row("as it is", _run_seeds(found, seeds))]
    with ExitStack() as stack:
        for each in sets:
            stack.enter_context(
                override_constant(each.module, each.constant, each.value)
            )
        rows.append(_table_row("as set", _run_seeds(found, seeds)))
    print_table("Lab", _HEAD, rows)


@lab.command()
@click.argument("patterns", nargs=-1)
@click.option("--seeds", default=DEFAULT_SEED_COUNT, show_default=True)
def ablate(patterns: Sequence[str], seeds: int) -> None:
    """Switch off each mechanism in turn."""
    found = [_pattern(name) for name in _names(patterns)]
    bases = _mean_worths(found, seeds)
    rows = [["as it is", *(f"{base:.3f}" for base in bases)]]
    for mechanism in MECHANISMS:
        with override_constant(
            mechanism.module, mechanism.constant, mechanism.disabled_value
        ):
            worths = _mean_worths(found, seeds)
        changes = [f"{w - base:+.3f}" for w, base in zip(worths, bases, strict=True)]
        rows.append([f"without: {mechanism.name}", *changes])
    print_table("Change of the worth", ["", *(each.name for each in found)], rows)


if __name__ == "__main__":
    lab()
