"""Entry point that ignores SIGHUP before slow imports."""

from __future__ import annotations

import signal
from importlib import import_module

import plankspindle_core.process_start  # noqa: F401


def import_and_run(module: str) -> int | None:
    """Import a module and call its ``main``.

    SIGHUP asks to reload the settings. Until they were read there is nothing to reload,
    and its default action would end the process, so it is ignored.

    Parameters
    ----------
    module : str
        Qualified name of the module.

    Returns
    -------
    int or None
        Exit status of the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    status: int | None = import_module(module).main()
    return status


def main() -> int | None:
    """Run the command ``plankspindled``."""
    return import_and_run("plankspindle_daemon.console.application")
