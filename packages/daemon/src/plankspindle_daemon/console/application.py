"""Entry point of ``plankspindled``."""

from __future__ import annotations

import click

from plankspindle_daemon.console.commands.check import check
from plankspindle_daemon.console.commands.run import run


@click.group()
@click.version_option(package_name="plankspindle-daemon")
def main() -> None:
    """Daemon of an entry VM: global traffic steering for callers who pay for it."""


main.add_command(check)
main.add_command(run)
