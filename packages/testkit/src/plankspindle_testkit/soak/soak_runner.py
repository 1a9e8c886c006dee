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

SoakResultT = TypeVar("SoakResultT")


async def wait_for_start(
    condition: Callable[[], Awaitable[bool]],
    *,
    timeout_s: float,
    poll_s: float,
    message: str,
) -> None:
    """Wait until something holds that belongs to the start of a soak.

    Parameters
    ----------
    condition : callable
        Tells whether it does.
    timeout_s, poll_s : float
        Longest time, and time between two looks, in seconds.
    message : str
        What to tell if it does not.

    Raises
    ------
    TimeoutError
        If it does not hold in time.
    """
    end = monotonic() + timeout_s
    while not await condition():
        if monotonic() > end:
            raise TimeoutError(message)
        await curio.sleep(poll_s)


def run_and_close(
    run: Callable[[], Coroutine[Any, Any, SoakResultT]], processes: Processes
) -> SoakResultT:
    """Run a soak; its processes end with it, also if it is ended by a signal."""
    try:
        verdict: SoakResultT = curio.run(run)
    finally:
        processes.close()
    return verdict
