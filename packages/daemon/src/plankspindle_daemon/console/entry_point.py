"""What must hold before a process imports what takes long."""

from __future__ import annotations

import signal
from importlib import import_module

import plankspindle_core.process_start  # noqa: F401


def import_and_run(module: str) -> int | None:
    """Import a module and call its ``main``.

    A signal to read the settings again needs nothing until they were read, and must
    not end the process meanwhile.

    Parameters
    ----------
    module : str
        Name of the module.

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
