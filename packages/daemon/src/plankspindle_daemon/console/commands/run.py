"""``plankspindled run``: run the daemon."""

from __future__ import annotations

from pathlib import Path

import click

from plankspindle_core import steady_clock
from plankspindle_core.logs.key_value_destination import start_logging
from plankspindle_core.logs.key_value_destination import stop_logging
from plankspindle_daemon.console.reporting import settings_or_exit
from plankspindle_daemon.daemon_process import run_daemon
from plankspindle_daemon.settings.reading import read_settings
from plankspindle_daemon.settings.settings_file import SettingsFile


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
def run(settings: Path) -> None:
    """Run the daemon with SETTINGS until SIGTERM."""
    found = settings_or_exit(settings)
    log = start_logging(vm=found.vm)
    try:
        file = SettingsFile(path=settings, reader=read_settings)
        status = steady_clock.run(run_daemon, found, None, log, file)
    finally:
        stop_logging(log)
    raise SystemExit(status)
