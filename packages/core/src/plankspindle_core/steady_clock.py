"""Monotonic clock that includes suspensions, for ages, leases, deadlines and timers.

``time.monotonic`` stops while the machine is suspended: with it, a lease of two seconds
would still be valid after a suspension of five.
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
"""Return the time since the machine was booted, in seconds, including suspensions."""


def run(function: Callable[..., Any], *args: Any) -> Any:
    """Run a coroutine function on a curio kernel whose timers include suspensions.

    Parameters
    ----------
    function : callable
        Coroutine function.
    *args : object
        Its arguments.

    Returns
    -------
    object
        Return value of the coroutine.

    Notes
    -----
    A curio kernel takes ``time.monotonic`` when it is created, and has no setting for
    another clock. With that clock, a timeout that implements a deadline would expire
    late by the duration of the suspension.
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
