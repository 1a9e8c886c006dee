"""``plankspindle config``: check, show and apply configurations."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from plankspindle_client.console.context import EXIT_USAGE
from plankspindle_client.console.context import api_of
from plankspindle_client.console.context import show_json
from plankspindle_client.console.context import show_plan
from plankspindle_client.console.context import unwrap_or_exit
from plankspindle_core.configuration.codec import configuration_from_yaml
from plankspindle_core.configuration.codec import configuration_to_mapping

if TYPE_CHECKING:
    from plankspindle_core.configuration.configuration import Configuration


@click.group()
def config() -> None:
    """Work with the configuration that all daemons share."""


@config.command()
@click.argument("file", type=click.Path(path_type=Path))
def validate(file: Path) -> None:
    """Check the configuration FILE and say what is wrong with it."""
    found = _read_or_exit(file)
    click.echo(
        f"{file}: good, {len(found.services_by_name)} services,"
        f" {len(found.upstreams_by_name)} upstreams,"
        f" {len(found.site_by_prefix)} client blocks"
    )


@config.command()
@click.pass_context
def show(context: click.Context) -> None:
    """Show the configuration in force at a daemon, as JSON."""
    show_json(unwrap_or_exit(api_of(context).get("/v1/configuration")))


@config.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.pass_context
def apply(context: click.Context, file: Path) -> None:
    """Plan to put the configuration FILE in force as a whole."""
    mapping = configuration_to_mapping(_read_or_exit(file))
    intent = {"kind": "apply", "configuration": mapping}
    show_plan(context, unwrap_or_exit(api_of(context).post("/v1/plans", intent)))


def _read_or_exit(file: Path) -> Configuration:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(EXIT_USAGE)
    found = configuration_from_yaml(text)
    if found.is_ok():
        return found.unwrap()
    for problem in found.unwrap_err().problems:
        click.echo(f"{file}: {problem}", err=True)
    sys.exit(EXIT_USAGE)
