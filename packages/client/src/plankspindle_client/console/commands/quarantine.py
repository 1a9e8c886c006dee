"""``plankspindle quarantine``: requests under which upstreams crash."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import click

from plankspindle_client.console.context import get_api
from plankspindle_client.console.context import print_result
from plankspindle_client.console.context import unwrap_or_exit

if TYPE_CHECKING:
    from collections.abc import Mapping

NO_QUARANTINED_REQUEST = "no request is held back"


@click.command()
@click.option(
    "--lift", "identity", metavar="IDENTITY", help="Release a request at all entry VMs."
)
@click.pass_context
def quarantine(context: click.Context, identity: str | None) -> None:
    """List the requests that are held back since upstreams crashed under them."""
    api = get_api(context)
    if identity is not None:
        lifted = unwrap_or_exit(api.post("/v1/quarantine/lift", {"identity": identity}))
        print_result(
            context, lifted, [f"{lifted['lifted']} is sent to upstreams again"]
        )
        return
    found = unwrap_or_exit(api.get("/state"))["quarantine"]["requests"]
    lines = [_render(name, each) for name, each in found.items()]
    print_result(context, found, lines or [NO_QUARANTINED_REQUEST])


def _render(name: str, held: Mapping[str, Any]) -> str:
    return (
        f"{name}: held back for {held['for_s']:.0f} s, let through {held['trials']}"
        f" times, next in {max(0.0, held['next_trial_s']):.0f} s"
    )
