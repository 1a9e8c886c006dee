"""Run the daemon with one mutation, which ``PLANKSPINDLE_MUTANT`` names.

For manual runs that show that each check of a soak can fail: ``--module soak.mutant``.
The values of the variable are the names of the functions of this module.
"""

from __future__ import annotations

import os
import runpy
import signal
import threading
from typing import Any

from curio import sleep

from plankspindle_daemon.upstreams.upstream_statement import NO_STATEMENT
from plankspindle_platform import dialect
from plankspindle_platform import operator_reader
from plankspindle_platform import store_platform

READ_DELAY_S = 6.0
EXIT_AFTER_S = 12.0


def be_late() -> None:
    """Read configurations 6 s late."""
    read = operator_reader.OperatorReader.read_newer

    async def read_late(self: Any, *arguments: Any) -> Any:
        await sleep(READ_DELAY_S)
        return await read(self, *arguments)

    operator_reader.OperatorReader.read_newer = read_late  # type: ignore[method-assign]


def go_back() -> None:
    """Replace every third document by the one that was read two documents before."""
    translate, kept, seen_documents = operator_reader.translate_document, [], []

    def translate_old(document: Any, **options: Any) -> Any:
        seen_documents.append(document)
        if len(seen_documents) % 3 == 1:
            kept.append(document)
        return translate(
            kept[-1] if len(seen_documents) % 3 == 0 else document, **options
        )

    operator_reader.translate_document = translate_old


def keep_upstreams() -> None:
    """Ignore that upstreams leave or are removed."""
    apply_rows = store_platform.StorePlatform._apply_server_rows

    def apply_and_keep_known(self: Any, rows: Any) -> None:
        before = dict(self._servers_by_name)
        apply_rows(self, rows)
        self._servers_by_name |= before

    store_platform.StorePlatform._apply_server_rows = apply_and_keep_known  # type: ignore[method-assign]


def lose_lapsed() -> None:
    """Never list an upstream again whose entry was removed once."""
    apply_rows = store_platform.StorePlatform._apply_server_rows
    lost_names: set[str] = set()
    seen_names: set[str] = set()

    def apply_and_lose_lapsed(self: Any, rows: Any) -> None:
        apply_rows(self, rows)
        seen_names.update(self._servers_by_name)
        lost_names.update(seen_names - self._servers_by_name.keys())
        for name in lost_names:
            self._servers_by_name.pop(name, None)

    store_platform.StorePlatform._apply_server_rows = (  # type: ignore[method-assign]
        apply_and_lose_lapsed
    )


def keep_vanished() -> None:
    """Keep removed upstreams, also after a full read of the list."""
    apply_rows = store_platform.StorePlatform._apply_server_rows
    seen_servers: dict[str, Any] = {}

    def apply_and_keep_all(self: Any, rows: Any) -> None:
        apply_rows(self, rows)
        seen_servers.update(self._servers_by_name)
        self._servers_by_name |= seen_servers

    store_platform.StorePlatform._apply_server_rows = apply_and_keep_all  # type: ignore[method-assign]


def stay() -> None:
    """Ignore evacuations."""
    translate = operator_reader.translate_document
    operator_reader.translate_document = lambda document, *, zones, boot: translate(
        document, zones=[], boot=boot
    )


def cut() -> None:
    """Exit immediately on SIGTERM."""
    register = signal.signal

    def register_other(number: int, handler: Any) -> Any:
        chosen_handler = (
            (lambda *_: os._exit(0)) if number == signal.SIGTERM else handler
        )
        return register(number, chosen_handler)

    signal.signal = register_other  # type: ignore[assignment]


def end() -> None:
    """Exit by itself after some time."""
    timer = threading.Timer(EXIT_AFTER_S, os._exit, [70])
    timer.daemon = True
    timer.start()


def hear_nothing() -> None:
    """Ignore all statements of upstreams."""
    read_nothing = lambda _status, _headers: NO_STATEMENT  # noqa: E731
    object.__setattr__(dialect.DIALECT, "read_statement", read_nothing)


if __name__ == "__main__":
    mutants = (
        be_late,
        go_back,
        keep_upstreams,
        keep_vanished,
        lose_lapsed,
        stay,
        cut,
        end,
        hear_nothing,
    )
    {each.__name__: each for each in mutants}[os.environ["PLANKSPINDLE_MUTANT"]]()
    runpy.run_module("plankspindle_platform", run_name="__main__")
