"""``plankspindle config``: check, show and apply configurations."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import click

from plankspindle_client.console.context import EXIT_USAGE
from plankspindle_client.console.context import get_api
from plankspindle_client.console.context import print_json
from plankspindle_client.console.context import print_plan
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
    print_json(unwrap_or_exit(get_api(context).get("/v1/configuration")))


@config.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.pass_context
def diff(context: click.Context, file: Path) -> None:
    """Show what differs between FILE and the configuration in force."""
    wanted = configuration_to_mapping(_read_or_exit(file))
    found = unwrap_or_exit(get_api(context).get("/v1/configuration"))
    lines = diff_lines(found["configuration"], wanted)
    click.echo("\n".join(lines) or "nothing differs")


def diff_lines(present: Any, wanted: Any, path: str = "") -> list[str]:
    """List the differences of two documents.

    Parameters
    ----------
    present, wanted : object
        Plain values as in JSON.
    path : str
        Path of the key whose values are compared; empty for whole documents.

    Returns
    -------
    list of str
        ``+`` added, ``-`` removed, ``~`` changed, each with the path of its key.
    """
    if present == wanted:
        return []
    if not (isinstance(present, dict) and isinstance(wanted, dict)):
        return [f"~ {path}: {present!r} -> {wanted!r}"]
    lines = []
    for key in sorted({*present, *wanted}):
        inner = f"{path}.{key}" if path else str(key)
        if key not in wanted:
            lines.append(f"- {inner}")
        elif key not in present:
            lines.append(f"+ {inner}: {wanted[key]!r}")
        else:
            lines += diff_lines(present[key], wanted[key], inner)
    return lines


@config.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.pass_context
def apply(context: click.Context, file: Path) -> None:
    """Plan to put the configuration FILE in force as a whole."""
    mapping = configuration_to_mapping(_read_or_exit(file))
    intent = {"kind": "apply", "configuration": mapping}
    print_plan(context, unwrap_or_exit(get_api(context).post("/v1/plans", intent)))


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
