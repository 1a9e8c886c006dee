"""``plankspindle confirm``: put a plan in force."""

from __future__ import annotations

import click

from plankspindle_client.console.context import get_api
from plankspindle_client.console.context import print_result
from plankspindle_client.console.context import unwrap_or_exit


@click.command()
@click.argument("plan_id")
@click.pass_context
def confirm(context: click.Context, plan_id: str) -> None:
    """Confirm the plan PLAN_ID; doing it again is harmless and tells the outcome."""
    plan = unwrap_or_exit(get_api(context).post(f"/v1/plans/{plan_id}/confirm", {}))
    version = plan["base_version"] + 1
    print_result(context, plan, [f"plan {plan['id']} is accepted as version {version}"])
