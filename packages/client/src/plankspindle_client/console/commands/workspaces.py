"""``plankspindle workspaces``: limits, home regions and use of workspaces."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import click

from plankspindle_client.console.context import get_api
from plankspindle_client.console.context import print_result
from plankspindle_client.console.context import unwrap_or_exit

if TYPE_CHECKING:
    from collections.abc import Mapping

NO_WORKSPACE = "no workspace; declare one under workspaces in the configuration"


@click.command()
@click.option("--refused", is_flag=True, help="Only workspaces refused at this VM.")
@click.pass_context
def workspaces(context: click.Context, refused: bool) -> None:
    """List workspaces, what this daemon admitted of them and who hands out tokens."""
    found = unwrap_or_exit(get_api(context).get("/state"))["workspaces"]
    shown = {
        name: each for name, each in found.items() if each["refused"] or not refused
    }
    lines = [_render(name, each) for name, each in sorted(shown.items())]
    print_result(context, shown, lines or [NO_WORKSPACE])


def _render(name: str, workspace: Mapping[str, Any]) -> str:
    limit = "no limit"
    if workspace["rate_per_s"]:
        limit = f"{workspace['rate_per_s']:g}/s and {workspace['burst']:g} at once"
    homes = ", ".join(workspace["home_regions"]) or "any region"
    text = (
        f"{name}: {limit}, {workspace['priority_class'] or 'class of the route'},"
        f" {homes}, {workspace['keys']} keys; here {workspace['admitted']} admitted,"
        f" {workspace['refused']} refused"
    )
    if workspace["rate_per_s"]:
        text += f"; tokens come from {workspace['holder'] or 'no VM of this region'}"
    if workspace["share_held"]:
        text += (
            f"; this VM holds {100 * workspace['share_held']:.0f} % of the limit, gave"
            f" {workspace['tokens_given']} tokens and denied"
            f" {workspace['tokens_denied']}"
        )
    return text
