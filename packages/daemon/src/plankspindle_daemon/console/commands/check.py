"""``plankspindled check``: check a settings file."""

from __future__ import annotations

from pathlib import Path

import click

from plankspindle_daemon.console.reporting import settings_or_exit


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
def check(settings: Path) -> None:
    """Check SETTINGS and say what is wrong with it."""
    found = settings_or_exit(settings)
    click.echo(f"{settings}: good, entry VM {found.vm} in {found.failure_domain}")
