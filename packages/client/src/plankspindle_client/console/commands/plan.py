"""``plankspindle plan``: make and show plans."""

from __future__ import annotations

import click

from plankspindle_client.console.context import api_of
from plankspindle_client.console.context import show_plan
from plankspindle_client.console.context import unwrap_or_exit


@click.group()
def plan() -> None:
    """Work out what a change moves and costs; nothing changes until confirmed."""


@plan.command()
@click.option("--service", required=True)
@click.option("--from", "from_region", required=True, help="Region to move from.")
@click.option("--to", "to_region", required=True, help="Region to move to.")
@click.option(
    "--percent",
    required=True,
    type=click.FloatRange(0, 100),
    help="Largest share of the requests that may move.",
)
@click.option("--id", "shift_id", help="Name of the shift; a known one is replaced.")
@click.pass_context
def shift(
    context: click.Context,
    service: str,
    from_region: str,
    to_region: str,
    percent: float,
    shift_id: str | None,
) -> None:
    """Plan to move part of a service's requests to another region."""
    intent = {
        "kind": "shift",
        "shift_id": shift_id or f"{service}-{from_region}-{to_region}",
        "shift": {
            "service": service,
            "from_region": from_region,
            "to_region": to_region,
            "cap_percent": percent,
        },
    }
    show_plan(context, unwrap_or_exit(api_of(context).post("/v1/plans", intent)))


@plan.command("undo-shift")
@click.argument("shift_id")
@click.pass_context
def undo_shift(context: click.Context, shift_id: str) -> None:
    """Plan to end the shift SHIFT_ID."""
    intent = {"kind": "undo-shift", "shift_id": shift_id}
    show_plan(context, unwrap_or_exit(api_of(context).post("/v1/plans", intent)))


@plan.command()
@click.argument("plan_id")
@click.pass_context
def show(context: click.Context, plan_id: str) -> None:
    """Show the plan PLAN_ID and whether it was accepted."""
    show_plan(context, unwrap_or_exit(api_of(context).get(f"/v1/plans/{plan_id}")))
