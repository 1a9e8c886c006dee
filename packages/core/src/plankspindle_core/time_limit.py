"""Limits of time that may stand inside one another."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from curio import TaskTimeout
from curio import UncaughtTimeoutError
from curio import timeout_after

from plankspindle_core.steady_clock import monotonic

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from types import TracebackType


class TimeLimit:
    """An asynchronous context that raises :class:`curio.TaskTimeout` when it is late.

    Parameters
    ----------
    seconds : float
        Time that it may take.

    Notes
    -----
    A curio task that is ready to run when an inner limit passes learns of it at its
    next wait. If the loop was busy until an outer limit had passed, too, curio finds no
    limit that the end belongs to and raises ``UncaughtTimeoutError``. The outer limit
    has passed then, so that is what is raised here: otherwise a busy loop of some 50 ms
    ended the process.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._limit = timeout_after(seconds)
        self._deadline = 0.0

    async def __aenter__(self) -> TimeLimit:
        """Begin."""
        self._deadline = monotonic() + self._seconds
        await self._limit.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End; an end of time that no limit was found for is this one's if it is late.

        Raises
        ------
        TaskTimeout
            If the time is over.
        """
        try:
            await self._limit.__aexit__(kind, error, traceback)
        except UncaughtTimeoutError as lost:
            self._raise_if_late(lost)
            raise
        if isinstance(error, UncaughtTimeoutError):
            self._raise_if_late(error)

    def _raise_if_late(self, lost: UncaughtTimeoutError) -> None:
        now = monotonic()
        if now >= self._deadline:
            raise TaskTimeout(now) from lost


async def within(
    seconds: float, function: Callable[..., Awaitable[Any]], *args: Any
) -> Any:
    """Call a coroutine function within a limit of time.

    Parameters
    ----------
    seconds : float
        Time that it may take.
    function : callable
        Coroutine function.
    *args : object
        Its arguments.

    Raises
    ------
    TaskTimeout
        If the time is over before it has returned.
    """
    async with TimeLimit(seconds):
        return await function(*args)
