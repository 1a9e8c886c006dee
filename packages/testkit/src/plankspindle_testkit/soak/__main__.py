"""Command line of soaks: ``python -m plankspindle_testkit.soak``."""

from __future__ import annotations

import signal
import sys
import time
from collections import Counter
from itertools import count
from pathlib import Path
from typing import TYPE_CHECKING

import click
import yaml
from attrs import evolve
from click.testing import CliRunner

from plankspindle_client.console.application import main as operate
from plankspindle_testkit.soak.fault_minimizer import minimize_faults
from plankspindle_testkit.soak.layout import Layout
from plankspindle_testkit.soak.load import LoadKind
from plankspindle_testkit.soak.load import draw_load
from plankspindle_testkit.soak.soak import Soak
from plankspindle_testkit.soak.soak import SoakPlan
from plankspindle_testkit.soak.soak import SoakResult
from plankspindle_testkit.soak.soak_fault import SoakFault
from plankspindle_testkit.soak.soak_fault import draw_faults
from plankspindle_testkit.soak.soak_fault import read_schedule
from plankspindle_testkit.soak.soak_fault import write_schedule
from plankspindle_testkit.soak.soak_runner import run_and_close

if TYPE_CHECKING:
    from collections.abc import Iterator

REGRESSIONS = Path(__file__).with_name("regressions.yaml")
FAULT_PERIOD_S = 40.0
"""Period in which the faults of one seed begin, in seconds."""
LARGE_VM_COUNT = 16


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--minutes", default=1.0, help="Time to spend on rising seeds.")
@click.option("--seconds", default=FAULT_PERIOD_S, help="Time in which faults begin.")
@click.option("--vms", default=4, help="Entry VMs.")
@click.option(
    "--large", is_flag=True, help=f"Run {LARGE_VM_COUNT} entry VMs, widely loaded."
)
@click.option("--schedule", type=click.File("r"), help="Replay faults of a file.")
@click.option("--shrink", is_flag=True, help="Leave out faults that aren't needed.")
@click.option("--keep-going", is_flag=True, help="Go on after a violation.")
@click.option("--regressions", is_flag=True, help="Replay what ever failed.")
@click.option(
    "--load",
    type=click.Choice([each.value for each in LoadKind]),
    help="What callers do; drawn from the seed if not given.",
)
@click.option("--first-port", default=20_000, help="Where its ports begin.")
def main(
    seed: int,
    minutes: float,
    seconds: float,
    vms: int,
    large: bool,
    schedule: click.File | None,
    shrink: bool,
    keep_going: bool,
    regressions: bool,
    load: str | None,
    first_port: int,
) -> None:
    """Run soaks with rising seeds until the time is spent or a guarantee is violated.

    Only processes that it started are ended, also when it is interrupted.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    if large:
        vms, load = LARGE_VM_COUNT, LoadKind.WIDE.value
    end = time.monotonic() + 60 * minutes
    totals = _Totals()
    drawn_schedules = _draw_schedules(seed, vms, seconds)
    given_schedules = _read_schedules(seed, schedule, regressions=regressions)
    for number, faults in (
        drawn_schedules if given_schedules is None else given_schedules
    ):
        plan = SoakPlan(
            seed=number,
            vms=vms,
            faults=tuple(faults),
            first_port=first_port,
            load=draw_load(number) if load is None else LoadKind(load),
        )
        result = _run(plan)
        totals.add(result)
        click.echo(_format_result(plan, result))
        if result.violation is not None:
            _report_violation(plan, result)
            if shrink:
                _report_minimized(plan, result)
            if not keep_going:
                break
        if time.monotonic() > end:
            break
    click.echo(totals.text())
    sys.exit(1 if totals.broken else 0)


def _run(plan: SoakPlan) -> SoakResult:
    soak = Soak(plan=plan)
    return run_and_close(soak.run, soak.processes)


class _Totals:
    """Sums over the soaks of a run."""

    def __init__(self) -> None:
        self.soaks = self.broken = 0
        self.requests = self.checks = self.drains_watched = 0
        self.faults_by_kind: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()

    def add(self, result: SoakResult) -> None:
        self.soaks += 1
        self.broken += result.violation is not None
        self.requests += result.requests
        self.checks += result.checks
        self.drains_watched += result.drains_watched
        self.faults_by_kind += result.faults_by_kind
        self.outcomes += result.outcomes

    def text(self) -> str:
        """Return the sums on one line."""
        return (
            f"soaks={self.soaks} broken={self.broken} requests={self.requests}"
            f" checks={self.checks} drains_watched={self.drains_watched}"
            f" faults={self.faults_by_kind.total()}"
            f" ({_format_counts(self.faults_by_kind)})"
            f" ends: {_format_counts(self.outcomes)}"
        )


def _format_result(plan: SoakPlan, result: SoakResult) -> str:
    held = "held" if result.violation is None else "broken"
    return (
        f"{held}: seed={plan.seed} load={plan.load.value} requests={result.requests}"
        f" faults={result.faults_by_kind.total()}"
        f" drains_watched={result.drains_watched}"
        f" most_starved_s={result.max_cpu_wait_s:.2f}"
    )


def _format_counts(counts: Counter[str]) -> str:
    return ", ".join(f"{key} {count}" for key, count in sorted(counts.items()))


def _read_schedules(
    seed: int, schedule: click.File | None, *, regressions: bool
) -> list[tuple[int, list[SoakFault]]] | None:
    """Return the schedules given by file or flag; None if they are to be drawn."""
    if schedule is not None:
        try:
            return [(seed, read_schedule(schedule.read()))]  # type: ignore[attr-defined]
        except ValueError as error:
            raise click.ClickException(str(error)) from error
    return load_regressions() if regressions else None


def _draw_schedules(
    seed: int, vms: int, seconds: float
) -> Iterator[tuple[int, list[SoakFault]]]:
    """Draw the schedules of a seed and of all following seeds."""
    layout = Layout(vms=vms)
    for number in count(seed):
        yield (
            number,
            draw_faults(
                number,
                seconds=seconds,
                vms=[place.name for place in layout.places],
                upstreams=list(layout.upstream_endpoints),
            ),
        )


def load_regressions() -> list[tuple[int, list[SoakFault]]]:
    """Read the schedules that once violated a guarantee."""
    entries = yaml.safe_load(REGRESSIONS.read_text(encoding="utf-8")) or []
    return [
        (entry["seed"], [SoakFault(**fault) for fault in entry["faults"]])
        for entry in entries
    ]


def _report_violation(plan: SoakPlan, result: SoakResult) -> None:
    violation = result.violation
    assert violation is not None
    path = result.folder / "schedule.jsonl"
    path.write_text(write_schedule(plan.faults), encoding="utf-8")
    options = f"--seed {plan.seed} --vms {plan.vms} --load {plan.load.value}"
    click.echo(f"broken: {violation.guarantee}: {violation.detail}")
    click.echo(f"  logs: {result.folder}")
    click.echo(f"  replay: {options} --minutes 0 --schedule {path}")
    if violation.log_id:
        logs = [str(each) for each in sorted(result.folder.glob("*-*.log"))]
        explained = CliRunner().invoke(operate, ["explain", violation.log_id, *logs])
        click.echo(explained.output)


def _report_minimized(plan: SoakPlan, result: SoakResult) -> None:
    """Print the faults that are needed for the same violation."""
    assert result.violation is not None
    guarantee = result.violation.guarantee

    def violates(faults: tuple[SoakFault, ...]) -> bool:
        violation = _run(evolve(plan, faults=faults)).violation
        return violation is not None and violation.guarantee == guarantee

    needed = minimize_faults(plan.faults, violates)
    click.echo(f"needed, {len(needed)} of {len(plan.faults)} faults:")
    click.echo(write_schedule(needed))


if __name__ == "__main__":
    main()
