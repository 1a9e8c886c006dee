"""Run soaks: ``python -m plankspindle_testkit.soak``."""

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
from plankspindle_testkit.soak.layout import Layout
from plankspindle_testkit.soak.load import LoadKind
from plankspindle_testkit.soak.load import draw_load
from plankspindle_testkit.soak.running import run_and_end
from plankspindle_testkit.soak.shrinking import leave_out
from plankspindle_testkit.soak.soak import Soak
from plankspindle_testkit.soak.soak import SoakPlan
from plankspindle_testkit.soak.soak import SoakVerdict
from plankspindle_testkit.soak.soak_fault import SoakFault
from plankspindle_testkit.soak.soak_fault import draw_faults
from plankspindle_testkit.soak.soak_fault import read_schedule
from plankspindle_testkit.soak.soak_fault import write_schedule

if TYPE_CHECKING:
    from collections.abc import Iterator

REGRESSIONS = Path(__file__).with_name("regressions.yaml")
FAULTS_S = 40.0
"""Time in which the faults of one seed begin, in seconds."""
LARGE_VMS = 16


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--minutes", default=1.0, help="Time to spend on rising seeds.")
@click.option("--seconds", default=FAULTS_S, help="Time in which faults begin.")
@click.option("--vms", default=4, help="Entry VMs.")
@click.option(
    "--large", is_flag=True, help=f"Run {LARGE_VMS} entry VMs, widely loaded."
)
@click.option("--schedule", type=click.File("r"), help="Replay faults of a file.")
@click.option("--shrink", is_flag=True, help="Leave out faults that aren't needed.")
@click.option("--keep-going", is_flag=True, help="Go on after a broken promise.")
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
    """Soak real daemons with rising seeds until the time is spent or a promise breaks.

    Only processes that it started are ended, also when it is interrupted.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    if large:
        vms, load = LARGE_VMS, LoadKind.WIDE.value
    end = time.monotonic() + 60 * minutes
    totals = _Totals()
    drawn = _rising_seeds(seed, vms, seconds)
    given = _given(seed, schedule, regressions=regressions)
    for number, faults in drawn if given is None else given:
        plan = SoakPlan(
            seed=number,
            vms=vms,
            faults=tuple(faults),
            first_port=first_port,
            load=draw_load(number) if load is None else LoadKind(load),
        )
        verdict = _run(plan)
        totals.add(verdict)
        click.echo(_line_of(plan, verdict))
        if verdict.broken is not None:
            _tell(plan, verdict)
            if shrink:
                _shrink(plan, verdict)
            if not keep_going:
                break
        if time.monotonic() > end:
            break
    click.echo(totals.text())
    sys.exit(1 if totals.broken else 0)


def _run(plan: SoakPlan) -> SoakVerdict:
    soak = Soak(plan=plan)
    return run_and_end(soak.run, soak.processes)


class _Totals:
    """Sums over the soaks of a run."""

    def __init__(self) -> None:
        self.soaks = self.broken = 0
        self.requests = self.checks = self.drains_watched = 0
        self.struck_by_kind: Counter[str] = Counter()
        self.ends: Counter[str] = Counter()

    def add(self, verdict: SoakVerdict) -> None:
        self.soaks += 1
        self.broken += verdict.broken is not None
        self.requests += verdict.requests
        self.checks += verdict.checks
        self.drains_watched += verdict.drains_watched
        self.struck_by_kind += verdict.struck_by_kind
        self.ends += verdict.ends

    def text(self) -> str:
        """Tell them on one line."""
        return (
            f"soaks={self.soaks} broken={self.broken} requests={self.requests}"
            f" checks={self.checks} drains_watched={self.drains_watched}"
            f" faults={self.struck_by_kind.total()} ({_list(self.struck_by_kind)})"
            f" ends: {_list(self.ends)}"
        )


def _line_of(plan: SoakPlan, verdict: SoakVerdict) -> str:
    held = "held" if verdict.broken is None else "broken"
    return (
        f"{held}: seed={plan.seed} load={plan.load.value} requests={verdict.requests}"
        f" faults={verdict.struck_by_kind.total()}"
        f" drains_watched={verdict.drains_watched}"
        f" most_starved_s={verdict.most_starved_s:.2f}"
    )


def _list(counts: Counter[str]) -> str:
    return ", ".join(f"{key} {count}" for key, count in sorted(counts.items()))


def _given(
    seed: int, schedule: click.File | None, *, regressions: bool
) -> list[tuple[int, list[SoakFault]]] | None:
    """Give schedules that are read; None if they are to be drawn."""
    if schedule is not None:
        try:
            return [(seed, read_schedule(schedule.read()))]  # type: ignore[attr-defined]
        except ValueError as error:
            raise click.ClickException(str(error)) from error
    return load_regressions() if regressions else None


def _rising_seeds(
    seed: int, vms: int, seconds: float
) -> Iterator[tuple[int, list[SoakFault]]]:
    """Draw schedules of a seed and those after it."""
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
    """Read the schedules that ever failed."""
    entries = yaml.safe_load(REGRESSIONS.read_text(encoding="utf-8")) or []
    return [
        (entry["seed"], [SoakFault(**fault) for fault in entry["faults"]])
        for entry in entries
    ]


def _tell(plan: SoakPlan, verdict: SoakVerdict) -> None:
    broken = verdict.broken
    assert broken is not None
    path = verdict.folder / "schedule.jsonl"
    path.write_text(write_schedule(plan.faults), encoding="utf-8")
    where = f"--seed {plan.seed} --vms {plan.vms} --load {plan.load.value}"
    click.echo(f"broken: {broken.promise}: {broken.detail}")
    click.echo(f"  logs: {verdict.folder}")
    click.echo(f"  replay: {where} --minutes 0 --schedule {path}")
    if broken.request:
        logs = [str(each) for each in sorted(verdict.folder.glob("*-*.log"))]
        told = CliRunner().invoke(operate, ["explain", broken.request, *logs])
        click.echo(told.output)


def _shrink(plan: SoakPlan, verdict: SoakVerdict) -> None:
    """Leave out one fault after the other while the same promise breaks."""
    assert verdict.broken is not None
    promise = verdict.broken.promise

    def breaks(faults: tuple[SoakFault, ...]) -> bool:
        found = _run(evolve(plan, faults=faults)).broken
        return found is not None and found.promise == promise

    needed = leave_out(plan.faults, breaks)
    click.echo(f"needed, {len(needed)} of {len(plan.faults)} faults:")
    click.echo(write_schedule(needed))


if __name__ == "__main__":
    main()
