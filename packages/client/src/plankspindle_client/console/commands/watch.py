"""``plankspindle watch``: the status of a daemon, refreshed periodically."""

from __future__ import annotations

import time

import click

from plankspindle_client.console.commands.status import status_lines
from plankspindle_client.console.context import get_api
from plankspindle_client.console.context import unwrap_or_exit

MIN_INTERVAL_S = 0.2


@click.command()
@click.option(
    "--interval",
    default=2.0,
    type=click.FloatRange(min=MIN_INTERVAL_S),
    help="Seconds between two looks.",
)
@click.option("--count", type=click.IntRange(min=1), help="Looks before it ends.")
@click.pass_context
def watch(context: click.Context, interval: float, count: int | None) -> None:
    """Show the status of a daemon until interrupted."""
    refreshes = 0
    while True:
        lines = status_lines(unwrap_or_exit(get_api(context).get("/state")))
        click.clear()
        click.echo("\n".join(lines))
        refreshes += 1
        if refreshes == count:
            return
        time.sleep(interval)
