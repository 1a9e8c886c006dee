"""Timeouts that can be nested safely."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from curio import CancelledError
from curio import TaskTimeout
from curio import UncaughtTimeoutError
from curio import timeout_after

from plankspindle_core.steady_clock import monotonic

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from types import TracebackType


class TimeLimit:
    """An asynchronous context that raises :class:`curio.TaskTimeout` on expiry.

    Parameters
    ----------
    seconds : float
        Timeout in seconds.

    Notes
    -----
    A curio task that is ready to run when an inner timeout expires receives it at its
    next wait. If the event loop was blocked until an outer timeout had expired as well,
    curio finds no timeout that the expiry belongs to and raises
    ``UncaughtTimeoutError``. Since the outer timeout has expired by then, this context
    raises ``TaskTimeout`` instead. Without this, an event loop blocked for about 50 ms
    ended the process.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._limit = timeout_after(seconds)
        self._deadline = 0.0

    async def __aenter__(self) -> TimeLimit:
        """Start the timeout."""
        self._deadline = monotonic() + self._seconds
        await self._limit.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the timeout; an uncaught expiry is its own if its deadline has passed.

        Raises
        ------
        TaskTimeout
            If the timeout has expired.
        """
        try:
            await self._limit.__aexit__(kind, error, traceback)
        except UncaughtTimeoutError as lost:
            self._raise_if_late(lost)
            raise
        finally:
            if isinstance(error, CancelledError):
                forget_frames(error)
        if isinstance(error, UncaughtTimeoutError):
            self._raise_if_late(error)

    def _raise_if_late(self, lost: UncaughtTimeoutError) -> None:
        now = monotonic()
        if now >= self._deadline:
            raise TaskTimeout(now) from lost


def forget_frames(error: BaseException) -> None:
    """Drop the frames in the traceback of an exception that ended a wait.

    curio keeps an exception that it raises at a wait in a variable of that frame. This
    cycle would keep all frames of the task up to the handler, and request bodies that
    they refer to, until the next full garbage collection.
    """
    error.__traceback__ = None


async def within(
    seconds: float, function: Callable[..., Awaitable[Any]], *args: Any
) -> Any:
    """Call a coroutine function with a timeout.

    Parameters
    ----------
    seconds : float
        Timeout in seconds.
    function : callable
        Coroutine function.
    *args : object
        Its arguments.

    Raises
    ------
    TaskTimeout
        If the function has not returned in time.
    """
    async with TimeLimit(seconds):
        return await function(*args)
