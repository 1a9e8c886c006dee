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
@click.option("--cuts/--no-cuts", default=False, help="Partition VMs of a domain.")
def main(seed: int, seconds: float, simulated: float, cuts: bool) -> None:
    """Run trials with rising seeds until the time is up or a guarantee is violated."""
    end = time.monotonic() + seconds
    trials = requests = done = 0
    while time.monotonic() < end:
        result = run_trial(seed=seed, simulated_s=simulated, partitions=cuts)
        if result.violation is not None:
            fault_count = len(result.schedule)
            result = shrink(result, seed=seed, partitions=cuts)
            click.echo(f"broken: seed={seed} {result.violation}")
            click.echo(f"with {len(result.schedule)} of {fault_count} faults:")
            for line in result.trace[-40:]:
                click.echo(f"  {line}")
            sys.exit(1)
        trials += 1
        seed += 1
        requests += result.requests
        done += result.done
    click.echo(
        f"held: trials={trials} simulated_s={trials * simulated:g}"
        f" requests={requests} done={done}"
    )


if __name__ == "__main__":
    main()
