"""``plankspindle history``: the accepted versions."""

from __future__ import annotations

import click

from plankspindle_client.console.context import get_api
from plankspindle_client.console.context import print_result
from plankspindle_client.console.context import unwrap_or_exit


@click.command()
@click.pass_context
def history(context: click.Context) -> None:
    """Show the newest accepted versions, who confirmed them, and their plans."""
    found = unwrap_or_exit(get_api(context).get("/v1/history"))["versions"]
    lines = (
        f"version {each['version']}: plan {each['plan']} by {each['operator']}"
        for each in found
    )
    print_result(context, found, lines)
