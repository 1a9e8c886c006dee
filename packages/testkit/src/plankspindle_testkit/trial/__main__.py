"""Run randomised trials: ``python -m plankspindle_testkit.trial``."""

from __future__ import annotations

import sys
import time

import click

from plankspindle_testkit.trial.shrinking import shrink
from plankspindle_testkit.trial.standard_trial import run_trial


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seconds", default=10.0, help="Real time to spend.")
@click.option("--simulated", default=120.0, help="Simulated seconds of each trial.")
@click.option("--cuts/--no-cuts", default=False, help="Cut VMs of a domain apart.")
def main(seed: int, seconds: float, simulated: float, cuts: bool) -> None:
    """Run trials with rising seeds until the time is spent or a promise breaks."""
    end = time.monotonic() + seconds
    trials = requests = done = 0
    while time.monotonic() < end:
        verdict = run_trial(seed=seed, simulated_s=simulated, partitions=cuts)
        if verdict.violation is not None:
            drawn = len(verdict.schedule)
            verdict = shrink(verdict, seed=seed, partitions=cuts)
            click.echo(f"broken: seed={seed} {verdict.violation}")
            click.echo(f"with {len(verdict.schedule)} of {drawn} faults:")
            for line in verdict.trace[-40:]:
                click.echo(f"  {line}")
            sys.exit(1)
        trials += 1
        seed += 1
        requests += verdict.requests
        done += verdict.done
    click.echo(
        f"held: trials={trials} simulated_s={trials * simulated:g}"
        f" requests={requests} done={done}"
    )


if __name__ == "__main__":
    main()
