"""Deadline of a request."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from plankspindle_core.classes import frozen
from plankspindle_core.steady_clock import monotonic

if TYPE_CHECKING:
    from plankspindle_core.configuration.operation import Operation
    from plankspindle_daemon.exchange.caller_request import CallerRequest
    from plankspindle_daemon.listeners.request_resolver import ResolvedRequest


@frozen(kw_only=True)
class RequestDeadline:
    """The deadline of a request on the wall clock and on the monotonic clock.

    Parameters
    ----------
    wall_ms : int
        Milliseconds since the Unix epoch, as sent to other entry VMs and upstreams.
    monotonic_s : float
        Monotonic seconds.
    """

    wall_ms: int
    monotonic_s: float

    @classmethod
    def for_request(cls, resolved: ResolvedRequest) -> RequestDeadline:
        """Return the deadline of a request that arrives now."""
        wall_ms = int(time.time() * 1000)
        deadline_ms = _deadline_ms(resolved.request, resolved.operation, wall_ms)
        return cls(
            wall_ms=deadline_ms,
            monotonic_s=monotonic() + (deadline_ms - wall_ms) / 1000,
        )


def _deadline_ms(request: CallerRequest, operation: Operation, now_ms: int) -> int:
    deadline = now_ms + operation.timeout_ms
    if request.timeout_ms is not None:
        deadline = min(deadline, now_ms + request.timeout_ms)
    if request.deadline_ms is not None:
        deadline = min(deadline, request.deadline_ms)
    return deadline
