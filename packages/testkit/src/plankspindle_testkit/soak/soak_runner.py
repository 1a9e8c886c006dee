"""Start and guaranteed cleanup of soaks of all kinds."""

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
    """Wait until a condition for the start of a soak holds.

    Parameters
    ----------
    condition : callable
        Returns whether it holds.
    timeout_s, poll_s : float
        Maximum wait, and time between two checks, in seconds.
    message : str
        Text of the error.

    Raises
    ------
    TimeoutError
        If the condition does not hold in time.
    """
    end = monotonic() + timeout_s
    while not await condition():
        if monotonic() > end:
            raise TimeoutError(message)
        await curio.sleep(poll_s)


def run_and_close(
    run: Callable[[], Coroutine[Any, Any, SoakResultT]], processes: Processes
) -> SoakResultT:
    """Run a soak and end its processes, also if a signal interrupts it."""
    try:
        result: SoakResultT = curio.run(run)
    finally:
        processes.close()
    return result
