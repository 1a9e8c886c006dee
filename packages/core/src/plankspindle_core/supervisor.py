"""Supervision of tasks: which errors stop the process, and which are contained."""

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
"""Consecutive contained errors of one function after which the process stops.

If a corrupted state makes every request fail, only a restart repairs it. A caller whose
own requests fail does not cause a restart, since under load its requests alternate with
those of other callers, so that twenty consecutive errors do not occur.
"""
_INTERNAL_ERROR = 500
_UNKNOWN = (header_names.OUTCOME, Outcome.UNKNOWN.value.encode())


class Supervisor:
    """Start tasks and record the first error that must stop the process.

    Attributes
    ----------
    error : Exception or None
        A violated invariant, or an unexpected error of a background task.
    contained_errors : int
        Unexpected errors that ended only one request, message or probe.

    Notes
    -----
    The process cannot work without its background tasks, so an error of one stops the
    process. An error while a request is handled ends only that request: otherwise one
    fault would abort all requests of the process, dozens under load.
    """

    def __init__(self) -> None:
        self.error: Exception | None = None
        self.contained_errors = 0
        self._consecutive_errors_by_name: dict[str, int] = {}

    async def spawn(self, function: Callable[..., Awaitable[None]], *args: Any) -> Any:
        """Start a background task that runs as long as the process.

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
        """Run a coroutine function and record the error that it raises."""
        try:
            await function(*args)
        except Exception as error:
            self.error = self.error or error

    async def contain(
        self, function: Callable[..., Awaitable[None]], *args: Any
    ) -> bool:
        """Run a coroutine function whose unexpected errors are logged and contained.

        Only a violated invariant, or too many consecutive errors, stop the process.

        Parameters
        ----------
        function : callable
            Coroutine function that handles one request, message or probe.
        *args : object
            Its arguments.

        Returns
        -------
        bool
            False if it raised an unexpected error, which is logged.

        Raises
        ------
        CallerDisconnectedError
            If the caller has disconnected.
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
        """Handle one request; after an unexpected error, answer with outcome unknown.

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
        """Raise the recorded error, if there is one."""
        if self.error is not None:
            raise self.error


def _name_of(function: Callable[..., Awaitable[None]]) -> str:
    """Return the name of a coroutine function, without the repr of its instance."""
    return getattr(function, "__qualname__", "") or type(function).__name__
