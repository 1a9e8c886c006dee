"""``plankspindle state``: dump the state of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from plankspindle_client.console.context import EndpointType
from plankspindle_client.console.context import print_json
from plankspindle_client.console.context import unwrap_or_exit
from plankspindle_client.operator_api import OperatorApi

if TYPE_CHECKING:
    from plankspindle_core.endpoint import Endpoint


@click.command()
@click.argument("address", type=EndpointType())
@click.pass_context
def state(context: click.Context, address: Endpoint) -> None:
    """Dump the state of the daemon whose operator listener is ADDRESS, as JSON."""
    api = OperatorApi(endpoint=address, token=context.obj["token"])
    print_json(unwrap_or_exit(api.get("/state")))
