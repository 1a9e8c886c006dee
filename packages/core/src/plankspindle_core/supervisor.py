"""Tasks whose errors are kept, so that they stop the process or only themselves."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING
from typing import Any

from curio import spawn

from plankspindle_core import header_names
from plankspindle_core.http.server_exchange import CallerDisconnectedError
from plankspindle_core.invariants import InvariantError
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_core.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from plankspindle_core.http.server_exchange import ServerExchange

MAX_CONSECUTIVE_ERRORS = 20
"""Contained errors of one kind without a success between, after which nothing serves.

A state that breaks all that comes is mended by a new process; a caller who breaks its
own requests is not so alone under load that twenty come in a row.
"""
_INTERNAL_ERROR = 500
_UNKNOWN = (header_names.OUTCOME, Outcome.UNKNOWN.value.encode())


class Supervisor:
    """Start tasks and keep the first error that must stop the process.

    Attributes
    ----------
    error : Exception or None
        A broken invariant, or an error that a lasting task did not expect.
    contained_errors : int
        Unexpected errors that ended only what one request, message or probe did.

    Notes
    -----
    A lasting task that ends leaves the process without what it did, so that its error
    stops the process. What serves one request ends with that request: otherwise one
    fault cuts off all requests of the process, dozens under load.
    """

    def __init__(self) -> None:
        self.error: Exception | None = None
        self.contained_errors = 0
        self._consecutive_errors_by_name: dict[str, int] = {}

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
        CallerDisconnectedError
            If the caller is gone.
        """
        try:
            await function(*args)
        except CallerDisconnectedError:
            raise
        except InvariantError as error:
            self.error = self.error or error
        except Exception as error:
            self._record_contained(_name_of(function), error)
            return False
        else:
            if self._consecutive_errors_by_name:
                self._consecutive_errors_by_name.pop(_name_of(function), None)
        return True

    def _record_contained(self, what: str, error: Exception) -> None:
        self.contained_errors += 1
        in_a_row = self._consecutive_errors_by_name.get(what, 0) + 1
        self._consecutive_errors_by_name[what] = in_a_row
        log_event(
            "error_contained",
            what=what,
            in_a_row=in_a_row,
            error=repr(error),
            trace=traceback.format_exc(),
        )
        if in_a_row >= MAX_CONSECUTIVE_ERRORS:
            self.error = self.error or error

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
        if source.answer_is_complete:
            source.closes = True
        elif source.head_sent:
            source.abort()
        else:
            await source.answer(status=_INTERNAL_ERROR, headers=[_UNKNOWN])

    def raise_if_failed(self) -> None:
        """Raise the error that was kept, if there is one."""
        if self.error is not None:
            raise self.error


def _name_of(function: Callable[..., Awaitable[None]]) -> str:
    """Name a coroutine function without printing what it is bound to."""
    return getattr(function, "__qualname__", "") or type(function).__name__
