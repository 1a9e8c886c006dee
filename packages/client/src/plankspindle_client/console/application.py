"""Entry point of ``plankspindle``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from plankspindle_client.console.commands.config import config
from plankspindle_client.console.commands.confirm import confirm
from plankspindle_client.console.commands.explain import explain
from plankspindle_client.console.commands.history import history
from plankspindle_client.console.commands.plan import plan
from plankspindle_client.console.commands.quarantine import quarantine
from plankspindle_client.console.commands.rollout import rollout
from plankspindle_client.console.commands.rollouts import rollouts
from plankspindle_client.console.commands.routes import routes
from plankspindle_client.console.commands.state import state
from plankspindle_client.console.commands.status import status
from plankspindle_client.console.commands.watch import watch
from plankspindle_client.console.commands.workspaces import workspaces
from plankspindle_client.console.context import EndpointType

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint


@click.group()
@click.option(
    "--daemon",
    "endpoint",
    type=EndpointType(),
    envvar="PLANKSPINDLE_DAEMON",
    help="Operator listener of any daemon.",
)
@click.option(
    "--token", envvar="PLANKSPINDLE_TOKEN", help="Operator token of the settings."
)
@click.option("--output", type=click.Choice(["table", "json"]), default="table")
@click.version_option(package_name="plankspindle-client")
@click.pass_context
def main(
    context: click.Context, endpoint: Endpoint | None, token: str | None, output: str
) -> None:
    """Operate plankspindle: look at daemons, make plans and confirm them.

    Exit status: 0 done, 1 refused, 2 wrong use, 3 another plan came first, 4 daemon or
    platform away, 5 outcome unknown (run the command again).
    """
    context.obj = {"endpoint": endpoint, "token": token, "output": output}


for command in (
    config,
    confirm,
    explain,
    history,
    plan,
    quarantine,
    rollout,
    rollouts,
    routes,
    state,
    status,
    watch,
    workspaces,
):
    main.add_command(command)
