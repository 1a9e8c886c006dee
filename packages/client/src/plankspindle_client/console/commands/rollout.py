"""``plankspindle rollout``: move a service to another software version."""

from __future__ import annotations

import click

from plankspindle_client.console.context import get_api
from plankspindle_client.console.context import print_plan
from plankspindle_client.console.context import unwrap_or_exit
from plankspindle_client.console.duration import DurationType

START = "start"


class RolloutGroup(click.Group):
    """Takes arguments that name no subcommand for those of ``start``."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Insert the name of the subcommand if it is left out."""
        is_named = not args or args[0] in self.commands or args[0] == "--help"
        return super().parse_args(ctx, args if is_named else [START, *args])


@click.group(cls=RolloutGroup)
def rollout() -> None:
    """Plan to move a service to another software version, or to end that.

    plankspindle rollout SERVICE VERSION --within 12s is short for rollout start.
    """


@rollout.command(START)
@click.argument("service")
@click.argument("version")
@click.option(
    "--within",
    "duration_ms",
    required=True,
    type=DurationType(),
    help="Time until the deadline, such as 12s.",
)
@click.pass_context
def start(context: click.Context, service: str, version: str, duration_ms: int) -> None:
    """Plan to move SERVICE to upstreams of software version VERSION."""
    intent = {
        "kind": "rollout",
        "service": service,
        "target_version": version,
        "duration_ms": duration_ms,
    }
    print_plan(context, unwrap_or_exit(get_api(context).post("/v1/plans", intent)))


@rollout.command()
@click.argument("service")
@click.pass_context
def abort(context: click.Context, service: str) -> None:
    """Plan to withdraw the order of SERVICE; its requests go back."""
    intent = {"kind": "abort-rollout", "service": service}
    print_plan(context, unwrap_or_exit(get_api(context).post("/v1/plans", intent)))
