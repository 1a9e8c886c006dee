"""Run upstream stand-ins: ``python -m plankspindle_testkit.upstream_stand_in``."""

from __future__ import annotations

import click
import curio

from plankspindle_core.endpoint import Endpoint
from plankspindle_testkit.serving import serve_until_killed
from plankspindle_testkit.upstream_stand_in.behaviour import Behaviour
from plankspindle_testkit.upstream_stand_in.upstream_stand_in import UpstreamStandIn


@click.command()
@click.option("--service-ms", default=5.0, help="Time that a request takes.")
@click.option("--fail-every", default=0, help="Fail every so many-th request.")
@click.argument("upstreams", nargs=-1, required=True)
def main(service_ms: float, fail_every: int, upstreams: tuple[str, ...]) -> None:
    """Serve UPSTREAMS, each NAME=IP:PORT=SLOTS."""
    servers = [
        _make(each, Behaviour(service_ms=service_ms, fail_every=fail_every))
        for each in upstreams
    ]
    curio.run(serve_until_killed, servers)


def _make(text: str, behaviour: Behaviour) -> UpstreamStandIn:
    name, endpoint, slots = text.split("=")
    return UpstreamStandIn(
        endpoint=Endpoint.parse(endpoint),
        name=name,
        slots=int(slots),
        behaviour=behaviour,
    )


if __name__ == "__main__":
    main()
