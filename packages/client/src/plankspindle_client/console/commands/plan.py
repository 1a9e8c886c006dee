"""``plankspindle plan``: make and show plans."""

from __future__ import annotations

import click

from plankspindle_client.console.context import get_api
from plankspindle_client.console.context import print_plan
from plankspindle_client.console.context import print_result
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
@click.option("--ramp-s", default=30.0, help="Time to grow to the cap, in seconds.")
@click.option("--id", "shift_id", help="Name of the shift; a known one is replaced.")
@click.pass_context
def shift(
    context: click.Context,
    service: str,
    from_region: str,
    to_region: str,
    percent: float,
    ramp_s: float,
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
            "ramp_s": ramp_s,
        },
    }
    print_plan(context, unwrap_or_exit(get_api(context).post("/v1/plans", intent)))


@plan.command()
@click.option("--region", help="Region to drain.")
@click.option("--failure-domain", help="Failure domain to drain.")
@click.option(
    "--upstreams-of", help="Failure domain whose upstreams are drained, not its VMs."
)
@click.option("--upstream", help="Upstream to drain.")
@click.option("--vm", help="Entry VM to drain.")
@click.option("--at", type=float, help="Unix time from which it gets nothing new.")
@click.option("--id", "drain_id", help="Name of the drain; a known one is replaced.")
@click.pass_context
def drain(
    context: click.Context,
    region: str | None,
    failure_domain: str | None,
    upstreams_of: str | None,
    upstream: str | None,
    vm: str | None,
    at: float | None,
    drain_id: str | None,
) -> None:
    """Plan to keep new work from a place while running work finishes."""
    names = {
        "region": region,
        "failure-domain": failure_domain,
        "upstreams-of-failure-domain": upstreams_of,
        "upstream": upstream,
        "vm": vm,
    }
    given = {kind: name for kind, name in names.items() if name is not None}
    if len(given) != 1:
        raise click.UsageError(
            "name one of --region, --failure-domain, --upstreams-of, --upstream, --vm"
        )
    kind, name = given.popitem()
    intent = {
        "kind": "drain",
        "drain_id": drain_id or f"{kind}-{name}",
        "drain": {"kind": kind, "name": name, "at": at},
    }
    print_plan(context, unwrap_or_exit(get_api(context).post("/v1/plans", intent)))


@plan.command("undo-drain")
@click.argument("drain_id")
@click.pass_context
def undo_drain(context: click.Context, drain_id: str) -> None:
    """Plan to end the drain DRAIN_ID."""
    intent = {"kind": "undo-drain", "drain_id": drain_id}
    print_plan(context, unwrap_or_exit(get_api(context).post("/v1/plans", intent)))


@plan.command()
@click.argument("version", type=click.IntRange(min=2))
@click.pass_context
def undo(context: click.Context, version: int) -> None:
    """Plan to undo VERSION, which must be the newest one."""
    intent = {"kind": "undo", "version": version}
    print_plan(context, unwrap_or_exit(get_api(context).post("/v1/plans", intent)))


@plan.command("class")
@click.argument("caller")
@click.argument("priority_class")
@click.pass_context
def change_class(context: click.Context, caller: str, priority_class: str) -> None:
    """Plan to serve CALLER as PRIORITY_CLASS."""
    intent = {"kind": "class", "caller": caller, "priority_class": priority_class}
    print_plan(context, unwrap_or_exit(get_api(context).post("/v1/plans", intent)))


@plan.command("list")
@click.pass_context
def list_plans(context: click.Context) -> None:
    """List the plans that are kept."""
    found = unwrap_or_exit(get_api(context).get("/v1/plans"))["plans"]
    lines = (
        f"{each['id']} {each['state']} on version {each['base_version']}"
        f" by {each['operator']}: {each['effects'][0]}"
        for each in found
    )
    print_result(context, found, lines)


@plan.command("undo-shift")
@click.argument("shift_id")
@click.pass_context
def undo_shift(context: click.Context, shift_id: str) -> None:
    """Plan to end the shift SHIFT_ID."""
    intent = {"kind": "undo-shift", "shift_id": shift_id}
    print_plan(context, unwrap_or_exit(get_api(context).post("/v1/plans", intent)))


@plan.command()
@click.argument("plan_id")
@click.pass_context
def show(context: click.Context, plan_id: str) -> None:
    """Show the plan PLAN_ID and whether it was accepted."""
    print_plan(context, unwrap_or_exit(get_api(context).get(f"/v1/plans/{plan_id}")))
