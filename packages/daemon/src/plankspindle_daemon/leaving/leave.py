"""State machine of a graceful shutdown."""

from __future__ import annotations

import math

from plankspindle_core.classes import define
from plankspindle_core.classes import frozen
from plankspindle_core.lookup_ttl import LOOKUP_TTL_S

LINGER_S = 2.0 * LOOKUP_TTL_S
"""Time for which requests are still accepted, in seconds.

This is twice the time for which callers cache lookup answers, so that callers with
cached answers are still served.
"""


@frozen
class Serving:
    """Requests are accepted, and lookup answers include this VM."""


@frozen
class Lingering:
    """Lookup answers leave out this VM, but requests are still accepted."""

    until: float
    deadline: float


@frozen
class Finishing:
    """Running requests finish; new ones are refused without having been run."""

    deadline: float


@frozen
class Left:
    """No requests run, or the deadline has passed; the process may exit."""

    aborted_requests: int


LeaveState = Serving | Lingering | Finishing | Left


@define(kw_only=True)
class Leave:
    """Graceful shutdown of this VM, from the stop request until no request runs.

    Parameters
    ----------
    leave_s : float
        Maximum duration of the shutdown, in seconds.
    linger_s : float
        Time for which requests are still accepted, in seconds.
    """

    leave_s: float
    linger_s: float = LINGER_S
    state: LeaveState = Serving()

    @property
    def is_leaving(self) -> bool:
        """Whether lookup answers must leave out this VM."""
        return not isinstance(self.state, Serving)

    @property
    def accepts(self) -> bool:
        """Whether new requests are accepted."""
        return isinstance(self.state, Serving | Lingering)

    @property
    def deadline(self) -> float:
        """Latest end of the shutdown, monotonic seconds; infinite before it begins."""
        match self.state:
            case Lingering(deadline=deadline) | Finishing(deadline=deadline):
                return deadline
            case Serving():
                return math.inf
            case Left():
                return -math.inf

    def begin(self, now: float) -> None:
        """Begin the shutdown; repeated calls have no effect."""
        if isinstance(self.state, Serving):
            until = now + min(self.linger_s, self.leave_s)
            self.state = Lingering(until, now + self.leave_s)

    def advance(self, *, running: int, now: float) -> LeaveState:
        """Advance to the state that the time and the running requests allow.

        Parameters
        ----------
        running : int
            Requests that run or wait on this VM.
        now : float
            Monotonic seconds.

        Returns
        -------
        LeaveState
            The new state. ``Left.aborted_requests`` counts the requests that still ran
            at the deadline.
        """
        match self.state:
            case Lingering(until=until, deadline=give_up_at) if now >= until:
                self.state = Finishing(give_up_at)
            case _:
                pass
        match self.state:
            case Finishing(deadline=give_up_at) if running == 0 or now >= give_up_at:
                self.state = Left(running)
            case _:
                pass
        return self.state
