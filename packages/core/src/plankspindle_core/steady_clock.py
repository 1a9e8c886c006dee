"""The clock of all ages, leases, deadlines and timers.

It counts the time for which the machine was suspended, and never jumps. The steady
clock of :mod:`time` stands still in a suspension: what was agreed for two seconds would
hold on after a suspension of five.
"""

from __future__ import annotations

import time
from contextlib import contextmanager
from functools import partial
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any
from typing import Final

import curio
from curio import kernel

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

monotonic: Final[Callable[[], float]] = partial(time.clock_gettime, time.CLOCK_BOOTTIME)
"""Give the time in seconds since the machine was started, suspensions included."""


def run(function: Callable[..., Any], *args: Any) -> Any:
    """Run a coroutine function on a kernel whose timers count suspensions.

    Parameters
    ----------
    function : callable
        Coroutine function.
    *args : object
        Its arguments.

    Returns
    -------
    object
        What it returns.

    Notes
    -----
    curio takes ``time.monotonic`` when a kernel is made, and has no setting for another
    clock. With that one a time limit that stands for a deadline would pass as much
    later as the machine was suspended.
    """
    with _kernel_clock_replaced():
        return curio.run(function, *args)


@contextmanager
def _kernel_clock_replaced() -> Iterator[None]:
    before = kernel.time
    kernel.time = SimpleNamespace(monotonic=monotonic)
    try:
        yield
    finally:
        kernel.time = before
