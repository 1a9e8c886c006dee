"""Tasks whose errors are kept, so that they stop the process or only themselves."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING
from typing import Any

from curio import spawn

from plankspindle_core import header_names
from plankspindle_core.http.server_exchange import CallerGoneError
from plankspindle_core.invariants import InvariantError
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from plankspindle_core.http.server_exchange import ServerExchange

_INTERNAL_ERROR = 500
_UNKNOWN = (header_names.OUTCOME, Outcome.UNKNOWN.value.encode())


class Supervisor:
    """Start tasks and keep the first error that must stop the process.

    Attributes
    ----------
    error : Exception or None
        A broken invariant, or an error that a lasting task did not expect.
    contained : int
        Unexpected errors that ended only what one request, message or probe did.

    Notes
    -----
    A lasting task that ends leaves the process without what it did, so that its error
    stops the process. What serves one request ends with that request: otherwise one
    fault cuts off all requests of the process, dozens under load.
    """

    def __init__(self) -> None:
        self.error: Exception | None = None
        self.contained = 0

    async def spawn(self, function: Callable[..., Awaitable[None]], *args: Any) -> Any:
        """Start a lasting task.

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
        return await spawn(self._guard, function, *args, daemon=True)

    async def _guard(
        self, function: Callable[..., Awaitable[None]], *args: Any
    ) -> None:
        """Run a coroutine function, keeping the error it ends with."""
        try:
            await function(*args)
        except Exception as error:
            self.error = self.error or error

    async def contain(
        self, function: Callable[..., Awaitable[None]], *args: Any
    ) -> bool:
        """Run a coroutine function of whose errors only broken invariants are kept.

        Parameters
        ----------
        function : callable
            Coroutine function that serves one request, message or probe.
        *args : object
            Its arguments.

        Returns
        -------
        bool
            False if it ended with an error that it did not expect, which is logged.

        Raises
        ------
        CallerGoneError
            If the caller is gone.
        """
        try:
            await function(*args)
        except CallerGoneError:
            raise
        except InvariantError as error:
            self.error = self.error or error
        except Exception as error:
            self.contained += 1
            log_event(
                "error_contained",
                what=getattr(function, "__qualname__", repr(function)),
                error=repr(error),
                trace=traceback.format_exc(),
            )
            return False
        return True

    async def serve(
        self,
        handle: Callable[[ServerExchange], Awaitable[None]],
        source: ServerExchange,
    ) -> None:
        """Handle one request; after an unexpected error nobody knows whether it ran.

        Parameters
        ----------
        handle : callable
            Coroutine function that answers the request.
        source : ServerExchange
            The request.
        """
        if await self.contain(handle, source):
            return
        if source.head_sent:
            source.abort()
            return
        await source.answer(status=_INTERNAL_ERROR, headers=[_UNKNOWN])

    def check(self) -> None:
        """Raise the error that was kept, if there is one."""
        if self.error is not None:
            raise self.error
