"""Until when a request may take."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_core.steady_clock import monotonic

if TYPE_CHECKING:
    from plankspindle_core.configuration.operation import Operation
    from plankspindle_daemon.exchange.caller_request import CallerRequest
    from plankspindle_daemon.listeners.request_reader import AskedFor


@frozen(kw_only=True)
class RequestTerms:
    """The deadline of a request, on both clocks.

    Parameters
    ----------
    deadline_ms : int
        Milliseconds since the Unix epoch, as other entry VMs and upstreams are told.
    deadline : float
        Monotonic seconds.
    """

    deadline_ms: int
    deadline: float

    @classmethod
    def of(cls, asked: AskedFor) -> RequestTerms:
        """Work out the deadline of a request that comes now."""
        wall_ms = int(time.time() * 1000)
        deadline_ms = _deadline_ms(asked.request, asked.operation, wall_ms)
        return cls(
            deadline_ms=deadline_ms,
            deadline=monotonic() + (deadline_ms - wall_ms) / 1000,
        )


def _deadline_ms(request: CallerRequest, operation: Operation, now_ms: int) -> int:
    deadline = now_ms + operation.timeout_ms
    if request.timeout_ms is not None:
        deadline = min(deadline, now_ms + request.timeout_ms)
    if request.deadline_ms is not None:
        deadline = min(deadline, request.deadline_ms)
    return deadline
