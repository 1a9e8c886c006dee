"""Tasks whose unexpected errors stop the process."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from curio import spawn

from plankspindle_core.http.server_exchange import CallerGoneError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


class Supervisor:
    """Start tasks and keep the first error that one of them ends with.

    Attributes
    ----------
    error : Exception or None
        A broken invariant, or another error that no task expected.
    """

    def __init__(self) -> None:
        self.error: Exception | None = None

    async def spawn(self, function: Callable[..., Awaitable[None]], *args: Any) -> Any:
        """Start a task.

        Parameters
        ----------
        function : callable
            Coroutine function of the task.
        *args : object
            Its arguments.

        Returns
        -------
        Task
            The curio task.
        """
        return await spawn(self.guard, function, *args, daemon=True)

    async def guard(self, function: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Run a coroutine function here, keeping the error it ends with."""
        try:
            await function(*args)
        except CallerGoneError:
            raise
        except Exception as error:
            self.error = self.error or error

    def check(self) -> None:
        """Raise the error that was kept, if there is one."""
        if self.error is not None:
            raise self.error
