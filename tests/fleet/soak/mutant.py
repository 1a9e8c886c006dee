"""The daemon with one fault built in: ``PLANKSPINDLE_MUTANT`` names it.

For runs by hand that show that each check of a soak can fail: ``--module soak.mutant``.
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

LATE_S = 6.0
LIFE_S = 12.0


def be_late() -> None:
    """Read configurations some seconds late."""
    read = operator_reader.OperatorReader.read_newer

    async def read_late(self: Any, *arguments: Any) -> Any:
        await sleep(LATE_S)
        return await read(self, *arguments)

    operator_reader.OperatorReader.read_newer = read_late  # type: ignore[method-assign]


def go_back() -> None:
    """Put the document of every third version in force again instead of the next."""
    translate, kept, seen = operator_reader.translate_document, [], []

    def translate_old(document: Any, **rest: Any) -> Any:
        seen.append(document)
        if len(seen) % 3 == 1:
            kept.append(document)
        return translate(kept[-1] if len(seen) % 3 == 0 else document, **rest)

    operator_reader.translate_document = translate_old


def keep_upstreams() -> None:
    """Overlook that an upstream leaves or is gone."""
    take = store_platform.StorePlatform._apply_server_rows

    def take_kept(self: Any, rows: Any) -> None:
        before = dict(self._servers_by_name)
        take(self, rows)
        self._servers_by_name |= before

    store_platform.StorePlatform._apply_server_rows = take_kept  # type: ignore[method-assign]


def lose_lapsed() -> None:
    """Never list an upstream again whose entry was gone once."""
    take = store_platform.StorePlatform._apply_server_rows
    lost: set[str] = set()
    seen: set[str] = set()

    def take_unless_lost(self: Any, rows: Any) -> None:
        take(self, rows)
        seen.update(self._servers_by_name)
        lost.update(seen - self._servers_by_name.keys())
        for name in lost:
            self._servers_by_name.pop(name, None)

    store_platform.StorePlatform._apply_server_rows = (  # type: ignore[method-assign]
        take_unless_lost
    )


def keep_vanished() -> None:
    """Keep upstreams that are gone also when the list is read whole."""
    take = store_platform.StorePlatform._apply_server_rows
    seen: dict[str, Any] = {}

    def take_and_keep(self: Any, rows: Any) -> None:
        take(self, rows)
        seen.update(self._servers_by_name)
        self._servers_by_name |= seen

    store_platform.StorePlatform._apply_server_rows = take_and_keep  # type: ignore[method-assign]


def stay() -> None:
    """Overlook evacuations."""
    translate = operator_reader.translate_document
    operator_reader.translate_document = lambda document, *, zones, boot: translate(
        document, zones=[], boot=boot
    )


def cut() -> None:
    """End at once by SIGTERM."""
    register = signal.signal

    def register_other(number: int, handler: Any) -> Any:
        wanted = (lambda *_: os._exit(0)) if number == signal.SIGTERM else handler
        return register(number, wanted)

    signal.signal = register_other  # type: ignore[assignment]


def end() -> None:
    """End by itself after some time."""
    timer = threading.Timer(LIFE_S, os._exit, [70])
    timer.daemon = True
    timer.start()


def hear_nothing() -> None:
    """Pass over all that upstreams say of themselves."""
    nothing = lambda _status, _headers: NO_STATEMENT  # noqa: E731
    object.__setattr__(dialect.DIALECT, "read_statement", nothing)


if __name__ == "__main__":
    deeds = (
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
    {each.__name__: each for each in deeds}[os.environ["PLANKSPINDLE_MUTANT"]]()
    runpy.run_module("plankspindle_platform", run_name="__main__")
