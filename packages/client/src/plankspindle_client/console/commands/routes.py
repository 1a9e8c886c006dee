"""``plankspindle routes``: which service answers a host and path."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import click

from plankspindle_client.console.context import get_api
from plankspindle_client.console.context import print_result
from plankspindle_client.console.context import unwrap_or_exit

if TYPE_CHECKING:
    from collections.abc import Mapping

NO_ROUTE = "no route; declare one under routes in the configuration"


@click.command()
@click.option("--host", help="Only the routes of this host.")
@click.option("--path", help="Only the route that a request for this path would take.")
@click.pass_context
def routes(context: click.Context, host: str | None, path: str | None) -> None:
    """List the routes in force at a daemon."""
    found = unwrap_or_exit(get_api(context).get("/v1/configuration"))
    declared = found["configuration"].get("routes", {})
    chosen = choose_routes(declared, host=host, path=path)
    lines = [render_route(name, route) for name, route in chosen.items()]
    print_result(context, chosen, lines or [NO_ROUTE])


def choose_routes(
    routes_by_name: Mapping[str, Any], *, host: str | None, path: str | None
) -> dict[str, Any]:
    """Return the routes of a host, or for a path the matching route of each host.

    Parameters
    ----------
    routes_by_name : mapping of str to dict
        Routes as in the configuration.
    host : str, optional
        Only routes of this host; all hosts if not given.
    path : str, optional
        Path without query; all paths if not given.

    Returns
    -------
    dict
        Routes by name, ordered by host and then with the longest prefix first.
    """
    fitting = [
        (name, route)
        for name, route in routes_by_name.items()
        if (host is None or route["host"] == host.lower())
        and (path is None or path.startswith(route["path_prefix"]))
    ]
    fitting.sort(key=lambda each: (each[1]["host"], -len(each[1]["path_prefix"])))
    if path is None:
        return dict(fitting)
    longest: dict[str, str] = {}
    for name, route in fitting:
        longest.setdefault(route["host"], name)
    return {name: route for name, route in fitting if name in longest.values()}


def render_route(name: str, route: Mapping[str, Any]) -> str:
    """Render a route as one line."""
    total = sum(part["weight"] for part in route["parts"])
    services = ", ".join(
        f"{part['service']} {100 * part['weight'] / total:.0f} %"
        for part in route["parts"]
    )
    repeat = "idempotent" if route["idempotent"] else "at most once"
    homes = ", ".join(route["home_regions"]) or "any region"
    return (
        f"{route['host']}{route['path_prefix']} ({name}): {services};"
        f" {route['priority_class']}, {repeat}, wanted in {route['target_ms']} ms,"
        f" at most {route['timeout_ms']} ms, {homes}"
    )
