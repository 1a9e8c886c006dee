"""Run the platform stand-in: ``python -m plankspindle_testkit.platform_stand_in``."""

from __future__ import annotations

import click
import curio

from plankspindle_core.endpoint import Endpoint
from plankspindle_testkit.platform_stand_in.platform_stand_in import PlatformStandIn
from plankspindle_testkit.serving import serve_until_killed


@click.command()
@click.argument("endpoint")
def main(endpoint: str) -> None:
    """Serve the platform stand-in on ENDPOINT."""
    stand_in = PlatformStandIn(endpoint=Endpoint.parse(endpoint))
    curio.run(serve_until_killed, [stand_in])


if __name__ == "__main__":
    main()
