"""Error reports of the command line."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from plankspindle_daemon.settings.reading import read_settings

if TYPE_CHECKING:
    from pathlib import Path

    from plankspindle_daemon.settings.daemon_settings import DaemonSettings

EXIT_BAD_SETTINGS = 2


def settings_or_exit(path: Path) -> DaemonSettings:
    """Read settings, or print one line for each problem and exit with status 2."""
    found = read_settings(path)
    if found.is_ok():
        return found.unwrap()
    for problem in found.unwrap_err().problems:
        click.echo(f"{path}: {problem}", err=True)
    sys.exit(EXIT_BAD_SETTINGS)
