"""Entry point that ignores SIGHUP before slow imports."""

from __future__ import annotations

import gc
import signal
from contextlib import contextmanager
from importlib import import_module
from typing import TYPE_CHECKING

import plankspindle_core.process_start  # noqa: F401

if TYPE_CHECKING:
    from collections.abc import Iterator

IMPORT_GC_THRESHOLD = 20_000
"""New objects between two collections of garbage during the imports.

Nearly all of the 150,000 objects that they make stay. The garbage, mostly the classes
that ``attrs`` replaces by ones with slots, is collected in between all the same.
"""


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
    with _few_collections():
        imported = import_module(module)
    status: int | None = imported.main()
    return status


@contextmanager
def _few_collections() -> Iterator[None]:
    """Collect garbage less often, and exempt all present objects from it at the end.

    Without the exemption, each full collection while the process runs would visit all
    classes and functions again.
    """
    before = gc.get_threshold()
    gc.set_threshold(IMPORT_GC_THRESHOLD, *before[1:])
    try:
        yield
    finally:
        gc.freeze()
        gc.set_threshold(*before)


def main() -> int | None:
    """Run the command ``plankspindled``."""
    return import_and_run("plankspindle_daemon.console.application")
