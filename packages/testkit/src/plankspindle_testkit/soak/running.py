"""How soaks of each kind are run: awaited while they start, and ended for sure."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import curio

from plankspindle_core.steady_clock import monotonic

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine

    from plankspindle_testkit.processes import Processes

Verdict = TypeVar("Verdict")


async def wait_for_start(
    holds: Callable[[], Awaitable[bool]],
    *,
    within_s: float,
    look_s: float,
    what: str,
) -> None:
    """Wait until something holds that belongs to the start of a soak.

    Parameters
    ----------
    holds : callable
        Tells whether it does.
    within_s, look_s : float
        Longest time, and time between two looks, in seconds.
    what : str
        What to tell if it does not.

    Raises
    ------
    TimeoutError
        If it does not hold in time.
    """
    end = monotonic() + within_s
    while not await holds():
        if monotonic() > end:
            raise TimeoutError(what)
        await curio.sleep(look_s)


def run_and_end(
    run: Callable[[], Coroutine[Any, Any, Verdict]], processes: Processes
) -> Verdict:
    """Run a soak; its processes end with it, also if it is ended by a signal."""
    try:
        verdict: Verdict = curio.run(run)
    finally:
        processes.close()
    return verdict
